#include "hyssopspar/jobs/urgency.h"

#include <algorithm>

namespace hyssopspar::jobs {

namespace {

/// Mean run time of a queue until one of its tasks has ended.
constexpr Duration kDefaultRunTime = std::chrono::seconds(2);
/// Weight of a new run time in the exponential moving average.
constexpr double kNewSampleWeight = 0.02;
/// Weight of the slowest run time of a new step.
constexpr double kNewStepWeight = 0.1;
/// Run time of the slowest task of a step relative to the mean, until a step of
/// the queue has ended.
constexpr double kSlowestTaskFactor = 1.5;

/// Estimated number of steps that remain on the critical path. Counts done
/// steps of the first occurrence kept, on and off the critical path.
std::uint32_t RemainingSteps(const Job& job) {
  const std::vector<StepPlan>& steps = job.m_submission.m_plan.m_steps;
  std::uint32_t done = 0;
  const std::size_t first = job.m_done_tasks_of_step.First();
  for (std::size_t i = 0; i < steps.size(); ++i) {
    done += job.m_done_tasks_of_step[first + i] == steps[i].m_tasks ? 1 : 0;
  }
  return std::max<std::uint32_t>(
      1, job.m_critical_path_steps -
             std::min<std::uint32_t>(done, job.m_critical_path_steps));
}

/// True if some, but not all, tasks of a step are done. The others of that step
/// need about the mean run time rather than that of the slowest of all.
bool HasPartlyDoneStep(const Job& job) {
  const std::vector<StepPlan>& steps = job.m_submission.m_plan.m_steps;
  const std::size_t first = job.m_done_tasks_of_step.First();
  for (std::size_t i = 0; i < steps.size(); ++i) {
    const std::uint32_t done = job.m_done_tasks_of_step[first + i];
    if (done > 0 && done < steps[i].m_tasks) {
      return true;
    }
  }
  return false;
}

/// Time of the job's remaining steps when none of them has to wait.
Duration RemainingRunTime(const Job& job, const RunTimeEstimates& run_times) {
  const std::string& queue = job.m_submission.m_queue.m_name;
  const Duration step_time = run_times.EstimateStepTime(queue);
  const std::uint32_t steps = RemainingSteps(job);
  if (!HasPartlyDoneStep(job)) {
    return steps * step_time;
  }
  return (steps - 1) * step_time +
         std::min(step_time, run_times.MeanRunTime(queue));
}

void AddSample(std::map<std::string, Duration>* means,
               const std::string& queue,
               double weight,
               Duration sample) {
  const auto inserted = means->emplace(queue, sample);
  if (!inserted.second) {
    Duration& mean = inserted.first->second;
    mean += std::chrono::duration_cast<Duration>((sample - mean) * weight);
  }
}

}  // namespace

void RunTimeEstimates::Add(const std::string& queue, Duration run_time) {
  AddSample(&m_mean_by_queue, queue, kNewSampleWeight, run_time);
}

void RunTimeEstimates::AddSlowestOfStep(const std::string& queue,
                                        Duration run_time) {
  AddSample(&m_slowest_by_queue, queue, kNewStepWeight, run_time);
}

Duration RunTimeEstimates::MeanRunTime(const std::string& queue) const {
  const auto it = m_mean_by_queue.find(queue);
  return it == m_mean_by_queue.end() ? kDefaultRunTime : it->second;
}

Duration RunTimeEstimates::EstimateStepTime(const std::string& queue) const {
  const auto it = m_slowest_by_queue.find(queue);
  return it != m_slowest_by_queue.end()
             ? it->second
             : std::chrono::duration_cast<Duration>(MeanRunTime(queue) *
                                                    kSlowestTaskFactor);
}

bool IsLongRunning(const JobPlan& plan) {
  return std::any_of(plan.m_steps.begin(), plan.m_steps.end(),
                     [](const StepPlan& step) { return step.m_long_running; });
}

milliseconds ObjectiveOf(const QueuePolicy& queue,
                         std::uint32_t critical_path_steps,
                         milliseconds step_time) {
  return milliseconds(static_cast<std::int64_t>(
             queue.m_stretch *
             static_cast<double>(critical_path_steps * step_time.count()))) +
         queue.m_latency_target;
}

Urgency UrgencyOf(const Job& job,
                  const RunTimeEstimates& run_times,
                  std::int64_t unix_now) {
  const Submission& submission = job.m_submission;
  const std::int64_t accepted = submission.m_accepted_unix_ms;
  const bool long_running = IsLongRunning(submission.m_plan);
  if (long_running || submission.m_plan.m_occurrences > 0) {
    const DeadlineStatus status = long_running && !job.m_has_started_task
                                      ? DeadlineStatus::kNoDeadline
                                      : DeadlineStatus::kMeetsObjective;
    return {submission.m_queue.m_priority, status, accepted, job.m_number};
  }
  const std::int64_t objective =
      ObjectiveOf(submission.m_queue, job.m_critical_path_steps,
                  milliseconds(ToMillis(
                      run_times.EstimateStepTime(submission.m_queue.m_name))))
          .count();
  const std::int64_t earliest_end =
      unix_now + ToMillis(RemainingRunTime(job, run_times));
  DeadlineStatus status = DeadlineStatus::kMeetsObjective;
  std::int64_t deadline = accepted + objective;
  if (earliest_end > deadline) {
    status = DeadlineStatus::kWithinLateLimit;
    deadline = accepted + kLateLimitFactor * objective;
  }
  if (earliest_end > deadline) {
    status = DeadlineStatus::kBeyondLateLimit;
  }
  return {submission.m_queue.m_priority, status, deadline, job.m_number};
}

}  // namespace hyssopspar::jobs
