/// \file
/// Which capacity is held for which waiting tasks.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hyssopspar/jobs/forecast/capacity_forecast.h"
#include "hyssopspar/jobs/reservation/hold.h"
#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Large tasks of a step that find no worker.
struct WaitingStep {
  std::string m_service;  ///< Required worker pool.
  std::string m_label;    ///< Required worker label; "": any worker.
  Resources m_need;       ///< Of each task.
  std::uint32_t m_tasks = 0;
  bool m_gang = false;  ///< The tasks start together.
  /// Limit of the step's tasks on one worker, and their number on each worker;
  /// 0 and empty: no limit.
  std::uint32_t m_max_per_worker = 0;
  std::vector<std::uint32_t> m_on_worker;
  TimePoint m_since;    ///< Start of the wait.
  TimePoint m_seen_at;  ///< Last pass in which the tasks found no worker.
  /// Capacity kept idle for the step so far, in core-milliseconds.
  double m_idle_core_ms = 0;
  /// Limit of m_idle_core_ms under the present reservations: their gain.
  double m_allowed_core_ms = 0;
};

/// A worker that accepts tasks, and its forecast.
struct WorkerForecast {
  CapacityForecast m_capacity;
  std::string m_service;
  std::vector<std::string> m_labels;
};

/// What became of reservations, since the start.
struct ReservationCounts {
  std::uint64_t m_granted = 0;
  std::uint64_t m_used = 0;
  std::uint64_t m_expired = 0;     ///< The forecast did not come true.
  std::uint64_t m_lost = 0;        ///< The worker accepts no tasks any more.
  std::uint64_t m_uneconomic = 0;  ///< Idle capacity exceeded the gain.
  std::uint64_t m_superseded = 0;  ///< The tasks no longer wait.
};

struct ReservationState {
  std::map<StepKey, WaitingStep> m_waiting;
  Holds m_holds;
  ReservationCounts m_counts;
  double m_idle_core_ms = 0;  ///< Kept idle by all reservations so far.
};

/// Time between plans. A worker's forecast changes little in this time, while a
/// pass may follow the last one after 20 ms.
inline constexpr milliseconds kPlanInterval{250};

/// Drops the reservations that don't hold any more, grants new ones and chooses
/// the gaps to be avoided. \p workers are ordered by index. Returns the workers
/// whose holds have changed.
std::vector<int> PlanReservations(const std::vector<WorkerForecast>& workers,
                                  TimePoint now,
                                  ReservationState* state);

/// Removes the holds that tasks of the step placed on \p placed_on have used,
/// or all of them when none of its tasks waits any more. Returns the workers
/// whose holds have changed.
std::vector<int> UseReservations(const StepKey& step,
                                 const std::vector<int>& placed_on,
                                 bool still_waiting,
                                 ReservationState* state);

/// Present reservations, for logs and metrics.
struct ReservationSummary {
  std::size_t m_count = 0;
  std::int64_t m_reserved_cpu_milli = 0;
  TimePoint m_oldest = TimePoint::max();  ///< When it was granted.
};
ReservationSummary Summarize(const Holds& holds);

}  // namespace hyssopspar::jobs
