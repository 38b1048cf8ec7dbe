/// \file
/// Scheduling order of jobs.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "hyssopspar/jobs/job.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Moving averages of observed task run times by queue. Declared estimates are
/// not used because they are far from the actual run times.
class RunTimeEstimates {
 public:
  void Add(const std::string& queue, Duration run_time);
  /// Adds the longest run time among the tasks of a step that has ended.
  void AddSlowestOfStep(const std::string& queue, Duration run_time);
  Duration MeanRunTime(const std::string& queue) const;
  /// Estimated run time of the slowest task of a step.
  Duration EstimateStepTime(const std::string& queue) const;

 private:
  std::map<std::string, Duration> m_mean_by_queue;
  std::map<std::string, Duration> m_slowest_by_queue;
};

/// Late limit as a multiple of the objective: a job that ends later has no
/// value.
inline constexpr std::int64_t kLateLimitFactor = 3;

/// True if a step of the job runs until the job is cancelled.
bool IsLongRunning(const JobPlan& plan);

/// Time from its acceptance in which a job of the queue is to end, with
/// \p critical_path_steps steps that take \p step_time each.
milliseconds ObjectiveOf(const QueuePolicy& queue,
                         std::uint32_t critical_path_steps,
                         milliseconds step_time);

/// Whether a job can still meet its queue's completion objective, or at least
/// end within the late limit, a multiple of the objective.
enum class DeadlineStatus {
  kMeetsObjective,   ///< The job can still meet the objective.
  kWithinLateLimit,  ///< The job misses it, but can meet the late limit.
  /// A long-running job without a started task. It has no deadline, and keeps
  /// the room that short jobs would return.
  kNoDeadline,
  kBeyondLateLimit,  ///< The job misses the late limit too.
};

/// Sort key; smaller values are scheduled first. Consists of the queue's
/// priority, deadline status, deadline in Unix milliseconds and order of
/// arrival.
using Urgency =
    std::tuple<std::int64_t, DeadlineStatus, std::int64_t, std::uint64_t>;

/// \p unix_now is the current Unix time in milliseconds.
Urgency UrgencyOf(const Job& job,
                  const RunTimeEstimates& run_times,
                  std::int64_t unix_now);

}  // namespace hyssopspar::jobs
