#include "load/batch_runner.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "hyssopspar/http_client.h"

namespace hyssopspar::load {

namespace {

using Json = nlohmann::json;

constexpr milliseconds kCallTimeout{7000};
constexpr milliseconds kPollPeriod{250};
constexpr int kMaxSubmitAttempts = 5;

/// Submits the job, starting with scheduler \p first and trying the next one
/// after a failure. The submission key prevents a second run of the job.
void SubmitWithRetries(const LoadConfig& config,
                       std::size_t first,
                       JobOutcome* outcome) {
  const std::string body =
      Json{{"job", outcome->m_job}, {"key", outcome->m_key}}.dump();
  for (int i = 0; i < kMaxSubmitAttempts; ++i) {
    const std::string& address =
        config.m_scheds[(first + static_cast<std::size_t>(i)) %
                        config.m_scheds.size()];
    const Result<HttpResponse> answer = SendSingleRequest(
        address, "POST", "/v1/jobs", body, Clock::now() + kCallTimeout);
    if (answer && answer.value().m_status == 202) {
      const Json json = Json::parse(answer.value().m_body, nullptr, false);
      outcome->m_id = json.value("id", std::string());
      return;
    }
  }
}

/// Queries all schedulers and updates the task counts of \p outcome. When
/// several schedulers report a task, uses the report with the highest hop and,
/// among those, an ended state or else the highest attempt.
void PollJob(const LoadConfig& config, JobOutcome* outcome) {
  struct TaskSnapshot {
    std::uint64_t m_hop = 0;
    std::uint64_t m_attempt = 0;
    std::string m_state;
  };
  std::map<std::uint64_t, TaskSnapshot> tasks;
  for (const std::string& address : config.m_scheds) {
    const Result<HttpResponse> answer =
        SendSingleRequest(address, "GET", "/v1/jobs/" + outcome->m_id, "",
                          Clock::now() + kCallTimeout);
    if (!answer || answer.value().m_status != 200) {
      continue;
    }
    const Json json = Json::parse(answer.value().m_body, nullptr, false);
    for (const Json& task : json.at("tasks")) {
      const TaskSnapshot reported{task.at("hop").get<std::uint64_t>(),
                                  task.at("attempt").get<std::uint64_t>(),
                                  task.at("state").get<std::string>()};
      TaskSnapshot& current = tasks[task.at("index").get<std::uint64_t>()];
      // Schedulers that follow the same cell may lag behind each other, so an
      // ended state replaces any other state of the same hop.
      const bool ended =
          reported.m_state == "finished" || reported.m_state == "cancelled";
      const bool is_newer = current.m_state.empty() ||
                            reported.m_hop > current.m_hop ||
                            (reported.m_hop == current.m_hop &&
                             (reported.m_attempt > current.m_attempt || ended));
      if (is_newer) {
        current = reported;
      }
    }
  }
  outcome->m_task_count = static_cast<std::uint32_t>(tasks.size());
  outcome->m_finished_tasks = 0;
  outcome->m_cancelled_tasks = 0;
  outcome->m_parked_tasks = 0;
  outcome->m_attempt_count = 0;
  for (const std::pair<const std::uint64_t, TaskSnapshot>& entry : tasks) {
    const std::string& state = entry.second.m_state;
    outcome->m_finished_tasks += state == "finished" ? 1 : 0;
    outcome->m_cancelled_tasks += state == "cancelled" ? 1 : 0;
    outcome->m_parked_tasks += state == "parked" ? 1 : 0;
    outcome->m_attempt_count +=
        static_cast<std::uint32_t>(entry.second.m_attempt);
  }
  const bool ended = outcome->m_task_count > 0 &&
                     outcome->m_finished_tasks + outcome->m_cancelled_tasks +
                             outcome->m_parked_tasks ==
                         outcome->m_task_count;
  if (ended) {
    outcome->m_end_time = Clock::now();
  }
}

}  // namespace

std::vector<JobOutcome> RunBatchJobs(const LoadConfig& config) {
  std::vector<JobOutcome> outcomes;
  for (const BatchConfig& batch : config.m_batches) {
    for (std::uint32_t i = 0; i < batch.m_count; ++i) {
      JobOutcome outcome;
      outcome.m_job = batch.m_job;
      outcome.m_key = batch.m_job + "-" + std::to_string(config.m_seed) + "-" +
                      std::to_string(i);
      outcomes.push_back(outcome);
    }
  }
  if (outcomes.empty()) {
    return outcomes;
  }
  const TimePoint start = Clock::now();
  const Duration submit_interval =
      config.m_duration / static_cast<std::int64_t>(outcomes.size());
  for (std::size_t i = 0; i < outcomes.size(); ++i) {
    std::this_thread::sleep_until(start + submit_interval *
                                              static_cast<std::int64_t>(i));
    outcomes[i].m_submit_time = Clock::now();
    SubmitWithRetries(config, i, &outcomes[i]);
  }
  const TimePoint deadline = start + config.m_duration + config.m_settle_time;
  bool has_unfinished_jobs = true;
  while (has_unfinished_jobs && Clock::now() < deadline) {
    has_unfinished_jobs = false;
    for (JobOutcome& outcome : outcomes) {
      if (!outcome.m_id.empty() && outcome.m_end_time == TimePoint()) {
        PollJob(config, &outcome);
        has_unfinished_jobs =
            has_unfinished_jobs || outcome.m_end_time == TimePoint();
      }
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return outcomes;
}

}  // namespace hyssopspar::load
