/// \file
/// Throttling of best-effort tasks to protect the tail latency of serving tasks
/// on the same worker.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hyssopspar/jobs/interference.h"

namespace hyssopspar::jobs {

/// Throttle percentage of an unthrottled task; 0 pauses a task.
inline constexpr int kUnthrottledPercent = 100;

/// Highest tail latency among the tasks of one serving image on a worker.
struct ServingTailLatency {
  std::string m_image;
  double m_ratio = 0;  ///< Tail latency divided by its target.
};

/// Tail ratios up to which best-effort tasks are added, above which they are
/// throttled, at which a change of throttles aims and below which throttles are
/// relaxed. The defaults leave room for the load to change unforeseen.
struct TailLimits {
  double m_place = 0.7;
  double m_throttle = 0.85;
  double m_target = 0.7;
  double m_relax = 0.65;
};

/// Limits for tails that follow from a forecast of the load, from which they
/// deviate by the standard deviation \p deviation of log(tail ratio).
TailLimits LimitsForDeviation(double deviation);

/// A best-effort task as reported by its worker.
struct BestEffortTask {
  std::string m_image;
  double m_cpu_share = 0;  ///< Share of the worker's CPU, unthrottled.
  int m_percent = kUnthrottledPercent;  ///< Current throttle percentage.
  /// New throttle percentage; set by ChooseThrottlePercents.
  int m_new_percent = kUnthrottledPercent;
};

/// Throttle percentage that explains the reported CPU use of a best-effort task
/// that reserves \p cpu_milli. At least the lowest percentage that does not
/// pause a task. Too low when the worker has less CPU left than the task may
/// use.
int EstimateThrottlePercent(double used_cpu_milli, std::int64_t cpu_milli);

/// Sets m_new_percent of each task so that the model predicts no tail latency
/// above its target. Throttles the tasks with the highest interference first,
/// and relaxes the throttles of those with the lowest interference first. With
/// \p pause_all, pauses all tasks.
void ChooseThrottlePercents(const InterferenceModel& model,
                            const std::vector<ServingTailLatency>& tails,
                            bool pause_all,
                            std::vector<BestEffortTask>* tasks,
                            const TailLimits& limits = TailLimits());

}  // namespace hyssopspar::jobs
