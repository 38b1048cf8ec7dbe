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
constexpr int kSubmitTries = 5;

/// Submits, going on to the next scheduler when one fails; the key makes the
/// repeats harmless.
void Submit(const LoadConfig& config, std::size_t first, JobRecord* record) {
  const std::string body =
      Json{{"job", record->m_job}, {"key", record->m_key}}.dump();
  for (int i = 0; i < kSubmitTries; ++i) {
    const std::string& address =
        config.m_scheds[(first + static_cast<std::size_t>(i)) %
                        config.m_scheds.size()];
    const Result<HttpResponse> answer = CallOnce(
        address, "POST", "/v1/jobs", body, Clock::now() + kCallTimeout);
    if (answer && answer.value().m_status == 202) {
      const Json json = Json::parse(answer.value().m_body, nullptr, false);
      record->m_id = json.value("id", std::string());
      return;
    }
  }
}

/// Asks every scheduler, and counts each task where its hop is highest.
void Poll(const LoadConfig& config, JobRecord* record) {
  struct Newest {
    std::uint64_t m_hop = 0;
    std::uint64_t m_attempt = 0;
    std::string m_state;
  };
  std::map<std::uint64_t, Newest> tasks;
  for (const std::string& address : config.m_scheds) {
    const Result<HttpResponse> answer =
        CallOnce(address, "GET", "/v1/jobs/" + record->m_id, "",
                 Clock::now() + kCallTimeout);
    if (!answer || answer.value().m_status != 200) {
      continue;
    }
    const Json json = Json::parse(answer.value().m_body, nullptr, false);
    for (const Json& task : json.at("tasks")) {
      const Newest seen{task.at("hop").get<std::uint64_t>(),
                        task.at("attempt").get<std::uint64_t>(),
                        task.at("state").get<std::string>()};
      Newest& known = tasks[task.at("index").get<std::uint64_t>()];
      // One scheduler may lag behind another on the same cell.
      const bool ended =
          seen.m_state == "finished" || seen.m_state == "cancelled";
      const bool newer = known.m_state.empty() || seen.m_hop > known.m_hop ||
                         (seen.m_hop == known.m_hop &&
                          (seen.m_attempt > known.m_attempt || ended));
      if (newer) {
        known = seen;
      }
    }
  }
  record->m_tasks = static_cast<std::uint32_t>(tasks.size());
  record->m_finished = 0;
  record->m_cancelled = 0;
  record->m_parked = 0;
  record->m_attempts = 0;
  for (const std::pair<const std::uint64_t, Newest>& entry : tasks) {
    const std::string& state = entry.second.m_state;
    record->m_finished += state == "finished" ? 1 : 0;
    record->m_cancelled += state == "cancelled" ? 1 : 0;
    record->m_parked += state == "parked" ? 1 : 0;
    record->m_attempts += static_cast<std::uint32_t>(entry.second.m_attempt);
  }
  const bool ended =
      record->m_tasks > 0 &&
      record->m_finished + record->m_cancelled + record->m_parked ==
          record->m_tasks;
  if (ended) {
    record->m_ended = Clock::now();
  }
}

}  // namespace

std::vector<JobRecord> RunBatch(const LoadConfig& config) {
  std::vector<JobRecord> records;
  for (const BatchConfig& batch : config.m_batch) {
    for (std::uint32_t i = 0; i < batch.m_count; ++i) {
      JobRecord record;
      record.m_job = batch.m_job;
      record.m_key = batch.m_job + "-" + std::to_string(config.m_seed) + "-" +
                     std::to_string(i);
      records.push_back(record);
    }
  }
  if (records.empty()) {
    return records;
  }
  const TimePoint start = Clock::now();
  const Duration gap =
      config.m_duration / static_cast<std::int64_t>(records.size());
  for (std::size_t i = 0; i < records.size(); ++i) {
    std::this_thread::sleep_until(start + gap * static_cast<std::int64_t>(i));
    records[i].m_submitted = Clock::now();
    Submit(config, i, &records[i]);
  }
  const TimePoint limit = start + config.m_duration + config.m_settle;
  bool open = true;
  while (open && Clock::now() < limit) {
    open = false;
    for (JobRecord& record : records) {
      if (!record.m_id.empty() && record.m_ended == TimePoint()) {
        Poll(config, &record);
        open = open || record.m_ended == TimePoint();
      }
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return records;
}

}  // namespace hyssopspar::load
