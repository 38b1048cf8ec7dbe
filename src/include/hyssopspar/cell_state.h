/// \file
/// State of a cell: its owner, workers, jobs and tasks. It is a pure function
/// of the records of the cell's stream.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hyssopspar/decision.h"
#include "hyssopspar/error.h"
#include "hyssopspar/ids.h"
#include "hyssopspar/job_spec.h"
#include "hyssopspar/resources.h"

namespace hyssopspar {

enum class TaskState : std::uint8_t {
  kPending,
  kLive,      ///< Committed to a worker.
  kEvicting,  ///< Committed to a worker, with a stop requested.
  kParked,    ///< Excluded from placement; see ParkReason.
  kHandedOff,
  kFinished,
  kCancelled,
};

struct Task {
  TaskState m_state = TaskState::kPending;
  ParkReason m_park_reason = ParkReason::kNone;
  Attempt m_attempt = 0;    ///< Last attempt committed; 0 before the first.
  std::uint32_t m_hop = 0;  ///< Number of hand-offs between cells so far.
  std::uint32_t m_failures = 0;
  std::uint32_t m_evictions = 0;
  std::int64_t m_progress = 0;  ///< Last checkpoint, in thousandths.
  WorkerIndex m_worker = 0;     ///< Valid while live or evicting.
  Resources m_size;             ///< Reserved while live or evicting.
  std::string m_target;         ///< Accepting cell, while handed off.
  /// A TaskHandOffConfirm was applied: the target's stream holds the TaskAccept
  /// record.
  bool m_hand_off_confirmed = false;
};

struct Job {
  JobSpec m_spec;
  bool m_cancelled = false;
  /// Every cell that received tasks of the job has its cancellation.
  bool m_cancel_forwarded = false;
  /// Offset of the record that created the job here; orders placement.
  Offset m_admit_offset = 0;
  /// By index; only tasks admitted or accepted by this cell.
  std::map<std::uint32_t, Task> m_tasks;
};

/// Entry of the worker table; its index is the WorkerIndex in decisions.
struct WorkerSlot {
  std::string m_name;  ///< Empty after removal.
  std::string m_failure_domain;
  std::string m_rack;
  Resources m_capacity;
  Resources m_committed;  ///< Sum over the tasks of m_live.
  std::set<TaskId> m_live;
};

/// Result of applying one decision. Only kApplied changes the state.
enum class Verdict : std::uint8_t {
  kApplied,
  kDuplicate,  ///< The state already reflects it.
  /// The writer does not own the cell, or its claim is outdated.
  kStaleEpoch,
  kWrongState,  ///< The task, job or worker is not as the decision assumes.
  kOvercommit,  ///< The task does not fit into the worker's free capacity.
};

struct CellState {
  bool m_has_records = false;  ///< False before the first record.
  Offset m_next = 0;           ///< Offset of the next record to apply.
  Epoch m_epoch = 0;           ///< 0 before the first claim.
  std::string m_owner;         ///< Empty when released.
  WriterId m_owner_writer = 0;
  Offset m_owner_last_offset = 0;  ///< Offset of the owner's last record.
  Offset m_snapshot_offset = 0;    ///< Offset of the last snapshot footer.
  /// Last sequence number of the owner, to detect repeated batches. Decisions
  /// of other writers are idempotent and need no such check.
  Sequence m_owner_sequence = 0;
  std::vector<WorkerSlot> m_workers;
  std::map<JobId, Job> m_jobs;

  // Derived from m_jobs, and not part of the encoded form.
  std::set<TaskId> m_pending;
  std::set<TaskId> m_live;      ///< Live or evicting.
  std::set<TaskId> m_outgoing;  ///< Handed off, not yet confirmed.
};

/// Applies the record at \p offset, which must be `state->m_next` or later.
/// Returns one verdict for each decision. The result depends only on the state
/// and the record, so all readers of the stream agree.
std::vector<Verdict> Apply(CellState* state, Offset offset, const Batch& batch);

/// Returns the task, or null if the cell has no such task.
const Task* FindTask(const CellState& state, const TaskId& id);

/// True if every task of \p job has finished, was cancelled or was accepted by
/// another cell, and, if the job is cancelled, its cancellation was forwarded.
bool IsEnded(const Job& job);

/// Checks that the worker table, the task sets and the committed resources
/// agree with the tasks. Used by tests and for decoded snapshots, because it
/// visits all tasks; Apply checks only what it changes. \returns kInvariant on
/// a mismatch.
Result<void> CheckInvariants(const CellState& state);

/// CBOR form of a state.
std::string EncodeCellState(const CellState& state);

/// \returns kMalformed for bytes that are no encoded state, kInvariant for a
/// state that fails CheckInvariants.
Result<CellState> DecodeCellState(const std::string& bytes);

/// Decisions that record a snapshot of \p state in the cell's stream: chunks
/// followed by a footer.
std::vector<Decision> MakeSnapshot(const CellState& state);

}  // namespace hyssopspar
