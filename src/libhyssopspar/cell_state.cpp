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

/// The task if \p attempt is its live one, else null.
Task* FindLive(CellState* state, const TaskId& id, Attempt attempt) {
  Task* task = FindTask(state, id);
  const bool live =
      task != nullptr && IsLive(*task) && task->m_attempt == attempt;
  return live ? task : nullptr;
}

Task* FindPending(CellState* state, const TaskId& id) {
  Task* task = FindTask(state, id);
  const bool pending = task != nullptr && task->m_state == TaskState::kPending;
  return pending ? task : nullptr;
}

WorkerSlot* FindWorker(CellState* state, WorkerIndex index) {
  const bool known = index < state->m_workers.size() &&
                     !state->m_workers[index].m_name.empty();
  return known ? &state->m_workers[index] : nullptr;
}

/// Frees what a live task holds.
void Free(CellState* state, const TaskId& id, Task* task) {
  WorkerSlot& worker = state->m_workers[task->m_worker];
  worker.m_committed -= task->m_size;
  HYSSOPSPAR_INVARIANT(IsNonNegative(worker.m_committed));
  HYSSOPSPAR_INVARIANT(worker.m_live.erase(id) == 1);
  state->m_live.erase(id);
  task->m_worker = 0;
  task->m_size = Resources{};
}

/// Enters a task that is new here, or puts a stopped one back.
void Enqueue(CellState* state, const TaskId& id, Task* task, bool cancelled) {
  task->m_state = cancelled ? TaskState::kCancelled : TaskState::kPending;
  if (!cancelled) {
    state->m_pending.insert(id);
  }
}

Verdict Do(CellState* state,
           const OwnerClaim& d,
           const Batch& batch,
           Offset at) {
  const bool held = !state->m_owner.empty();
  // An owner that renewed after the claimant looked is not silent.
  const bool renewed = held && state->m_owner_last >= d.m_seen;
  if (d.m_previous != state->m_epoch || renewed) {
    return Verdict::kStaleEpoch;
  }
  // Offsets start at 0 and epoch 0 stands for "never claimed".
  state->m_epoch = at + 1;
  state->m_owner = d.m_owner;
  state->m_owner_writer = batch.m_writer;
  state->m_owner_sequence = batch.m_sequence;
  state->m_owner_last = at;
  return Verdict::kApplied;
}

Verdict Do(CellState* state, const OwnerRelease& /*d*/, const Batch&, Offset) {
  state->m_owner.clear();
  return Verdict::kApplied;
}

