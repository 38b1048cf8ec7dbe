/// \file
/// State of a cell: a pure function of its stream.

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
  kEvicting,  ///< Live, and asked to stop.
  kParked,
  kHandedOff,
  kFinished,
  kCancelled,
};

struct Task {
  TaskState m_state = TaskState::kPending;
  ParkReason m_park = ParkReason::kNone;
  Attempt m_attempt = 0;  ///< Last attempt committed; 0 before the first.
  std::uint32_t m_hop = 0;
  std::uint32_t m_failures = 0;
  std::uint32_t m_evictions = 0;
  std::int64_t m_progress = 0;  ///< Last checkpoint, in thousandths.
  WorkerIndex m_worker = 0;     ///< While live.
  Resources m_size;             ///< While live.
  std::string m_target;         ///< While handed off.
  bool m_handed_over = false;
};

struct Job {
  JobSpec m_spec;
  bool m_cancelled = false;
  bool m_cancel_forwarded = false;
  Offset m_admitted = 0;  ///< Order of arrival.
  std::map<std::uint32_t, Task> m_tasks;
};

struct WorkerSlot {
  std::string m_name;  ///< Empty after removal.
  std::string m_failure_domain;
  std::string m_rack;
  Resources m_capacity;
  Resources m_committed;
  std::set<TaskId> m_live;
};

enum class Verdict : std::uint8_t {
  kApplied,
  kDuplicate,
  kStaleEpoch,
  kWrongState,  ///< The task, job or worker is not as the decision assumes.
  kOvercommit,
};

struct CellState {
  bool m_started = false;  ///< False before the first record.
  Offset m_next = 0;       ///< Offset of the next record to apply.
  Epoch m_epoch = 0;       ///< 0 before the first claim.
  std::string m_owner;     ///< Empty when released.
  WriterId m_owner_writer = 0;
  Offset m_owner_last = 0;  ///< Offset of the owner's last record.
  Offset m_snapshot = 0;    ///< Offset of the last complete snapshot's footer.
  /// Last sequence number of the owner. What other writers may propose is
  /// idempotent by itself, so only the owner's repeats need to be told apart.
  Sequence m_owner_sequence = 0;
  std::vector<WorkerSlot> m_workers;
  std::map<JobId, Job> m_jobs;

  // Derived from the above.
  std::set<TaskId> m_pending;
  std::set<TaskId> m_live;      ///< Live and evicting.
  std::set<TaskId> m_outgoing;  ///< Handed off, acknowledgement missing.
};

/// Applies the record at \p offset, which must be `state->m_next` or later.
/// Every reader of the stream reaches the same verdicts, one for each decision.
std::vector<Verdict> Apply(CellState* state, Offset offset, const Batch& batch);

/// The task, or null.
const Task* FindTask(const CellState& state, const TaskId& id);

/// True when no task of \p job can run here any more.
bool IsEnded(const Job& job);

/// Full check of every invariant the state must hold. Meant for tests and for
/// the end of a replay; Apply checks what it touches.
Result<void> CheckInvariants(const CellState& state);

/// CBOR form of a state, and back.
std::string EncodeCellState(const CellState& state);
Result<CellState> DecodeCellState(const std::string& bytes);

/// Decisions that put a snapshot of \p state into its stream.
std::vector<Decision> MakeSnapshot(const CellState& state);

}  // namespace hyssopspar
