/// \file
/// Record types of a cell's log stream. A record holds a batch of decisions.
/// Decisions are proposals: each reader applies them in log order and accepts
/// or rejects each one by the same rules (see Apply in cell_state.h).

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/ids.h"
#include "hyssopspar/job_spec.h"
#include "hyssopspar/resources.h"

namespace hyssopspar {

/// Claims ownership of the cell. Accepted if the cell is still in
/// `m_previous_epoch` and its owner has either released it or written no record
/// at `m_read_offset` or later.
struct OwnerClaim {
  std::string m_owner;
  Epoch m_previous_epoch = 0;
  Offset m_read_offset = 0;  ///< First offset the claimant had not yet read.
};

/// Releases ownership. The next claimant need not wait for the owner's lease to
/// expire.
struct OwnerRelease {
  std::string m_owner;
};

/// Adds a worker to the first free slot of the worker table.
struct WorkerAdd {
  std::string m_name;
  std::string m_failure_domain;
  std::string m_rack;
  Resources m_capacity;  ///< For batch tasks, net of endpoint reservations.
};

/// Changes the capacity that a worker offers to batch tasks.
struct WorkerResize {
  WorkerIndex m_worker = 0;
  Resources m_capacity;
};

/// Removes a worker without live tasks from the table.
struct WorkerRemove {
  WorkerIndex m_worker = 0;
};

/// Admits a job with all its tasks. Needs no ownership.
struct JobAdmit {
  JobSpec m_spec;
};

/// Cancels a job. Needs no ownership.
struct JobCancel {
  JobId m_job = 0;
};

/// Removes an ended job. Its submission key may then be used again.
struct JobRemove {
  JobId m_job = 0;
};

/// Assigns a pending task to a worker and reserves its resources there.
struct TaskCommit {
  TaskId m_task;
  Attempt m_attempt = 0;
  WorkerIndex m_worker = 0;
  Resources m_size;
};

/// Requests that a live attempt be checkpointed and stopped. Its resources stay
/// reserved until a TaskStop or TaskFinish is applied.
struct TaskEvict {
  TaskId m_task;
  Attempt m_attempt = 0;
};

enum class StopReason : std::uint8_t {
  kEvicted,       ///< Stopped on request, or never started.
  kLeaseExpired,  ///< The worker's lease expired.
  kFailed,        ///< The task itself failed.
  kLost,  ///< The worker died or restarted, or no longer lists the attempt.
};

/// Records that an attempt has certainly ended without finishing. The task
/// becomes pending again, or cancelled if its job is.
struct TaskStop {
  TaskId m_task;
  Attempt m_attempt = 0;
  StopReason m_reason = StopReason::kEvicted;
  std::int64_t m_progress = 0;  ///< Last checkpoint, in thousandths.
};

/// Records that an attempt completed its task.
struct TaskFinish {
  TaskId m_task;
  Attempt m_attempt = 0;
};

enum class ParkReason : std::uint8_t {
  kNone,
  kNoWorkerLargeEnough,
  kTooManyFailures,  ///< Reached the limit of failed attempts.
};

/// Parks a pending task, so that it is no longer considered for placement.
/// kNone makes a parked task pending again and resets its failure count.
struct TaskPark {
  TaskId m_task;
  ParkReason m_reason = ParkReason::kNone;
};

/// Hands a pending task off to another cell, which accepts it with hop + 1.
struct TaskHandOff {
  TaskId m_task;
  std::uint32_t m_hop = 0;
  std::string m_target;  ///< Name of the accepting cell.
};

/// Confirms that the target cell's stream holds the TaskAccept record.
struct TaskHandOffConfirm {
  TaskId m_task;
  std::uint32_t m_hop = 0;
};

/// Accepts a task handed off by another cell. Repeats with the same hop are
/// duplicates. Needs no ownership.
struct TaskAccept {
  JobSpec m_spec;
  std::uint32_t m_index = 0;  ///< Of the task within the job.
  std::uint32_t m_hop = 0;    ///< Number of hand-offs so far.
  Attempt m_attempt = 0;      ///< Last attempt committed in earlier cells.
  std::uint32_t m_failures = 0;
  std::int64_t m_progress = 0;  ///< Last checkpoint, in thousandths.
  bool m_cancelled = false;     ///< The job was cancelled in the sending cell.
};

/// Confirms that every cell that received tasks of the job has its
/// cancellation.
struct CancelForwarded {
  JobId m_job = 0;
};

/// One part of an encoded CellState.
struct SnapshotChunk {
  Offset m_last_offset = 0;   ///< Last record included in the snapshot.
  std::uint32_t m_index = 0;  ///< Position of the chunk, from 0.
  std::string m_bytes;
};

/// Completes a snapshot. Chunks without a matching footer are ignored.
struct SnapshotFooter {
  Offset m_last_offset = 0;  ///< Equal to that of the chunks.
  std::uint32_t m_chunk_count = 0;
  std::uint64_t m_hash = 0;  ///< Hash of the concatenated chunks.
};

/// The index of a type in this list is its tag in the encoded form, so the
/// order must not change.
using Decision = std::variant<OwnerClaim,
                              OwnerRelease,
                              WorkerAdd,
                              WorkerResize,
                              WorkerRemove,
                              JobAdmit,
                              JobCancel,
                              JobRemove,
                              TaskCommit,
                              TaskEvict,
                              TaskStop,
                              TaskFinish,
                              TaskPark,
                              TaskHandOff,
                              TaskHandOffConfirm,
                              TaskAccept,
                              CancelForwarded,
                              SnapshotChunk,
                              SnapshotFooter>;

/// Content of one log record: decisions of one writer, made in one epoch.
struct Batch {
  WriterId m_writer = 0;    ///< 0 for records that need no ownership.
  Sequence m_sequence = 0;  ///< Increases with each batch of the writer.
  Epoch m_epoch = 0;        ///< 0 for claims and for writer 0.
  std::vector<Decision> m_decisions;
};

/// CBOR form of a batch.
std::string EncodeBatch(const Batch& batch);

/// \returns kMalformed for bytes that EncodeBatch can't have produced.
Result<Batch> DecodeBatch(const std::string& bytes);

}  // namespace hyssopspar
