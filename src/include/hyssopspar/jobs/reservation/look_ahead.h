/// \file
/// State of the look-ahead placement of a cell.

#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "hyssopspar/jobs/forecast/run_time_samples.h"
#include "hyssopspar/jobs/reservation/placement_waits.h"
#include "hyssopspar/jobs/reservation/reservation_plan.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Kept in memory only: a new owner starts with declared estimates and without
/// reservations.
struct LookAhead {
  RunTimesByQueue m_run_times;
  ReservationState m_reservations;
  std::int64_t m_large_cpu_milli = 0;  ///< Valid from the first plan on.
  TimePoint m_next_plan;
  /// Of tasks placed since the last log line, up to kMaxPlacementWaits; kept
  /// without look-ahead too, so that both can be compared.
  std::vector<PlacementWait> m_waits;
};

inline constexpr std::size_t kMaxPlacementWaits = 4096;

/// Quantiles of the time left of running tasks and of the run time of tasks to
/// be placed. A task that is placed beside a reservation must almost certainly
/// end before it starts, while a reservation that starts late by chance moves.
inline constexpr double kReleaseQuantile = 0.75;
inline constexpr double kBackfillQuantile = 0.9;

}  // namespace hyssopspar::jobs
