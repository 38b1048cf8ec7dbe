// What an owner proposes: ends of attempts, evictions, the worker table.

#include <algorithm>
#include <utility>

#include "hyssopspar/logging.h"
#include "pvt/cell_plan.h"

namespace hyssopspar {

namespace pvt {

std::set<std::string> CancelTargets(const Job& job) {
  std::set<std::string> targets;
  for (const std::pair<const std::uint32_t, Task>& task : job.m_tasks) {
    const bool moved = task.second.m_state == TaskState::kHandedOff &&
                       task.second.m_handed_over;
    if (moved) {
      targets.insert(task.second.m_target);
    }
  }
  return targets;
}

const Vm* FindVm(const PlanContext& plan, const std::string& name) {
  const std::map<std::string, Vm>& vms = *plan.m_context->m_vms;
  const std::map<std::string, Vm>::const_iterator it = vms.find(name);
  return it == vms.end() ? nullptr : &it->second;
}

bool StartsAllowed(const PlanContext& plan) {
  const CellContext& context = *plan.m_context;
  const bool fresh =
      context.m_config_ready &&
      plan.m_now < context.m_config_verified + context.m_settings->m_freshness;
  return fresh && HoldsLease(*plan.m_owner, plan.m_now) &&
         !plan.m_owner->m_releasing;
}

bool MustLeave(const PlanContext& plan, const WorkerSlot& slot) {
  const Vm* vm = FindVm(plan, slot.m_name);
  const bool leaving = vm != nullptr && vm->m_state != VmState::kLive;
  return leaving ||
         IsOut(*plan.m_context->m_config, slot.m_failure_domain, slot.m_name);
}

bool AcceptsStarts(const PlanContext& plan, const WorkerSlot& slot) {
  const std::map<std::string, WorkerView>::const_iterator it =
      plan.m_owner->m_workers.find(slot.m_name);
  const bool reachable = it != plan.m_owner->m_workers.end() &&
                         it->second.m_contacted && it->second.m_errors == 0;
  return reachable && !MustLeave(plan, slot) &&
         FindVm(plan, slot.m_name) != nullptr &&
         plan.m_now >= it->second.m_quarantined_until;
}

namespace {

/// True when the worker has been shown dead for longer than the list may lag,
/// and has not answered since. Before that it may be back already, and the
/// list's word be about its life before.
bool IsDead(const PlanContext& plan,
            const WorkerSlot& slot,
            const WorkerView& view) {
  const std::map<std::string, TimePoint>::const_iterator since =
      plan.m_owner->m_dead_since.find(slot.m_name);
  return since != plan.m_owner->m_dead_since.end() &&
         plan.m_now - since->second >=
             plan.m_context->m_settings->m_vm_list_lag &&
         (!view.m_contacted || view.m_received <= since->second);
}

/// Notes since when each worker is shown dead.
void NoteDead(const PlanContext& plan) {
  std::map<std::string, TimePoint>& dead = plan.m_owner->m_dead_since;
  for (const WorkerSlot& slot : plan.m_owner->m_replay.State().m_workers) {
    const Vm* vm = FindVm(plan, slot.m_name);
    if (vm != nullptr && vm->m_state == VmState::kDead) {
      dead.emplace(slot.m_name, plan.m_now);
    } else {
      dead.erase(slot.m_name);
    }
  }
}

/// True when no lease on the worker can still stand, whoever granted it.
bool LeasesLapsed(const PlanContext& plan, const WorkerView& view) {
  const SchedSettings& settings = *plan.m_context->m_settings;
  const Duration margin =
      WithDrift(settings, settings.m_worker_lease) - settings.m_worker_lease;
  const TimePoint lapsed =
      std::max(view.m_lease_deadline + margin, plan.m_owner->m_takeover_floor);
  return plan.m_now > lapsed;
}

/// Counts a failed attempt against its worker, and sets a worker aside that
/// fails what succeeds elsewhere or fails several jobs in a row.
void JudgeFailure(const PlanContext& plan, JobId job, WorkerView* view) {
  const SchedSettings& settings = *plan.m_context->m_settings;
  ++view->m_failures;
  view->m_failed_jobs.insert(job);
  const bool enough = view->m_failures >= settings.m_quarantine_failures;
  const bool others_fine = plan.m_owner->m_succeeded_jobs.count(job) > 0 ||
                           view->m_failed_jobs.size() > 1;
  if (enough && others_fine) {
    view->m_quarantined_until = plan.m_now + settings.m_quarantine;
    // One more failure after the release sets it aside again.
    view->m_failures = settings.m_quarantine_failures - 1;
  }
}

void JudgeSuccess(WorkerView* view) {
  view->m_failures = 0;
  view->m_failed_jobs.clear();
}

Duration RetryDelay(const SchedSettings& settings, std::uint32_t failures) {
  const std::uint32_t doublings = std::min<std::uint32_t>(failures, 16);
  const Duration delay = settings.m_retry_base * (1U << doublings);
  return std::min<Duration>(delay, settings.m_retry_max);
}

/// How a listed attempt ended, if it did.
std::optional<Decision> EndOfListed(const PlanContext& plan,
                                    const AttemptId& id,
                                    const Task& task,
                                    const TaskReport& report,
                                    WorkerView* view) {
  switch (report.m_phase) {
    case TaskPhase::kRunning:
      return std::nullopt;
    case TaskPhase::kFinished:
      JudgeSuccess(view);
      return TaskFinish{id.m_task, id.m_attempt};
    case TaskPhase::kFailed:
      JudgeFailure(plan, id.m_task.m_job, view);
      plan.m_owner->m_not_before[id.m_task] =
          plan.m_now + RetryDelay(*plan.m_context->m_settings, task.m_failures);
      return TaskStop{id.m_task, id.m_attempt, StopReason::kFailed,
                      report.m_progress};
    case TaskPhase::kStopped:
      break;
  }
  const StopReason reason = task.m_state == TaskState::kEvicting
                                ? StopReason::kEvicted
                                : StopReason::kLapsed;
  return TaskStop{id.m_task, id.m_attempt, reason, report.m_progress};
}

/// How an attempt that the worker does not list ended, if that is certain.
std::optional<Decision> EndOfUnlisted(const PlanContext& plan,
                                      const AttemptId& id,
                                      const Task& task,
                                      const WorkerSlot& slot,
                                      const WorkerView& view) {
  const TaskStop lost{id.m_task, id.m_attempt, StopReason::kLost, 0};
  const std::map<AttemptId, StartTrack>::const_iterator start =
      view.m_starts.find(id);
  if (start != view.m_starts.end()) {
    // Listed before and gone, or possibly started before the worker's restart.
    if (start->second.m_seen || start->second.m_boot != view.m_boot) {
      return lost;
    }
    const bool refused = view.m_worker_now > start->second.m_not_after;
    const bool unwanted = task.m_state == TaskState::kEvicting;
    if (refused && (unwanted || MustLeave(plan, slot))) {
      return TaskStop{id.m_task, id.m_attempt, StopReason::kEvicted, 0};
    }
    return std::nullopt;
  }
  if (plan.m_owner->m_own_commits.count(id) == 0) {
    // An earlier owner's attempt: its starts are refused by now, and it may
    // have run and been lost.
    return lost;
  }
  if (task.m_state == TaskState::kEvicting || MustLeave(plan, slot)) {
    return TaskStop{id.m_task, id.m_attempt, StopReason::kEvicted, 0};
  }
  return std::nullopt;
}

std::optional<Decision> EndOfAttempt(const PlanContext& plan,
                                     const TaskId& id,
                                     const Task& task) {
  const WorkerSlot& slot =
      plan.m_owner->m_replay.State().m_workers[task.m_worker];
  const AttemptId attempt{id, task.m_attempt};
  WorkerView& view = plan.m_owner->m_workers[slot.m_name];
  const std::map<AttemptId, TaskReport>::const_iterator listed =
      view.m_tasks.find(attempt);
  if (listed != view.m_tasks.end()) {
    std::optional<Decision> end =
        EndOfListed(plan, attempt, task, listed->second, &view);
    if (end) {
      return end;
    }
  } else if (view.m_contacted) {
    std::optional<Decision> end =
        EndOfUnlisted(plan, attempt, task, slot, view);
    if (end) {
      return end;
    }
  }
  if (IsDead(plan, slot, view)) {
    return TaskStop{id, task.m_attempt, StopReason::kLost, 0};
  }
  if (view.m_errors > 0 && LeasesLapsed(plan, view)) {
    const std::int64_t progress =
        listed == view.m_tasks.end() ? 0 : listed->second.m_progress;
    return TaskStop{id, task.m_attempt, StopReason::kLapsed, progress};
  }
  if (task.m_state == TaskState::kLive && MustLeave(plan, slot)) {
    return TaskEvict{id, task.m_attempt};
  }
  return std::nullopt;
}

void PlanEnds(const PlanContext& plan, std::vector<Decision>* out) {
  const CellState& state = plan.m_owner->m_replay.State();
  for (const TaskId& id : state.m_live) {
    if (out->size() >= plan.m_context->m_settings->m_batch_decisions) {
      return;
    }
    std::optional<Decision> end = EndOfAttempt(plan, id, *FindTask(state, id));
    if (end) {
      out->push_back(*end);
    }
  }
}

/// What endpoints reserve on each worker.
std::map<std::string, Resources> ReservedByHost(const PlanContext& plan) {
  std::map<std::string, Resources> reserved;
  for (const std::pair<const std::string, Vm>& entry : *plan.m_context->m_vms) {
    const Vm& vm = entry.second;
    const ServiceConfig* service =
        vm.m_kind == VmKind::kEndpoint && vm.m_state != VmState::kDead
            ? FindService(plan.m_context->m_config->m_doc, vm.m_service)
            : nullptr;
    if (service != nullptr) {
      reserved[vm.m_host] += service->m_reserved;
    }
  }
  return reserved;
}

Resources BatchCapacity(const Vm& vm,
                        const std::map<std::string, Resources>& reserved) {
  const std::map<std::string, Resources>::const_iterator it =
      reserved.find(vm.m_name);
  Resources left = vm.m_capacity;
  if (it != reserved.end()) {
    left -= it->second;
  }
  left.m_cpu_milli = std::max<std::int64_t>(left.m_cpu_milli, 0);
  left.m_memory_mib = std::max<std::int64_t>(left.m_memory_mib, 0);
  left.m_accelerators = std::max<std::int64_t>(left.m_accelerators, 0);
  return left;
}

/// Brings the worker table in line with the VM list.
void PlanWorkerTable(const PlanContext& plan, std::vector<Decision>* out) {
  const CellState& state = plan.m_owner->m_replay.State();
  const std::map<std::string, Resources> reserved = ReservedByHost(plan);
  std::map<std::string, WorkerIndex> known;
  for (std::size_t i = 0; i < state.m_workers.size(); ++i) {
    const WorkerSlot& slot = state.m_workers[i];
    if (slot.m_name.empty()) {
      continue;
    }
    const WorkerIndex index = static_cast<WorkerIndex>(i);
    known[slot.m_name] = index;
    const Vm* vm = FindVm(plan, slot.m_name);
    const bool gone = vm == nullptr || vm->m_state == VmState::kDead;
    if (gone && slot.m_live.empty()) {
      out->push_back(WorkerRemove{index});
    } else if (!gone && !(BatchCapacity(*vm, reserved) == slot.m_capacity)) {
      out->push_back(WorkerResize{index, BatchCapacity(*vm, reserved)});
    }
  }
  for (const std::pair<const std::string, Vm>& entry : *plan.m_context->m_vms) {
    const Vm& vm = entry.second;
    const bool ours =
        vm.m_kind == VmKind::kWorker && vm.m_state == VmState::kLive &&
        known.count(vm.m_name) == 0 &&
        CellOfWorker(plan.m_context->m_config->m_doc, vm.m_failure_domain,
                     vm.m_name) == plan.m_owner->m_cell;
    if (ours) {
      out->push_back(WorkerAdd{vm.m_name, vm.m_failure_domain, vm.m_rack,
                               BatchCapacity(vm, reserved)});
    }
  }
}

/// Parks what fails everywhere; drops jobs that ended long ago.
void PlanJobs(const PlanContext& plan, std::vector<Decision>* out) {
  const SchedSettings& settings = *plan.m_context->m_settings;
  const CellState& state = plan.m_owner->m_replay.State();
  for (const TaskId& id : state.m_pending) {
    if (FindTask(state, id)->m_failures >= settings.m_max_failures) {
      out->push_back(TaskPark{id, ParkReason::kFailsEverywhere});
    }
  }
  for (const std::pair<const JobId, Job>& entry : state.m_jobs) {
    if (!IsEnded(entry.second)) {
      continue;
    }
    const TimePoint ended =
        plan.m_owner->m_ended_at.emplace(entry.first, plan.m_now).first->second;
    if (plan.m_now - ended >= settings.m_forget_after) {
      out->push_back(JobForget{entry.first});
    }
  }
}

bool HasTaskUnderWay(const Job& job) {
  return std::any_of(job.m_tasks.begin(), job.m_tasks.end(),
                     [](const std::pair<const std::uint32_t, Task>& task) {
                       return task.second.m_state == TaskState::kHandedOff &&
                              !task.second.m_handed_over;
                     });
}

/// Records transfers and forwarded cancellations that arrived.
void PlanDelivered(const PlanContext& plan, std::vector<Decision>* out) {
  const CellState& state = plan.m_owner->m_replay.State();
  for (const TransferOrder& order : plan.m_owner->m_delivered) {
    if (order.m_cancel == 0) {
      out->push_back(TaskHandedOver{order.m_task, order.m_hop});
    }
  }
  for (const std::pair<const JobId, Job>& entry : state.m_jobs) {
    const Job& job = entry.second;
    if (!job.m_cancelled || job.m_cancel_forwarded) {
      continue;
    }
    std::set<std::string> targets = CancelTargets(job);
    for (const TransferOrder& order : plan.m_owner->m_delivered) {
      if (order.m_cancel == entry.first) {
        plan.m_owner->m_cancel_reached[entry.first].insert(order.m_target);
      }
    }
    for (const std::string& reached :
         plan.m_owner->m_cancel_reached[entry.first]) {
      targets.erase(reached);
    }
    // A cancellation must not overtake a task on its way to another cell.
    if (targets.empty() && !HasTaskUnderWay(job)) {
      out->push_back(CancelForwarded{entry.first});
      plan.m_owner->m_cancel_reached.erase(entry.first);
    }
  }
  plan.m_owner->m_delivered.clear();
}

/// Drops notes on tasks that no longer need them.
void PruneNotes(CellOwner* owner) {
  const CellState& state = owner->m_replay.State();
  const auto prune = [&state](std::map<TaskId, TimePoint>* notes) {
    std::map<TaskId, TimePoint>::iterator it = notes->begin();
    while (it != notes->end()) {
      it = state.m_pending.count(it->first) == 0 ? notes->erase(it)
                                                 : std::next(it);
    }
  };
  prune(&owner->m_pending_since);
  prune(&owner->m_not_before);
}

}  // namespace
}  // namespace pvt

std::vector<Decision> PlanCell(CellOwner* owner,
                               const CellContext& context,
                               TimePoint now) {
  const pvt::PlanContext plan{owner, &context, now};
  std::vector<Decision> decisions;
  if (!context.m_config_ready || context.m_vms == nullptr) {
    return decisions;
  }
  pvt::PruneNotes(owner);
  pvt::NoteDead(plan);
  pvt::PlanDelivered(plan, &decisions);
  pvt::PlanEnds(plan, &decisions);
  pvt::PlanWorkerTable(plan, &decisions);
  pvt::PlanJobs(plan, &decisions);
  pvt::PlanPlacement(plan, &decisions);
  return decisions;
}

CellSummary SummarizeCell(const CellOwner& owner, const CellContext& context) {
  CellSummary summary;
  const CellState& state = owner.m_replay.State();
  summary.m_cell = owner.m_cell;
  summary.m_pending = static_cast<std::uint32_t>(state.m_pending.size());
  summary.m_out = context.m_config->m_out.count(owner.m_failure_domain) > 0;
  for (const WorkerSlot& slot : state.m_workers) {
    summary.m_free += slot.m_capacity - slot.m_committed;
    if (slot.m_capacity.m_cpu_milli >= summary.m_largest.m_cpu_milli) {
      summary.m_largest = slot.m_capacity;
    }
  }
  return summary;
}

}  // namespace hyssopspar
