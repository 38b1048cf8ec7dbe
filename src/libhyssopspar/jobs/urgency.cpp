#include "hyssopspar/jobs/urgency.h"

#include <algorithm>

namespace hyssopspar::jobs {

namespace {

/// Assumed until a task of the queue has ended.
constexpr Duration kUnknownRunTime = std::chrono::seconds(2);
/// Weight of a new run time in the mean.
constexpr double kMeanWeight = 0.02;
/// The slowest of a step's tasks, against the mean.
constexpr double kSlowestTask = 1.5;
/// A job is worth something up to this multiple of its objective.
constexpr std::int64_t kLateLimit = 3;

/// Steps of the longest chain that have not ended, roughly.
std::uint32_t StepsLeft(const Job& job) {
  const std::vector<StepPlan>& steps = job.m_submission.m_plan.m_steps;
  std::uint32_t done = 0;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    done += job.m_step_done[i] == steps[i].m_tasks ? 1 : 0;
  }
  return std::max<std::uint32_t>(
      1, job.m_depth - std::min<std::uint32_t>(done, job.m_depth));
}

bool IsLongRunning(const Job& job) {
  const std::vector<StepPlan>& steps = job.m_submission.m_plan.m_steps;
  return std::any_of(steps.begin(), steps.end(),
                     [](const StepPlan& step) { return step.m_long_running; });
}

}  // namespace

void RunTimes::Add(const std::string& queue, Duration run_time) {
  const auto inserted = m_means.emplace(queue, run_time);
  if (!inserted.second) {
    Duration& mean = inserted.first->second;
    mean +=
        std::chrono::duration_cast<Duration>((run_time - mean) * kMeanWeight);
  }
}

Duration RunTimes::StepTime(const std::string& queue) const {
  const auto it = m_means.find(queue);
  return std::chrono::duration_cast<Duration>(
      (it == m_means.end() ? kUnknownRunTime : it->second) * kSlowestTask);
}

Urgency UrgencyOf(const Job& job,
                  const RunTimes& run_times,
                  std::int64_t unix_now) {
  const Submission& submission = job.m_submission;
  const std::int64_t accepted = submission.m_accepted_unix_ms;
  if (IsLongRunning(job) || submission.m_plan.m_occurrences > 0) {
    return {submission.m_queue.m_priority, Prospect::kInTime, accepted,
            job.m_number};
  }
  const std::int64_t step_time =
      ToMillis(run_times.StepTime(submission.m_queue.m_name));
  const std::int64_t objective =
      static_cast<std::int64_t>(submission.m_queue.m_stretch *
                                static_cast<double>(job.m_depth * step_time)) +
      submission.m_queue.m_latency_target.count();
  const std::int64_t earliest_end = unix_now + StepsLeft(job) * step_time;
  Prospect prospect = Prospect::kInTime;
  std::int64_t deadline = accepted + objective;
  if (earliest_end > deadline) {
    prospect = Prospect::kLate;
    deadline = accepted + kLateLimit * objective;
  }
  if (earliest_end > deadline) {
    prospect = Prospect::kOverdue;
  }
  return {submission.m_queue.m_priority, prospect, deadline, job.m_number};
}

}  // namespace hyssopspar::jobs
