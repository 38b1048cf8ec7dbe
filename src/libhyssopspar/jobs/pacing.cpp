#include "hyssopspar/jobs/pacing.h"

#include <algorithm>
#include <cmath>

namespace hyssopspar::jobs {

namespace {

/// Range of the deviations from a forecast that set the limits. A smaller one
/// is not trusted; with a larger one the limits are the defaults.
constexpr double kMinLoadDeviation = 0.06;
constexpr double kMaxLoadDeviation = 0.17;
/// Tasks throttled below this percentage are paused instead, because they would
/// interfere with other tasks without making useful progress.
constexpr int kMinRunningPercent = 15;
/// A task that raises log(tail ratio) by less than this when unthrottled is not
/// considered a cause of a high tail ratio.
constexpr double kMinLogIncrease = 0.05;

/// Rise of log(tail ratio) per percent of the task's throttle percentage.
double LogIncreasePerPercent(const InterferenceModel& model,
                             const ServingTailLatency& tail,
                             const BestEffortTask& task) {
  return model.Slope(tail.m_image, task.m_image) * task.m_cpu_share /
         kUnthrottledPercent;
}

/// Highest LogIncreasePerPercent of the task over all \p tails.
double MaxLogIncreasePerPercent(const InterferenceModel& model,
                                const std::vector<ServingTailLatency>& tails,
                                const BestEffortTask& task) {
  double max_increase = 0;
  for (const ServingTailLatency& tail : tails) {
    max_increase =
        std::max(max_increase, LogIncreasePerPercent(model, tail, task));
  }
  return max_increase;
}

/// Replaces percentages below kMinRunningPercent by 0, which pauses the task.
int PercentOrPause(int percent) {
  return percent < kMinRunningPercent ? 0 : percent;
}

/// Throttles tasks, in order of decreasing interference, until the predicted
/// ratio of \p tail is at most \p target. \p by_interference is sorted
/// by increasing interference.
void ThrottleForTail(const InterferenceModel& model,
                     const ServingTailLatency& tail,
                     double target,
                     const std::vector<BestEffortTask*>& by_interference) {
  double excess = std::log(tail.m_ratio / target);
  for (const BestEffortTask* const task : by_interference) {
    excess -= LogIncreasePerPercent(model, tail, *task) *
              (task->m_percent - task->m_new_percent);
  }
  for (auto it = by_interference.rbegin(); it != by_interference.rend(); ++it) {
    BestEffortTask& task = **it;
    const double log_increase = LogIncreasePerPercent(model, tail, task);
    if (excess <= 0 || log_increase * kUnthrottledPercent < kMinLogIncrease) {
      continue;
    }
    const int cut = std::min(static_cast<int>(std::ceil(excess / log_increase)),
                             task.m_new_percent);
    const int percent = PercentOrPause(task.m_new_percent - cut);
    excess -= log_increase * (task.m_new_percent - percent);
    task.m_new_percent = percent;
  }
}

/// Relaxes throttles, in order of increasing interference, as far as
/// \p headroom, the allowed rise of log(tail ratio), permits.
void RelaxThrottles(const InterferenceModel& model,
                    const std::vector<ServingTailLatency>& tails,
                    double headroom,
                    const std::vector<BestEffortTask*>& by_interference) {
  for (BestEffortTask* const task : by_interference) {
    const double log_increase = MaxLogIncreasePerPercent(model, tails, *task);
    const int increase = kUnthrottledPercent - task->m_percent;
    const int allowed_increase =
        log_increase * increase <= headroom
            ? increase
            : static_cast<int>(headroom / log_increase);
    const int percent = PercentOrPause(task->m_percent + allowed_increase);
    headroom -= log_increase * (percent - task->m_percent);
    task->m_new_percent = percent;
  }
}

}  // namespace

TailLimits LimitsForDeviation(double deviation) {
  if (deviation > kMaxLoadDeviation) {
    return TailLimits();
  }
  const double margin = std::max(deviation, kMinLoadDeviation);
  TailLimits limits;
  limits.m_place = std::exp(-1.5 * margin);
  limits.m_throttle = std::exp(-margin);
  limits.m_target = limits.m_place;
  limits.m_relax = std::exp(-2 * margin);
  return limits;
}

int EstimateThrottlePercent(double used_cpu_milli, std::int64_t cpu_milli) {
  if (cpu_milli <= 0) {
    return kUnthrottledPercent;
  }
  const double percent =
      kUnthrottledPercent * used_cpu_milli / static_cast<double>(cpu_milli);
  return std::clamp(static_cast<int>(std::lround(percent)), kMinRunningPercent,
                    kUnthrottledPercent);
}

void ChooseThrottlePercents(const InterferenceModel& model,
                            const std::vector<ServingTailLatency>& tails,
                            bool pause_all,
                            std::vector<BestEffortTask>* tasks,
                            const TailLimits& limits) {
  std::vector<BestEffortTask*> by_interference;
  for (BestEffortTask& task : *tasks) {
    task.m_new_percent = pause_all ? 0 : task.m_percent;
    by_interference.push_back(&task);
  }
  if (pause_all) {
    return;
  }
  std::sort(by_interference.begin(), by_interference.end(),
            [&](const BestEffortTask* a, const BestEffortTask* b) {
              return MaxLogIncreasePerPercent(model, tails, *a) <
                     MaxLogIncreasePerPercent(model, tails, *b);
            });
  double highest = 0;
  for (const ServingTailLatency& tail : tails) {
    highest = std::max(highest, tail.m_ratio);
    if (tail.m_ratio > limits.m_throttle) {
      ThrottleForTail(model, tail, limits.m_target, by_interference);
    }
  }
  if (highest < limits.m_relax) {
    // Without an observed tail ratio, the headroom is larger than any rise that
    // the tasks could cause.
    const double headroom =
        highest > 0 ? std::log(limits.m_target / highest) : kUnthrottledPercent;
    RelaxThrottles(model, tails, headroom, by_interference);
  }
}

}  // namespace hyssopspar::jobs
