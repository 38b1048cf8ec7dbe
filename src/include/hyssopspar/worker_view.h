/// \file
/// Last known state of one worker, as cached by the owner of its cell.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "hyssopspar/time.h"
#include "hyssopspar/worker_control.h"

namespace hyssopspar {

/// Tracks one attempt whose start command was sent to the worker.
struct SentStart {
  std::uint64_t m_boot_id = 0;  ///< Boot of the worker that the command names.
  WorkerTime m_not_after;       ///< The worker refuses the command after this.
  bool m_seen = false;          ///< The worker has reported the attempt.
};

/// All TimePoint members are local times of the owner.
struct WorkerView {
  // The last report relates the worker's clock to the local clock.
  bool m_has_report = false;        ///< At least one report has arrived.
  std::uint64_t m_boot_id = 0;      ///< Worker's boot in the last report.
  WorkerTime m_report_worker_time;  ///< Worker's clock in the last report.
  TimePoint m_report_time;          ///< Arrival of the last report.

  bool m_in_flight = false;  ///< A sync awaits its answer.
  TimePoint m_next_sync;     ///< When the next periodic sync is due.
  /// Latest expiry of the leases granted in all messages sent so far.
  TimePoint m_lease_deadline;
  /// The worker refuses the last message sent after this time.
  TimePoint m_last_sync_not_after;
  /// From this time on the worker refuses every message whose answer was lost.
  TimePoint m_unacknowledged_until;
  std::uint32_t m_consecutive_errors = 0;  ///< Consecutive failed syncs.

  std::map<AttemptId, TaskReport> m_tasks;  ///< From the last report.
  std::map<AttemptId, SentStart> m_starts;

  std::uint32_t m_failures = 0;   ///< Consecutive failed attempts.
  std::set<JobId> m_failed_jobs;  ///< Jobs of these attempts.
  TimePoint m_quarantined_until;  ///< No starts before this time.
};

/// Converts the local time \p at to a reading of the worker's clock. The result
/// is a lower bound, because the worker read its clock before its report
/// arrived.
WorkerTime ToWorkerTime(const WorkerView& view, TimePoint at);

/// Applies a report that arrived at \p now.
void ApplyWorkerReport(WorkerView* view,
                       const WorkerReport& report,
                       TimePoint now);

}  // namespace hyssopspar
