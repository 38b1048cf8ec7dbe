/// \file
/// One scheduler's participation in one cell: it follows the cell's stream,
/// claims the cell when it has no active owner and, while it owns the cell,
/// makes its decisions.
///
/// The functions do no input or output. Callers pass in the current time and
/// what was received, and send what is returned.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hyssopspar/cell_replay.h"
#include "hyssopspar/config_state.h"
#include "hyssopspar/membership.h"
#include "hyssopspar/sched_settings.h"
#include "hyssopspar/vm_directory.h"
#include "hyssopspar/worker_view.h"

namespace hyssopspar {

/// The batch that was sent and not yet read back from the stream. It is re-sent
/// byte for byte until then; readers detect repeats by its sequence number, so
/// that a lost answer does no harm.
struct OutstandingBatch {
  Batch m_batch;
  std::string m_payload;
  TimePoint m_first_sent;
  TimePoint m_retry_at;
  bool m_in_flight = false;  ///< An append was sent and not yet answered.
};

/// A record to append to another cell's stream: a task that is handed off, or
/// the cancellation of a job.
struct TransferOrder {
  std::string m_target;       ///< Name of the other cell.
  TaskId m_task;              ///< Unused for cancellations.
  std::uint32_t m_hop = 0;    ///< Unused for cancellations.
  JobId m_cancelled_job = 0;  ///< 0 for a task.
  std::string m_payload;
};

/// Counters of this scheduler's activity in the cell, for metrics.
struct CellCounters {
  std::uint64_t m_starts = 0;
  std::uint64_t m_finishes = 0;
  std::uint64_t m_evictions = 0;
  /// Own decisions that replay rejected, not counting duplicates.
  std::uint64_t m_rejected = 0;
  std::uint64_t m_takeovers = 0;
  std::uint64_t m_batches = 0;
};

/// One scheduler's replica of one cell, whether the scheduler owns the cell or
/// only follows it.
struct CellReplica {
  std::string m_cell;
  std::string m_failure_domain;
  WriterId m_writer = 0;
  Sequence m_next_sequence = 1;
  CellReplay m_replay;

  bool m_caught_up = false;     ///< The last read reached the stream's end.
  bool m_last_read_ok = false;  ///< The last read succeeded.
  TimePoint m_last_read_sent;   ///< Send time of the last successful read.
  /// When a record of the owner was last read, or when reads succeeded again
  /// after a failure.
  TimePoint m_owner_last_active;

  /// This scheduler's claim was read back and is in force.
  bool m_owned = false;
  TimePoint m_lease_deadline;  ///< End of the ownership lease.
  /// Worker leases are renewed until then, also while the log is unreachable.
  TimePoint m_outage_deadline;
  /// Time by which all worker leases granted by earlier owners have expired.
  TimePoint m_prior_leases_expired_at;
  TimePoint m_next_batch_at;  ///< Earliest time to plan the next batch.
  TimePoint m_renew_at;       ///< A batch is due then, even an empty one.
  TimePoint m_owned_since;
  bool m_releasing = false;  ///< The owner is about to release the cell.
  std::optional<OutstandingBatch> m_outstanding;
  std::uint64_t m_records_since_snapshot = 0;

  std::map<std::string, WorkerView> m_workers;  ///< By name.
  /// Time since which the VM list has shown a worker as dead, by name.
  std::map<std::string, TimePoint> m_dead_since;
  /// Attempts committed since the takeover for which no end was decided yet.
  std::set<AttemptId> m_own_commits;
  /// Earliest time of the next attempt of a task that failed.
  std::map<TaskId, TimePoint> m_not_before;
  std::map<TaskId, TimePoint> m_pending_since;
  std::map<JobId, TimePoint> m_ended_at;  ///< When planning saw the job ended.
  std::map<TaskId, TimePoint> m_transfer_retry_at;
  std::set<JobId> m_succeeded_jobs;  ///< Jobs of which a task has finished.
  std::map<JobId, TimePoint> m_cancel_retry_at;
  /// Cells to whose streams the job's cancellation was appended.
  std::map<JobId, std::set<std::string>> m_cancel_delivered_to;
  /// Transfers whose append succeeded, to be recorded in the next batch.
  std::vector<TransferOrder> m_delivered_transfers;

  CellCounters m_counters;
};

/// Inputs that all cells of a scheduler share.
struct CellContext {
  const SchedSettings* m_settings = nullptr;
  const ConfigState* m_config = nullptr;
  TimePoint m_config_as_of;     ///< Time as of which m_config is current.
  bool m_config_ready = false;  ///< A configuration was read.
  const std::map<std::string, Vm>* m_vms = nullptr;  ///< Null until received.
  const Membership* m_membership = nullptr;
  bool m_leaving = false;  ///< This process is shutting down.
};

/// A message to send to a worker.
struct SyncOrder {
  std::string m_worker;  ///< Name.
  std::string m_address;
  WorkerSync m_sync;
};

/// Messages to send after a tick.
struct CellOutput {
  std::optional<std::string> m_append;  ///< To the cell's own stream.
  std::vector<TransferOrder> m_transfers;
  std::vector<SyncOrder> m_syncs;
};

/// True if \p replica owns the cell and its ownership lease is valid at \p now.
bool HoldsLease(const CellReplica& replica, TimePoint now);

/// Applies records read from the cell's stream. The read was sent at \p sent.
void HandleCellRead(CellReplica* replica,
                    const CellContext& context,
                    const LogSlice& slice,
                    TimePoint sent,
                    TimePoint now);

/// Records that a read of the cell's stream failed.
void HandleCellReadFailure(CellReplica* replica);

/// Records the result of appending the outstanding batch.
void HandleCellAppendResult(CellReplica* replica,
                            const SchedSettings& settings,
                            bool succeeded,
                            TimePoint now);

/// Applies a worker's answer to a sync, or the error of the call.
void HandleWorkerReport(CellReplica* replica,
                        const std::string& worker,
                        const Result<WorkerReport>& report,
                        TimePoint now);

/// Records the result of appending a transfer to another cell's stream.
void HandleTransferResult(CellReplica* replica,
                          const TransferOrder& order,
                          bool succeeded);

/// Decides what to send at \p now.
CellOutput TickCell(CellReplica* replica,
                    const CellContext& context,
                    TimePoint now);

/// Summary of an owned cell for the heartbeat to other schedulers.
CellSummary SummarizeCell(const CellReplica& replica,
                          const CellContext& context);

/// Decisions for the next batch of an owned cell. A separate function so that
/// the planning can be tested and benchmarked without TickCell.
std::vector<Decision> PlanCell(CellReplica* replica,
                               const CellContext& context,
                               TimePoint now);

}  // namespace hyssopspar
