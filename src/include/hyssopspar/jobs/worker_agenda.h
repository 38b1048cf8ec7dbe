/// \file
/// Workers that need attention, so that a round of decisions doesn't examine
/// all workers.

#pragma once

#include <set>
#include <utility>
#include <vector>

#include "hyssopspar/jobs/worker.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Indexes over the state of a cell's workers. Kept up to date by
/// UpdateAgenda().
struct WorkerAgenda {
  /// Workers that get a heartbeat, by time.
  std::set<std::pair<TimePoint, int>> m_heartbeats;
  /// Workers without placements until a time, by that time.
  std::set<std::pair<TimePoint, int>> m_resumptions;
  /// Workers whose expected tail latencies change without an event, by time.
  std::set<std::pair<TimePoint, int>> m_tail_changes;
  /// Unreachable workers with tasks, by the end of their lease.
  std::set<std::pair<TimePoint, int>> m_lease_expiries;
  /// Workers with processed ends that are not acknowledged yet.
  std::set<int> m_with_unacknowledged_ends;

  /// Position of a worker in the sets above; max(): not in the set.
  struct Entry {
    TimePoint m_heartbeat = TimePoint::max();
    TimePoint m_resumption = TimePoint::max();
    TimePoint m_tail_change = TimePoint::max();
    TimePoint m_lease_expiry = TimePoint::max();
  };
  std::vector<Entry> m_entries;  ///< By worker index.
};

/// Adapts the indexes to the current state of the worker with the index
/// \p index.
void UpdateAgenda(WorkerAgenda* agenda,
                  int index,
                  const Worker& worker,
                  TimePoint now);

}  // namespace hyssopspar::jobs
