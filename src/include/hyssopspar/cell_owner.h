/// \file
/// One scheduler's part in one cell: following its stream, claiming it, and,
/// while it owns it, deciding.
///
/// All functions are free of input and output: they take the time and what was
/// read, and return what to send.

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

/// The batch that was sent and not yet read back. The same bytes are sent until
/// they are, so that an answer that got lost does no harm.
struct OutstandingBatch {
  Batch m_batch;
  std::string m_payload;
  TimePoint m_first_sent;
  TimePoint m_retry_at;
  bool m_in_flight = false;
};

/// A record to append to another cell's stream.
struct TransferOrder {
  std::string m_target;
  TaskId m_task;  ///< Unused for cancellations.
  std::uint32_t m_hop = 0;
  JobId m_cancel = 0;  ///< Set for a cancellation.
  std::string m_payload;
};

/// Counts of what an owner did, for metrics.
struct CellCounters {
  std::uint64_t m_starts = 0;
  std::uint64_t m_finishes = 0;
  std::uint64_t m_evictions = 0;
  std::uint64_t m_refused = 0;  ///< Decisions that replay refused.
  std::uint64_t m_takeovers = 0;
  std::uint64_t m_batches = 0;
};

struct CellOwner {
  std::string m_cell;
  std::string m_failure_domain;
  WriterId m_writer = 0;
  Sequence m_next_sequence = 1;
  CellReplay m_replay;

  bool m_caught_up = false;
  bool m_reading = false;     ///< The last read succeeded.
  TimePoint m_read_verified;  ///< Send time of the last good read.
  TimePoint m_owner_seen;     ///< Start of the present silence of the owner.

  bool m_owned = false;         ///< Our claim was read back and still stands.
  TimePoint m_lease_deadline;   ///< Owner until then.
  TimePoint m_outage_deadline;  ///< Worker leases are renewed until then.
  TimePoint m_takeover_floor;   ///< Leases of earlier owners expired by then.
  TimePoint m_next_batch;
  TimePoint m_renew_at;
  TimePoint m_term_began;
  bool m_releasing = false;
  std::optional<OutstandingBatch> m_outstanding;
  std::uint64_t m_since_snapshot = 0;

  std::map<std::string, WorkerView> m_workers;
  std::map<std::string, TimePoint> m_dead_since;  ///< By the VM list.
  std::set<AttemptId> m_own_commits;
  std::map<TaskId, TimePoint> m_not_before;
  std::map<TaskId, TimePoint> m_pending_since;
  std::map<JobId, TimePoint> m_ended_at;
  std::map<TaskId, TimePoint> m_transfer_retry;
  std::set<JobId> m_succeeded_jobs;
  std::map<JobId, TimePoint> m_cancel_retry;
  std::map<JobId, std::set<std::string>> m_cancel_reached;
  /// Transfers whose append succeeded, to be recorded in the next batch.
  std::vector<TransferOrder> m_delivered;

  CellCounters m_counters;
};

/// What the scheduler as a whole knows, handed to each cell.
struct CellContext {
  const SchedSettings* m_settings = nullptr;
  const ConfigState* m_config = nullptr;
  TimePoint m_config_verified;
  bool m_config_ready = false;
  const std::map<std::string, Vm>* m_vms = nullptr;
  const Membership* m_membership = nullptr;
  bool m_leaving = false;  ///< This process is shutting down.
};

struct SyncOrder {
  std::string m_worker;
  std::string m_address;
  WorkerSync m_sync;
};

/// What to send after a tick.
struct CellOutput {
  std::optional<std::string> m_append;  ///< To the cell's own stream.
  std::vector<TransferOrder> m_transfers;
  std::vector<SyncOrder> m_syncs;
};

/// True when \p owner may act as the cell's owner at \p now.
bool HoldsLease(const CellOwner& owner, TimePoint now);

/// Takes records read from the cell's stream; the read was sent at \p sent.
void NoteCellRead(CellOwner* owner,
                  const CellContext& context,
                  const LogSlice& slice,
                  TimePoint sent,
                  TimePoint now);

/// Takes note that reading the stream failed.
void NoteCellReadFailed(CellOwner* owner);

/// Takes the answer of the last append.
void NoteCellAppend(CellOwner* owner,
                    const SchedSettings& settings,
                    bool succeeded,
                    TimePoint now);

/// Takes a worker's answer to a sync.
void NoteWorkerReport(CellOwner* owner,
                      const std::string& worker,
                      const Result<WorkerReport>& report,
                      TimePoint now);

/// Takes the answer of a transfer's append.
void NoteTransfer(CellOwner* owner, const TransferOrder& order, bool succeeded);

/// Decides what to do at \p now.
CellOutput TickCell(CellOwner* owner,
                    const CellContext& context,
                    TimePoint now);

/// What others should know about an owned cell.
CellSummary SummarizeCell(const CellOwner& owner, const CellContext& context);

/// Decisions for the next batch of an owned cell; the part of TickCell that is
/// worth measuring and testing alone.
std::vector<Decision> PlanCell(CellOwner* owner,
                               const CellContext& context,
                               TimePoint now);

}  // namespace hyssopspar
