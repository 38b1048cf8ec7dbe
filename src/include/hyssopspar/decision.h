/// \file
/// Records of a cell's stream. A record is a proposal; replay decides.

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

/// Takes ownership of the cell if \p m_previous is still its epoch and its
/// owner has written nothing at \p m_seen or later, or has released it.
struct OwnerClaim {
  std::string m_owner;
  Epoch m_previous = 0;
  Offset m_seen = 0;  ///< Next offset the claimant would have read.
};

/// Gives ownership up; whoever claims next need not wait.
struct OwnerRelease {
  std::string m_owner;
};

/// Enters a worker into the next free place of the worker table.
struct WorkerAdd {
  std::string m_name;
  std::string m_failure_domain;
  std::string m_rack;
  Resources m_capacity;  ///< For batch, after what endpoints reserve.
};

struct WorkerResize {
  WorkerIndex m_worker = 0;
  Resources m_capacity;
};

/// Takes a worker without live tasks out of the table.
struct WorkerRemove {
  WorkerIndex m_worker = 0;
};

/// Admits all tasks of a job. Needs no ownership.
struct JobAdmit {
  JobSpec m_spec;
};

/// Cancels a job. Needs no ownership.
struct JobCancel {
  JobId m_job = 0;
};

/// Drops an ended job, whose key may then be used again.
struct JobForget {
  JobId m_job = 0;
};

/// Gives a pending task a worker, and counts its size there.
struct TaskCommit {
  TaskId m_task;
  Attempt m_attempt = 0;
  WorkerIndex m_worker = 0;
  Resources m_size;
};

/// Asks for a live attempt to be checkpointed and stopped.
struct TaskEvict {
  TaskId m_task;
  Attempt m_attempt = 0;
};

enum class StopReason : std::uint8_t {
  kEvicted,
  kLapsed,
  kFailed,
  kLost,
};

/// States that an attempt certainly runs no more.
struct TaskStop {
  TaskId m_task;
  Attempt m_attempt = 0;
  StopReason m_reason = StopReason::kEvicted;
  std::int64_t m_progress = 0;  ///< Thousandths.
};

struct TaskFinish {
  TaskId m_task;
  Attempt m_attempt = 0;
};

enum class ParkReason : std::uint8_t {
  kNone,
  kNoWorkerLargeEnough,
  kFailsEverywhere,
};

/// Sets a pending task aside (or back, with kNone).
struct TaskPark {
  TaskId m_task;
  ParkReason m_reason = ParkReason::kNone;
};

/// Ends a pending task here; the target cell accepts it under hop + 1.
struct TaskHandOff {
  TaskId m_task;
  std::uint32_t m_hop = 0;
  std::string m_target;
};

/// The target's stream holds the accept record.
struct TaskHandedOver {
  TaskId m_task;
  std::uint32_t m_hop = 0;
};

/// Takes over a task from another cell. Repeats are duplicates. Needs no
/// ownership.
struct TaskAccept {
  JobSpec m_spec;
  std::uint32_t m_index = 0;
  std::uint32_t m_hop = 0;
  Attempt m_attempt = 0;
  std::uint32_t m_failures = 0;
  std::int64_t m_progress = 0;
  bool m_cancelled = false;
};

/// The job's cancellation reached every cell its tasks went to.
struct CancelForwarded {
  JobId m_job = 0;
};

/// One piece of an encoded snapshot.
struct SnapshotChunk {
  Offset m_covers = 0;  ///< State after applying this offset.
  std::uint32_t m_index = 0;
  std::string m_bytes;
};

/// Closes a snapshot; without it the chunks mean nothing.
struct SnapshotFooter {
  Offset m_covers = 0;
  std::uint32_t m_chunks = 0;
  std::uint64_t m_hash = 0;  ///< Of all bytes.
};

using Decision = std::variant<OwnerClaim,
                              OwnerRelease,
                              WorkerAdd,
                              WorkerResize,
                              WorkerRemove,
                              JobAdmit,
                              JobCancel,
                              JobForget,
                              TaskCommit,
                              TaskEvict,
                              TaskStop,
                              TaskFinish,
                              TaskPark,
                              TaskHandOff,
                              TaskHandedOver,
                              TaskAccept,
                              CancelForwarded,
                              SnapshotChunk,
                              SnapshotFooter>;

/// One record: decisions of one writer, made under one epoch.
struct Batch {
  WriterId m_writer = 0;  ///< 0 for records that need no ownership.
  Sequence m_sequence = 0;
  Epoch m_epoch = 0;
  std::vector<Decision> m_decisions;
};

/// CBOR form of a batch.
std::string EncodeBatch(const Batch& batch);

/// \returns kMalformed for anything EncodeBatch can't have made.
Result<Batch> DecodeBatch(const std::string& bytes);

}  // namespace hyssopspar
