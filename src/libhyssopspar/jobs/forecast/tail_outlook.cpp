#include "hyssopspar/jobs/forecast/tail_outlook.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace hyssopspar::jobs {

namespace {

/// Age of the middle of the time that a reported tail latency covers.
constexpr milliseconds kReportCentre{250};
/// Time until a throttle that follows the next report has taken effect.
constexpr milliseconds kThrottleHorizon{800};
/// Time for which a new best-effort task is expected to run.
constexpr milliseconds kRunHorizon{2000};
/// Tail ratios from which the load is learned. Lower ones can't be told apart
/// in whole milliseconds, higher ones come from queues that overflow.
constexpr double kMinLoadRatio = 0.05;
constexpr double kMaxLoadRatio = 1.2;
/// Weight of an observation from which the effect of best-effort tasks had to
/// be taken off.
constexpr double kInterferedWeight = 0.1;

/// The tail when its load is highest in the time \p horizon from \p now on.
ServingTailLatency HighestWithin(const ReportedTail& reported,
                                 TimePoint now,
                                 milliseconds horizon) {
  ServingTailLatency tail = reported.m_tail;
  if (reported.m_cycle == nullptr) {
    return tail;
  }
  const double change = LargestLoadChange(
      *reported.m_cycle, now - kReportCentre, now, now + horizon);
  // A tail above its target is acted upon even if its load is falling.
  if (change > 0 || tail.m_ratio <= 1) {
    tail.m_ratio *= std::exp(change);
  }
  return tail;
}

}  // namespace

std::vector<ServingTailLatency> WorstByImage(
    const std::vector<ServingTailLatency>& tails) {
  std::vector<ServingTailLatency> worst;
  for (const ServingTailLatency& tail : tails) {
    const auto of_image = std::find_if(
        worst.begin(), worst.end(), [&tail](const ServingTailLatency& other) {
          return other.m_image == tail.m_image;
        });
    if (of_image == worst.end()) {
      worst.push_back(tail);
    } else {
      of_image->m_ratio = std::max(of_image->m_ratio, tail.m_ratio);
    }
  }
  return worst;
}

TailOutlook OutlookOf(const std::vector<ReportedTail>& tails, TimePoint now) {
  std::vector<ServingTailLatency> soon;
  std::vector<ServingTailLatency> ahead;
  bool all_have_cycles = !tails.empty();
  double deviation = 0;
  for (const ReportedTail& reported : tails) {
    soon.push_back(HighestWithin(reported, now, kThrottleHorizon));
    ahead.push_back(HighestWithin(reported, now, kRunHorizon));
    all_have_cycles = all_have_cycles && reported.m_cycle != nullptr &&
                      HasForecast(*reported.m_cycle, now);
    if (all_have_cycles) {
      deviation = std::max(deviation, reported.m_cycle->m_fit.m_deviation);
    }
  }
  return {WorstByImage(soon), WorstByImage(ahead),
          all_have_cycles ? LimitsForDeviation(deviation) : TailLimits()};
}

void LearnFromReport(const std::vector<ReportedTail>& tails,
                     const std::vector<InterferenceSource>& sources,
                     TimePoint now,
                     InterferenceModel* model) {
  const TimePoint at = now - kReportCentre;
  for (const ReportedTail& reported : tails) {
    const ServingTailLatency& tail = reported.m_tail;
    LoadCycle* const cycle = reported.m_cycle;
    const bool has_cycle = cycle != nullptr && HasForecast(*cycle, now);
    model->Observe(tail.m_image, tail.m_ratio, sources,
                   has_cycle ? std::optional<double>(ForecastLoad(*cycle, at))
                             : std::nullopt);
    if (cycle == nullptr || tail.m_ratio < kMinLoadRatio ||
        tail.m_ratio > kMaxLoadRatio) {
      continue;
    }
    double value = std::log(tail.m_ratio);
    for (const InterferenceSource& source : sources) {
      value -= model->Slope(tail.m_image, source.m_image) * source.m_cpu_share;
    }
    ObserveLoad(cycle, at, value, sources.empty() ? 1 : kInterferedWeight);
  }
}

}  // namespace hyssopspar::jobs
