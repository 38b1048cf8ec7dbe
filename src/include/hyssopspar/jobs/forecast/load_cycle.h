/// \file
/// Forecast of a serving job's tail latency from the cycle of its load.

#pragma once

#include <array>
#include <cstddef>

#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Number of cycle lengths that are tried.
inline constexpr std::size_t kCycleCandidates = 27;

/// Sums for the least-squares fit of `level + a sin + b cos` to log(tail
/// ratio) at one cycle length. Old observations fade out.
struct CycleSums {
  double m_sin = 0;
  double m_cos = 0;
  double m_sin_sin = 0;
  double m_sin_cos = 0;
  double m_cos_cos = 0;
  double m_sin_value = 0;
  double m_cos_value = 0;
};

/// A fit of `level + a sin + b cos`.
struct LoadFit {
  std::size_t m_candidate = 0;  ///< Number of the cycle length.
  double m_level = 0;
  double m_sin = 0;
  double m_cos = 0;
  /// Standard deviation of the observations from the fit.
  double m_deviation = 0;
};

/// Load of one serving job, observed at the tasks of the job on all workers.
struct LoadCycle {
  TimePoint m_origin;  ///< Time of phase 0.
  TimePoint m_observed_until;
  TimePoint m_fitted_at;
  double m_weight = 0;  ///< Of all observations.
  double m_value = 0;   ///< Weighted sum of the values.
  double m_square = 0;  ///< Weighted sum of their squares.
  std::array<CycleSums, kCycleCandidates> m_sums;

  LoadFit m_fit;
  /// True when the fit's cycle explains the observations.
  bool m_has_cycle = false;
};

/// Adds an observation of log(tail ratio) without the effect of best-effort
/// tasks. \p weight is at most 1; lower for a less certain observation.
void ObserveLoad(LoadCycle* cycle, TimePoint at, double value, double weight);

/// True if the cycle is known and was observed shortly before \p now. An older
/// one has lost its phase, or its tasks are so overloaded that their tails say
/// nothing about the load.
bool HasForecast(const LoadCycle& cycle, TimePoint now);

/// Expected log(tail ratio) at \p at. Use it only if HasForecast().
double ForecastLoad(const LoadCycle& cycle, TimePoint at);

/// Largest expected change of log(tail ratio) from \p from to a time in
/// [\p begin, \p end]; 0 without a forecast at \p begin.
double LargestLoadChange(const LoadCycle& cycle,
                         TimePoint from,
                         TimePoint begin,
                         TimePoint end);

}  // namespace hyssopspar::jobs
