// Rules by which decisions change the state of a cell.

#include "hyssopspar/cell_state.h"

#include <algorithm>

#include "hyssopspar/invariant.h"

namespace hyssopspar {

namespace {

bool IsLive(const Task& task) {
  return task.m_state == TaskState::kLive ||
         task.m_state == TaskState::kEvicting;
}

Task* FindTask(CellState* state, const TaskId& id) {
  const std::map<JobId, Job>::iterator job = state->m_jobs.find(id.m_job);
  if (job == state->m_jobs.end()) {
    return nullptr;
  }
  const std::map<std::uint32_t, Task>::iterator task =
      job->second.m_tasks.find(id.m_index);
  return task == job->second.m_tasks.end() ? nullptr : &task->second;
}

/// Returns the task if \p attempt is its current live attempt, else null.
Task* FindLive(CellState* state, const TaskId& id, Attempt attempt) {
  Task* task = FindTask(state, id);
  const bool live =
      task != nullptr && IsLive(*task) && task->m_attempt == attempt;
  return live ? task : nullptr;
}

/// Returns the task if it is pending, else null.
Task* FindPending(CellState* state, const TaskId& id) {
  Task* task = FindTask(state, id);
  const bool pending = task != nullptr && task->m_state == TaskState::kPending;
  return pending ? task : nullptr;
}

/// Returns the entry \p index of the worker table, or null if it is free or
/// does not exist.
WorkerSlot* FindWorker(CellState* state, WorkerIndex index) {
  const bool in_use = index < state->m_workers.size() &&
                      !state->m_workers[index].m_name.empty();
  return in_use ? &state->m_workers[index] : nullptr;
}

/// Releases the resources that a live task has reserved on its worker.
void ReleaseResources(CellState* state, const TaskId& id, Task* task) {
  WorkerSlot& worker = state->m_workers[task->m_worker];
  worker.m_committed -= task->m_size;
  HYSSOPSPAR_INVARIANT(IsNonNegative(worker.m_committed));
  HYSSOPSPAR_INVARIANT(worker.m_live.erase(id) == 1);
  state->m_live.erase(id);
  task->m_worker = 0;
  task->m_size = Resources{};
}

/// Makes a new, stopped or unparked task pending, or cancelled if its job is.
void SetPendingOrCancelled(CellState* state,
                           const TaskId& id,
                           Task* task,
                           bool cancelled) {
  task->m_state = cancelled ? TaskState::kCancelled : TaskState::kPending;
  if (!cancelled) {
    state->m_pending.insert(id);
  }
}

Verdict ApplyDecision(CellState* state,
                      const OwnerClaim& d,
                      const Batch& batch,
                      Offset offset) {
  const bool has_owner = !state->m_owner.empty();
  // The claimant found the owner inactive up to m_read_offset. A later record
  // of the owner shows that it is active and invalidates the claim.
  const bool renewed =
      has_owner && state->m_owner_last_offset >= d.m_read_offset;
  if (d.m_previous_epoch != state->m_epoch || renewed) {
    return Verdict::kStaleEpoch;
  }
  // Offsets start at 0, and epoch 0 means that the cell was never claimed.
  state->m_epoch = offset + 1;
  state->m_owner = d.m_owner;
  state->m_owner_writer = batch.m_writer;
  state->m_owner_sequence = batch.m_sequence;
  state->m_owner_last_offset = offset;
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const OwnerRelease& /*d*/,
                      const Batch&,
                      Offset) {
  state->m_owner.clear();
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const WorkerAdd& d,
                      const Batch&,
                      Offset) {
  for (const WorkerSlot& worker : state->m_workers) {
    if (worker.m_name == d.m_name) {
      return Verdict::kDuplicate;
    }
  }
  if (d.m_name.empty() || !IsNonNegative(d.m_capacity)) {
    return Verdict::kWrongState;
  }
  WorkerSlot slot;
  slot.m_name = d.m_name;
  slot.m_failure_domain = d.m_failure_domain;
  slot.m_rack = d.m_rack;
  slot.m_capacity = d.m_capacity;
  for (WorkerSlot& free : state->m_workers) {
    if (free.m_name.empty()) {
      free = std::move(slot);
      return Verdict::kApplied;
    }
  }
  state->m_workers.push_back(std::move(slot));
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const WorkerResize& d,
                      const Batch&,
                      Offset) {
  WorkerSlot* worker = FindWorker(state, d.m_worker);
  if (worker == nullptr || !IsNonNegative(d.m_capacity)) {
    return Verdict::kWrongState;
  }
  worker->m_capacity = d.m_capacity;
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const WorkerRemove& d,
                      const Batch&,
                      Offset) {
  WorkerSlot* worker = FindWorker(state, d.m_worker);
  if (worker == nullptr || !worker->m_live.empty()) {
    return Verdict::kWrongState;
  }
  *worker = WorkerSlot{};
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const JobAdmit& d,
                      const Batch&,
                      Offset offset) {
  const std::map<JobId, Job>::const_iterator existing =
      state->m_jobs.find(d.m_spec.m_id);
  if (existing != state->m_jobs.end()) {
    return Verdict::kDuplicate;
  }
  Job& job = state->m_jobs[d.m_spec.m_id];
  job.m_spec = d.m_spec;
  job.m_admit_offset = offset;
  for (std::uint32_t i = 0; i < d.m_spec.m_tasks; ++i) {
    SetPendingOrCancelled(state, TaskId{d.m_spec.m_id, i}, &job.m_tasks[i],
                          false);
  }
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const JobCancel& d,
                      const Batch&,
                      Offset) {
  const std::map<JobId, Job>::iterator it = state->m_jobs.find(d.m_job);
  if (it == state->m_jobs.end()) {
    return Verdict::kWrongState;
  }
  if (it->second.m_cancelled) {
    return Verdict::kDuplicate;
  }
  it->second.m_cancelled = true;
  for (std::pair<const std::uint32_t, Task>& entry : it->second.m_tasks) {
    Task& task = entry.second;
    const bool waiting = task.m_state == TaskState::kPending ||
                         task.m_state == TaskState::kParked;
    if (waiting) {
      state->m_pending.erase(TaskId{d.m_job, entry.first});
      task.m_state = TaskState::kCancelled;
    } else if (task.m_state == TaskState::kLive) {
      task.m_state = TaskState::kEvicting;
    }
  }
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const JobRemove& d,
                      const Batch&,
                      Offset) {
  const std::map<JobId, Job>::iterator it = state->m_jobs.find(d.m_job);
  if (it == state->m_jobs.end() || !IsEnded(it->second)) {
    return Verdict::kWrongState;
  }
  state->m_jobs.erase(it);
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const TaskCommit& d,
                      const Batch&,
                      Offset) {
  Task* task = FindPending(state, d.m_task);
  WorkerSlot* worker = FindWorker(state, d.m_worker);
  const bool valid = task != nullptr && worker != nullptr &&
                     d.m_attempt == task->m_attempt + 1 &&
                     IsNonNegative(d.m_size);
  if (!valid) {
    return Verdict::kWrongState;
  }
  if (!Fits(worker->m_committed + d.m_size, worker->m_capacity)) {
    return Verdict::kOvercommit;
  }
  worker->m_committed += d.m_size;
  HYSSOPSPAR_INVARIANT(Fits(worker->m_committed, worker->m_capacity));
  HYSSOPSPAR_INVARIANT(worker->m_live.insert(d.m_task).second);
  HYSSOPSPAR_INVARIANT(state->m_live.insert(d.m_task).second);
  state->m_pending.erase(d.m_task);
  task->m_state = TaskState::kLive;
  task->m_attempt = d.m_attempt;
  task->m_worker = d.m_worker;
  task->m_size = d.m_size;
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const TaskEvict& d,
                      const Batch&,
                      Offset) {
  Task* task = FindLive(state, d.m_task, d.m_attempt);
  if (task == nullptr) {
    return Verdict::kWrongState;
  }
  task->m_state = TaskState::kEvicting;
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const TaskStop& d,
                      const Batch&,
                      Offset) {
  Task* task = FindLive(state, d.m_task, d.m_attempt);
  if (task == nullptr) {
    return Verdict::kWrongState;
  }
  ReleaseResources(state, d.m_task, task);
  task->m_progress = std::max(task->m_progress, d.m_progress);
  task->m_failures += d.m_reason == StopReason::kFailed ? 1 : 0;
  task->m_evictions += d.m_reason == StopReason::kEvicted ? 1 : 0;
  SetPendingOrCancelled(state, d.m_task, task,
                        state->m_jobs[d.m_task.m_job].m_cancelled);
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const TaskFinish& d,
                      const Batch&,
                      Offset) {
  Task* task = FindLive(state, d.m_task, d.m_attempt);
  if (task == nullptr) {
    return Verdict::kWrongState;
  }
  ReleaseResources(state, d.m_task, task);
  // If a finish and a cancellation race, the first one in the log wins.
  const bool cancelled = state->m_jobs[d.m_task.m_job].m_cancelled;
  task->m_state = cancelled ? TaskState::kCancelled : TaskState::kFinished;
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const TaskPark& d,
                      const Batch&,
                      Offset) {
  Task* task = FindTask(state, d.m_task);
  const bool park = d.m_reason != ParkReason::kNone;
  const TaskState expected = park ? TaskState::kPending : TaskState::kParked;
  if (task == nullptr || task->m_state != expected) {
    return Verdict::kWrongState;
  }
  task->m_park_reason = d.m_reason;
  if (park) {
    state->m_pending.erase(d.m_task);
    task->m_state = TaskState::kParked;
  } else {
    task->m_failures = 0;
    SetPendingOrCancelled(state, d.m_task, task, false);
  }
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const TaskHandOff& d,
                      const Batch&,
                      Offset) {
  Task* task = FindPending(state, d.m_task);
  if (task == nullptr || d.m_hop != task->m_hop) {
    return Verdict::kWrongState;
  }
  state->m_pending.erase(d.m_task);
  state->m_outgoing.insert(d.m_task);
  task->m_state = TaskState::kHandedOff;
  task->m_target = d.m_target;
  task->m_hand_off_confirmed = false;
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const TaskHandOffConfirm& d,
                      const Batch&,
                      Offset) {
  Task* task = FindTask(state, d.m_task);
  const bool unconfirmed = task != nullptr && task->m_hop == d.m_hop &&
                           task->m_state == TaskState::kHandedOff &&
                           !task->m_hand_off_confirmed;
  if (!unconfirmed) {
    return Verdict::kWrongState;
  }
  task->m_hand_off_confirmed = true;
  state->m_outgoing.erase(d.m_task);
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const TaskAccept& d,
                      const Batch&,
                      Offset offset) {
  const TaskId id{d.m_spec.m_id, d.m_index};
  Task* existing = FindTask(state, id);
  if (existing != nullptr && existing->m_hop >= d.m_hop) {
    return Verdict::kDuplicate;
  }
  // A task can return to this cell only after this cell has handed it off.
  if (existing != nullptr && existing->m_state != TaskState::kHandedOff) {
    return Verdict::kWrongState;
  }
  state->m_outgoing.erase(id);
  Job& job = state->m_jobs[id.m_job];
  if (job.m_tasks.empty()) {
    job.m_spec = d.m_spec;
    job.m_admit_offset = offset;
  }
  Task& task = job.m_tasks[id.m_index];
  task = Task{};
  task.m_hop = d.m_hop;
  task.m_attempt = d.m_attempt;
  task.m_failures = d.m_failures;
  task.m_progress = d.m_progress;
  job.m_cancelled = job.m_cancelled || d.m_cancelled;
  SetPendingOrCancelled(state, id, &task, job.m_cancelled);
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const CancelForwarded& d,
                      const Batch&,
                      Offset) {
  const std::map<JobId, Job>::iterator it = state->m_jobs.find(d.m_job);
  if (it == state->m_jobs.end() || !it->second.m_cancelled) {
    return Verdict::kWrongState;
  }
  it->second.m_cancel_forwarded = true;
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* /*state*/,
                      const SnapshotChunk&,
                      const Batch&,
                      Offset) {
  return Verdict::kApplied;
}

Verdict ApplyDecision(CellState* state,
                      const SnapshotFooter&,
                      const Batch&,
                      Offset offset) {
  state->m_snapshot_offset = offset;
  return Verdict::kApplied;
}

/// True for decisions that any writer may propose, not only the owner.
bool NeedsNoOwnership(const Decision& decision) {
  return std::holds_alternative<OwnerClaim>(decision) ||
         std::holds_alternative<JobAdmit>(decision) ||
         std::holds_alternative<JobCancel>(decision) ||
         std::holds_alternative<TaskAccept>(decision);
}

/// Returns false for a batch of the owner that was applied before; otherwise
/// stores its sequence number and returns true. Batches of writer 0 have no
/// sequence number and are always new, because their decisions are idempotent.
bool AdvanceSequence(CellState* state, const Batch& batch) {
  if (batch.m_writer == 0 || batch.m_writer != state->m_owner_writer) {
    return true;
  }
  if (batch.m_sequence <= state->m_owner_sequence) {
    return false;
  }
  state->m_owner_sequence = batch.m_sequence;
  return true;
}

}  // namespace

std::vector<Verdict> Apply(CellState* state,
                           Offset offset,
                           const Batch& batch) {
  HYSSOPSPAR_INVARIANT(offset >= state->m_next);
  state->m_next = offset + 1;
  state->m_has_records = true;
  std::vector<Verdict> verdicts;
  verdicts.reserve(batch.m_decisions.size());
  const bool is_new = AdvanceSequence(state, batch);
  // Any new batch of the owner renews its ownership.
  const bool is_renewal = is_new && batch.m_epoch == state->m_epoch &&
                          batch.m_writer == state->m_owner_writer &&
                          !state->m_owner.empty();
  if (is_renewal) {
    state->m_owner_last_offset = offset;
  }
  for (const Decision& decision : batch.m_decisions) {
    Verdict verdict = Verdict::kDuplicate;
    if (is_new) {
      // Evaluated per decision: an OwnerClaim or OwnerRelease earlier in the
      // batch changes the owner.
      const bool from_owner = batch.m_epoch == state->m_epoch &&
                              batch.m_writer == state->m_owner_writer &&
                              !state->m_owner.empty();
      verdict = from_owner || NeedsNoOwnership(decision)
                    ? std::visit(
                          [state, &batch, offset](const auto& d) {
                            return ApplyDecision(state, d, batch, offset);
                          },
                          decision)
                    : Verdict::kStaleEpoch;
    }
    verdicts.push_back(verdict);
  }
  return verdicts;
}

const Task* FindTask(const CellState& state, const TaskId& id) {
  const std::map<JobId, Job>::const_iterator job = state.m_jobs.find(id.m_job);
  if (job == state.m_jobs.end()) {
    return nullptr;
  }
  const std::map<std::uint32_t, Task>::const_iterator task =
      job->second.m_tasks.find(id.m_index);
  return task == job->second.m_tasks.end() ? nullptr : &task->second;
}

bool IsEnded(const Job& job) {
  for (const std::pair<const std::uint32_t, Task>& entry : job.m_tasks) {
    const Task& task = entry.second;
    const bool ended =
        task.m_state == TaskState::kFinished ||
        task.m_state == TaskState::kCancelled ||
        (task.m_state == TaskState::kHandedOff && task.m_hand_off_confirmed);
    if (!ended) {
      return false;
    }
  }
  return !job.m_cancelled || job.m_cancel_forwarded;
}

Result<void> CheckInvariants(const CellState& state) {
  std::vector<Resources> committed(state.m_workers.size());
  std::size_t live = 0;
  std::size_t pending = 0;
  for (const std::pair<const JobId, Job>& job : state.m_jobs) {
    for (const std::pair<const std::uint32_t, Task>& entry :
         job.second.m_tasks) {
      const TaskId id{job.first, entry.first};
      const Task& task = entry.second;
      if (IsLive(task)) {
        ++live;
        const bool listed =
            task.m_worker < state.m_workers.size() &&
            state.m_workers[task.m_worker].m_live.count(id) == 1;
        if (!listed) {
          return Fail(ErrorCode::kInvariant,
                      "live task is not listed by its worker");
        }
        committed[task.m_worker] += task.m_size;
      }
      pending += task.m_state == TaskState::kPending ? 1 : 0;
    }
  }
  for (std::size_t i = 0; i < committed.size(); ++i) {
    if (!(committed[i] == state.m_workers[i].m_committed)) {
      return Fail(ErrorCode::kInvariant,
                  "committed resources of a worker differ from those of its "
                  "live tasks");
    }
  }
  if (live != state.m_live.size() || pending != state.m_pending.size()) {
    return Fail(ErrorCode::kInvariant,
                "set of live or pending tasks differs from the task states");
  }
  return Ok();
}

}  // namespace hyssopspar
