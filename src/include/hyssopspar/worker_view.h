/// \file
/// What the owner of a cell knows about one of its workers.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "hyssopspar/time.h"
#include "hyssopspar/worker_control.h"

namespace hyssopspar {

/// A start that was sent to the worker.
struct StartTrack {
  std::uint64_t m_boot = 0;
  WorkerTime m_not_after;  ///< Latest time at which the worker may take it.
  bool m_seen = false;     ///< The worker has listed the attempt.
};

struct WorkerView {
  // Anchor between the worker's clock and ours.
  bool m_contacted = false;
  std::uint64_t m_boot = 0;
  WorkerTime m_worker_now;  ///< Its clock, read no later than m_received.
  TimePoint m_received;

  bool m_in_flight = false;
  TimePoint m_next_sync;
  /// Every lease granted in messages sent so far has expired by then.
  TimePoint m_lease_deadline;
  /// Local time after which the message in flight is refused.
  TimePoint m_sent_not_after;
  /// Every message whose fate is unknown is refused by then.
  TimePoint m_unsettled_until;
  std::uint32_t m_errors = 0;  ///< In a row.

  std::map<AttemptId, TaskReport> m_tasks;  ///< From the last report.
  std::map<AttemptId, StartTrack> m_starts;

  std::uint32_t m_failures = 0;  ///< Failed attempts in a row.
  std::set<JobId> m_failed_jobs;
  TimePoint m_quarantined_until;
};

/// The worker's clock at our time \p at, or earlier.
WorkerTime ToWorkerTime(const WorkerView& view, TimePoint at);

/// Enters a report that arrived at \p now.
void NoteReport(WorkerView* view, const WorkerReport& report, TimePoint now);

}  // namespace hyssopspar