Verdict Do(CellState* state, const WorkerAdd& d, const Batch&, Offset) {
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

Verdict Do(CellState* state, const WorkerResize& d, const Batch&, Offset) {
  WorkerSlot* worker = FindWorker(state, d.m_worker);
  if (worker == nullptr || !IsNonNegative(d.m_capacity)) {
    return Verdict::kWrongState;
  }
  worker->m_capacity = d.m_capacity;
  return Verdict::kApplied;
}

Verdict Do(CellState* state, const WorkerRemove& d, const Batch&, Offset) {
  WorkerSlot* worker = FindWorker(state, d.m_worker);
  if (worker == nullptr || !worker->m_live.empty()) {
    return Verdict::kWrongState;
  }
  *worker = WorkerSlot{};
  return Verdict::kApplied;
}

Verdict Do(CellState* state, const JobAdmit& d, const Batch&, Offset at) {
  const std::map<JobId, Job>::const_iterator known =
      state->m_jobs.find(d.m_spec.m_id);
  if (known != state->m_jobs.end()) {
    return Verdict::kDuplicate;
  }
  Job& job = state->m_jobs[d.m_spec.m_id];
  job.m_spec = d.m_spec;
  job.m_admitted = at;
  for (std::uint32_t i = 0; i < d.m_spec.m_tasks; ++i) {
    Enqueue(state, TaskId{d.m_spec.m_id, i}, &job.m_tasks[i], false);
  }
  return Verdict::kApplied;
}

Verdict Do(CellState* state, const JobCancel& d, const Batch&, Offset) {
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

Verdict Do(CellState* state, const JobForget& d, const Batch&, Offset) {
  const std::map<JobId, Job>::iterator it = state->m_jobs.find(d.m_job);
  if (it == state->m_jobs.end() || !IsEnded(it->second)) {
    return Verdict::kWrongState;
  }
  state->m_jobs.erase(it);
  return Verdict::kApplied;
}

Verdict Do(CellState* state, const TaskCommit& d, const Batch&, Offset) {
  Task* task = FindPending(state, d.m_task);
  WorkerSlot* worker = FindWorker(state, d.m_worker);
  const bool sound = task != nullptr && worker != nullptr &&
                     d.m_attempt == task->m_attempt + 1 &&
                     IsNonNegative(d.m_size);
  if (!sound) {
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

Verdict Do(CellState* state, const TaskEvict& d, const Batch&, Offset) {
  Task* task = FindLive(state, d.m_task, d.m_attempt);
  if (task == nullptr) {
    return Verdict::kWrongState;
  }
  task->m_state = TaskState::kEvicting;
  return Verdict::kApplied;
}

Verdict Do(CellState* state, const TaskStop& d, const Batch&, Offset) {
  Task* task = FindLive(state, d.m_task, d.m_attempt);
  if (task == nullptr) {
    return Verdict::kWrongState;
  }
  Free(state, d.m_task, task);
  task->m_progress = std::max(task->m_progress, d.m_progress);
  task->m_failures += d.m_reason == StopReason::kFailed ? 1 : 0;
  task->m_evictions += d.m_reason == StopReason::kEvicted ? 1 : 0;
  Enqueue(state, d.m_task, task, state->m_jobs[d.m_task.m_job].m_cancelled);
  return Verdict::kApplied;
}

Verdict Do(CellState* state, const TaskFinish& d, const Batch&, Offset) {
  Task* task = FindLive(state, d.m_task, d.m_attempt);
  if (task == nullptr) {
    return Verdict::kWrongState;
  }
  Free(state, d.m_task, task);
  // Log order decides between a finish and a cancellation.
  const bool cancelled = state->m_jobs[d.m_task.m_job].m_cancelled;
  task->m_state = cancelled ? TaskState::kCancelled : TaskState::kFinished;
  return Verdict::kApplied;
}

Verdict Do(CellState* state, const TaskPark& d, const Batch&, Offset) {
  Task* task = FindTask(state, d.m_task);
  const bool park = d.m_reason != ParkReason::kNone;
  const TaskState expected = park ? TaskState::kPending : TaskState::kParked;
  if (task == nullptr || task->m_state != expected) {
    return Verdict::kWrongState;
  }
  task->m_park = d.m_reason;
  if (park) {
    state->m_pending.erase(d.m_task);
    task->m_state = TaskState::kParked;
  } else {
    task->m_failures = 0;
    Enqueue(state, d.m_task, task, false);
  }
  return Verdict::kApplied;
}

Verdict Do(CellState* state, const TaskHandOff& d, const Batch&, Offset) {
  Task* task = FindPending(state, d.m_task);
  if (task == nullptr || d.m_hop != task->m_hop) {
    return Verdict::kWrongState;
  }
  state->m_pending.erase(d.m_task);
  state->m_outgoing.insert(d.m_task);
  task->m_state = TaskState::kHandedOff;
  task->m_target = d.m_target;
  task->m_handed_over = false;
  return Verdict::kApplied;
}

Verdict Do(CellState* state, const TaskHandedOver& d, const Batch&, Offset) {
  Task* task = FindTask(state, d.m_task);
  const bool waiting = task != nullptr && task->m_hop == d.m_hop &&
                       task->m_state == TaskState::kHandedOff &&
                       !task->m_handed_over;
  if (!waiting) {
    return Verdict::kWrongState;
  }
  task->m_handed_over = true;
  state->m_outgoing.erase(d.m_task);
  return Verdict::kApplied;
}

Verdict Do(CellState* state, const TaskAccept& d, const Batch&, Offset at) {
  const TaskId id{d.m_spec.m_id, d.m_index};
  Task* known = FindTask(state, id);
  if (known != nullptr && known->m_hop >= d.m_hop) {
    return Verdict::kDuplicate;
  }
  // A task returns to a cell only after it has left it.
  if (known != nullptr && known->m_state != TaskState::kHandedOff) {
    return Verdict::kWrongState;
  }
  state->m_outgoing.erase(id);
  Job& job = state->m_jobs[id.m_job];
  if (job.m_tasks.empty()) {
    job.m_spec = d.m_spec;
    job.m_admitted = at;
  }
  Task& task = job.m_tasks[id.m_index];
  task = Task{};
  task.m_hop = d.m_hop;
  task.m_attempt = d.m_attempt;
  task.m_failures = d.m_failures;
  task.m_progress = d.m_progress;
  job.m_cancelled = job.m_cancelled || d.m_cancelled;
  Enqueue(state, id, &task, job.m_cancelled);
  return Verdict::kApplied;
}

Verdict Do(CellState* state, const CancelForwarded& d, const Batch&, Offset) {
  const std::map<JobId, Job>::iterator it = state->m_jobs.find(d.m_job);
  if (it == state->m_jobs.end() || !it->second.m_cancelled) {
    return Verdict::kWrongState;
  }
  it->second.m_cancel_forwarded = true;
  return Verdict::kApplied;
}

Verdict Do(CellState* /*state*/, const SnapshotChunk&, const Batch&, Offset) {
  return Verdict::kApplied;
}

Verdict Do(CellState* state, const SnapshotFooter&, const Batch&, Offset at) {
  state->m_snapshot = at;
  return Verdict::kApplied;
}

/// True for decisions that anyone may propose.
bool IsOpen(const Decision& decision) {
  return std::holds_alternative<OwnerClaim>(decision) ||
         std::holds_alternative<JobAdmit>(decision) ||
         std::holds_alternative<JobCancel>(decision) ||
         std::holds_alternative<TaskAccept>(decision);
}

/// False for a batch of the owner that was applied before. Writer 0 stands for
/// records without a sequence, whose decisions are idempotent.
bool NoteSequence(CellState* state, const Batch& batch) {
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
  state->m_started = true;
  std::vector<Verdict> verdicts;
  verdicts.reserve(batch.m_decisions.size());
  const bool fresh = NoteSequence(state, batch);
  const bool by_owner = fresh && batch.m_epoch == state->m_epoch &&
                        batch.m_writer == state->m_owner_writer &&
                        !state->m_owner.empty();
  if (by_owner) {
    state->m_owner_last = offset;
  }
  for (const Decision& decision : batch.m_decisions) {
    Verdict verdict = Verdict::kDuplicate;
    if (fresh) {
      const bool owned = batch.m_epoch == state->m_epoch &&
                         batch.m_writer == state->m_owner_writer &&
                         !state->m_owner.empty();
      verdict = owned || IsOpen(decision)
                    ? std::visit(
                          [state, &batch, offset](const auto& d) {
                            return Do(state, d, batch, offset);
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
        (task.m_state == TaskState::kHandedOff && task.m_handed_over);
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
        const bool known = task.m_worker < state.m_workers.size() &&
                           state.m_workers[task.m_worker].m_live.count(id) == 1;
        if (!known) {
          return Fail(ErrorCode::kInvariant, "live task without worker");
        }
        committed[task.m_worker] += task.m_size;
      }
      pending += task.m_state == TaskState::kPending ? 1 : 0;
    }
  }
  for (std::size_t i = 0; i < committed.size(); ++i) {
    if (!(committed[i] == state.m_workers[i].m_committed)) {
      return Fail(ErrorCode::kInvariant, "committed sum differs");
    }
  }
  if (live != state.m_live.size() || pending != state.m_pending.size()) {
    return Fail(ErrorCode::kInvariant, "task index differs");
  }
  return Ok();
}

}  // namespace hyssopspar
