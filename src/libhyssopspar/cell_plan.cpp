// Planning of an owned cell: ends of attempts, evictions, changes of the worker
// table, and parking and removal of jobs.

#include <algorithm>
#include <utility>

#include "hyssopspar/logging.h"
#include "pvt/cell_plan.h"

namespace hyssopspar {

namespace pvt {

std::set<std::string> CancelTargets(const Job& job) {
  std::set<std::string> targets;
  for (const std::pair<const std::uint32_t, Task>& task : job.m_tasks) {
    const bool handed_off = task.second.m_state == TaskState::kHandedOff &&
                            task.second.m_hand_off_confirmed;
    if (handed_off) {
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
  const bool fresh = context.m_config_ready &&
                     plan.m_now < context.m_config_as_of +
                                      context.m_settings->m_max_config_age;
  return fresh && HoldsLease(*plan.m_replica, plan.m_now) &&
         !plan.m_replica->m_releasing;
}

bool MustVacate(const PlanContext& plan, const WorkerSlot& slot) {
  const Vm* vm = FindVm(plan, slot.m_name);
  const bool leaving = vm != nullptr && vm->m_state != VmState::kLive;
  return leaving || IsOutOfService(*plan.m_context->m_config,
                                   slot.m_failure_domain, slot.m_name);
}

bool AcceptsStarts(const PlanContext& plan, const WorkerSlot& slot) {
  const std::map<std::string, WorkerView>::const_iterator it =
      plan.m_replica->m_workers.find(slot.m_name);
  const bool reachable = it != plan.m_replica->m_workers.end() &&
                         it->second.m_has_report &&
                         it->second.m_consecutive_errors == 0;
  return reachable && !MustVacate(plan, slot) &&
         FindVm(plan, slot.m_name) != nullptr &&
         plan.m_now >= it->second.m_quarantined_until;
}

namespace {

/// True if the VM list has shown the worker as dead for at least the list's
/// maximum lag and the worker has not answered since. Within the lag, the
/// worker may have restarted already, and the list may show its previous
/// incarnation.
bool IsDead(const PlanContext& plan,
            const WorkerSlot& slot,
            const WorkerView& view) {
  const std::map<std::string, TimePoint>::const_iterator since =
      plan.m_replica->m_dead_since.find(slot.m_name);
  return since != plan.m_replica->m_dead_since.end() &&
         plan.m_now - since->second >=
             plan.m_context->m_settings->m_vm_list_lag &&
         (!view.m_has_report || view.m_report_time <= since->second);
}

/// Updates the times since which the VM list has shown workers as dead.
void UpdateDeadSince(const PlanContext& plan) {
  std::map<std::string, TimePoint>& dead = plan.m_replica->m_dead_since;
  for (const WorkerSlot& slot : plan.m_replica->m_replay.State().m_workers) {
    const Vm* vm = FindVm(plan, slot.m_name);
    if (vm != nullptr && vm->m_state == VmState::kDead) {
      dead.emplace(slot.m_name, plan.m_now);
    } else {
      dead.erase(slot.m_name);
    }
  }
}

/// True if all leases on the worker have expired, whichever owner granted them.
bool LeasesExpired(const PlanContext& plan, const WorkerView& view) {
  const SchedSettings& settings = *plan.m_context->m_settings;
  const Duration margin =
      WithDrift(settings, settings.m_worker_lease) - settings.m_worker_lease;
  const TimePoint expired_by =
      std::max(view.m_lease_deadline + margin,
               plan.m_replica->m_prior_leases_expired_at);
  return plan.m_now > expired_by;
}

/// Counts a failed attempt of \p job on a worker. Quarantines the worker once
/// the limit of failures in a row is reached, unless only this one job fails
/// there and none of its tasks has finished yet: then the job may be at fault.
void RecordFailure(const PlanContext& plan, JobId job, WorkerView* view) {
  const SchedSettings& settings = *plan.m_context->m_settings;
  ++view->m_failures;
  view->m_failed_jobs.insert(job);
  const bool limit_reached =
      view->m_failures >= settings.m_failures_before_quarantine;
  const bool worker_suspect = plan.m_replica->m_succeeded_jobs.count(job) > 0 ||
                              view->m_failed_jobs.size() > 1;
  if (limit_reached && worker_suspect) {
    view->m_quarantined_until = plan.m_now + settings.m_quarantine_period;
    // One more failure after the quarantine starts another quarantine.
    view->m_failures = settings.m_failures_before_quarantine - 1;
  }
}

/// Resets the count of failures in a row.
void RecordSuccess(WorkerView* view) {
  view->m_failures = 0;
  view->m_failed_jobs.clear();
}

/// Delay before the next attempt; doubles with each failure up to
/// m_max_retry_delay.
Duration RetryDelay(const SchedSettings& settings, std::uint32_t failures) {
  const std::uint32_t doublings = std::min<std::uint32_t>(failures, 16);
  const Duration delay = settings.m_min_retry_delay * (1U << doublings);
  return std::min<Duration>(delay, settings.m_max_retry_delay);
}

/// Returns the decision for an attempt in the worker's last report, if the
/// attempt has ended.
std::optional<Decision> ResolveListed(const PlanContext& plan,
                                      const AttemptId& id,
                                      const Task& task,
                                      const TaskReport& report,
                                      WorkerView* view) {
  switch (report.m_phase) {
    case TaskPhase::kRunning:
      return std::nullopt;
    case TaskPhase::kFinished:
      RecordSuccess(view);
      return TaskFinish{id.m_task, id.m_attempt};
    case TaskPhase::kFailed:
      RecordFailure(plan, id.m_task.m_job, view);
      plan.m_replica->m_not_before[id.m_task] =
          plan.m_now + RetryDelay(*plan.m_context->m_settings, task.m_failures);
      return TaskStop{id.m_task, id.m_attempt, StopReason::kFailed,
                      report.m_progress};
    case TaskPhase::kStopped:
      break;
  }
  const StopReason reason = task.m_state == TaskState::kEvicting
                                ? StopReason::kEvicted
                                : StopReason::kLeaseExpired;
  return TaskStop{id.m_task, id.m_attempt, reason, report.m_progress};
}

/// Returns the decision for an attempt missing from the worker's last report,
/// if the attempt has certainly ended or will certainly not start.
std::optional<Decision> ResolveUnlisted(const PlanContext& plan,
                                        const AttemptId& id,
                                        const Task& task,
                                        const WorkerSlot& slot,
                                        const WorkerView& view) {
  const TaskStop lost{id.m_task, id.m_attempt, StopReason::kLost, 0};
  const std::map<AttemptId, SentStart>::const_iterator start =
      view.m_starts.find(id);
  if (start != view.m_starts.end()) {
    // The attempt was listed before and is gone, or the worker has restarted
    // since the start was sent and may have run the attempt before the restart.
    if (start->second.m_seen || start->second.m_boot_id != view.m_boot_id) {
      return lost;
    }
    const bool start_expired =
        view.m_report_worker_time > start->second.m_not_after;
    const bool evicting = task.m_state == TaskState::kEvicting;
    if (start_expired && (evicting || MustVacate(plan, slot))) {
      return TaskStop{id.m_task, id.m_attempt, StopReason::kEvicted, 0};
    }
    return std::nullopt;
  }
  if (plan.m_replica->m_own_commits.count(id) == 0) {
    // An earlier owner committed this attempt. The worker refuses that owner's
    // starts by now, and may have run and lost the attempt.
    return lost;
  }
  if (task.m_state == TaskState::kEvicting || MustVacate(plan, slot)) {
    return TaskStop{id.m_task, id.m_attempt, StopReason::kEvicted, 0};
  }
  return std::nullopt;
}

/// Returns the decision that ends or evicts a live attempt, if one is due.
std::optional<Decision> ResolveAttempt(const PlanContext& plan,
                                       const TaskId& id,
                                       const Task& task) {
  const WorkerSlot& slot =
      plan.m_replica->m_replay.State().m_workers[task.m_worker];
  const AttemptId attempt{id, task.m_attempt};
  WorkerView& view = plan.m_replica->m_workers[slot.m_name];
  const std::map<AttemptId, TaskReport>::const_iterator listed =
      view.m_tasks.find(attempt);
  if (listed != view.m_tasks.end()) {
    std::optional<Decision> end =
        ResolveListed(plan, attempt, task, listed->second, &view);
    if (end) {
      return end;
    }
  } else if (view.m_has_report) {
    std::optional<Decision> end =
        ResolveUnlisted(plan, attempt, task, slot, view);
    if (end) {
      return end;
    }
  }
  if (IsDead(plan, slot, view)) {
    return TaskStop{id, task.m_attempt, StopReason::kLost, 0};
  }
  if (view.m_consecutive_errors > 0 && LeasesExpired(plan, view)) {
    const std::int64_t progress =
        listed == view.m_tasks.end() ? 0 : listed->second.m_progress;
    return TaskStop{id, task.m_attempt, StopReason::kLeaseExpired, progress};
  }
  if (task.m_state == TaskState::kLive && MustVacate(plan, slot)) {
    return TaskEvict{id, task.m_attempt};
  }
  return std::nullopt;
}

/// Adds decisions that end or evict live attempts.
void PlanAttemptEnds(const PlanContext& plan, std::vector<Decision>* out) {
  const CellState& state = plan.m_replica->m_replay.State();
  for (const TaskId& id : state.m_live) {
    if (out->size() >= plan.m_context->m_settings->m_max_batch_decisions) {
      return;
    }
    std::optional<Decision> end =
        ResolveAttempt(plan, id, *FindTask(state, id));
    if (end) {
      out->push_back(*end);
    }
  }
}

/// Resources that endpoints reserve on each worker, by the worker's name.
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

/// Capacity of a worker for batch tasks, net of endpoint reservations.
Resources BatchCapacity(const Vm& vm,
                        const std::map<std::string, Resources>& reserved) {
  const std::map<std::string, Resources>::const_iterator it =
      reserved.find(vm.m_name);
  Resources remaining = vm.m_capacity;
  if (it != reserved.end()) {
    remaining -= it->second;
  }
  remaining.m_cpu_milli = std::max<std::int64_t>(remaining.m_cpu_milli, 0);
  remaining.m_memory_mib = std::max<std::int64_t>(remaining.m_memory_mib, 0);
  remaining.m_accelerators =
      std::max<std::int64_t>(remaining.m_accelerators, 0);
  return remaining;
}

/// Adds decisions that make the worker table match the VM list.
void PlanWorkerTable(const PlanContext& plan, std::vector<Decision>* out) {
  const CellState& state = plan.m_replica->m_replay.State();
  const std::map<std::string, Resources> reserved = ReservedByHost(plan);
  std::map<std::string, WorkerIndex> index_by_name;
  for (std::size_t i = 0; i < state.m_workers.size(); ++i) {
    const WorkerSlot& slot = state.m_workers[i];
    if (slot.m_name.empty()) {
      continue;
    }
    const WorkerIndex index = static_cast<WorkerIndex>(i);
    index_by_name[slot.m_name] = index;
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
    const bool belongs_here =
        vm.m_kind == VmKind::kWorker && vm.m_state == VmState::kLive &&
        index_by_name.count(vm.m_name) == 0 &&
        CellOfWorker(plan.m_context->m_config->m_doc, vm.m_failure_domain,
                     vm.m_name) == plan.m_replica->m_cell;
    if (belongs_here) {
      out->push_back(WorkerAdd{vm.m_name, vm.m_failure_domain, vm.m_rack,
                               BatchCapacity(vm, reserved)});
    }
  }
}

/// Adds decisions that park tasks with too many failures, and that remove ended
/// jobs whose retention period has expired.
void PlanJobs(const PlanContext& plan, std::vector<Decision>* out) {
  const SchedSettings& settings = *plan.m_context->m_settings;
  const CellState& state = plan.m_replica->m_replay.State();
  for (const TaskId& id : state.m_pending) {
    if (FindTask(state, id)->m_failures >= settings.m_max_failures) {
      out->push_back(TaskPark{id, ParkReason::kTooManyFailures});
    }
  }
  for (const std::pair<const JobId, Job>& entry : state.m_jobs) {
    if (!IsEnded(entry.second)) {
      continue;
    }
    const TimePoint ended =
        plan.m_replica->m_ended_at.emplace(entry.first, plan.m_now)
            .first->second;
    if (plan.m_now - ended >= settings.m_ended_job_retention) {
      out->push_back(JobRemove{entry.first});
    }
  }
}

/// True if a task of the job was handed off and not yet confirmed as accepted.
bool HasUnconfirmedHandOff(const Job& job) {
  return std::any_of(job.m_tasks.begin(), job.m_tasks.end(),
                     [](const std::pair<const std::uint32_t, Task>& task) {
                       return task.second.m_state == TaskState::kHandedOff &&
                              !task.second.m_hand_off_confirmed;
                     });
}

/// Adds confirmations of the transfers and cancellations that were appended to
/// other cells' streams.
void PlanDeliveryRecords(const PlanContext& plan, std::vector<Decision>* out) {
  const CellState& state = plan.m_replica->m_replay.State();
  for (const TransferOrder& order : plan.m_replica->m_delivered_transfers) {
    if (order.m_cancelled_job == 0) {
      out->push_back(TaskHandOffConfirm{order.m_task, order.m_hop});
    }
  }
  for (const std::pair<const JobId, Job>& entry : state.m_jobs) {
    const Job& job = entry.second;
    if (!job.m_cancelled || job.m_cancel_forwarded) {
      continue;
    }
    std::set<std::string> targets = CancelTargets(job);
    for (const TransferOrder& order : plan.m_replica->m_delivered_transfers) {
      if (order.m_cancelled_job == entry.first) {
        plan.m_replica->m_cancel_delivered_to[entry.first].insert(
            order.m_target);
      }
    }
    for (const std::string& delivered_to :
         plan.m_replica->m_cancel_delivered_to[entry.first]) {
      targets.erase(delivered_to);
    }
    // A cancellation must not arrive before a task that is being handed off: a
    // cell that does not have the job yet rejects the cancellation.
    if (targets.empty() && !HasUnconfirmedHandOff(job)) {
      out->push_back(CancelForwarded{entry.first});
      plan.m_replica->m_cancel_delivered_to.erase(entry.first);
    }
  }
  plan.m_replica->m_delivered_transfers.clear();
}

/// Drops the times kept for tasks that are no longer pending.
void PruneTaskTimes(CellReplica* replica) {
  const CellState& state = replica->m_replay.State();
  const auto prune = [&state](std::map<TaskId, TimePoint>* times) {
    std::map<TaskId, TimePoint>::iterator it = times->begin();
    while (it != times->end()) {
      it = state.m_pending.count(it->first) == 0 ? times->erase(it)
                                                 : std::next(it);
    }
  };
  prune(&replica->m_pending_since);
  prune(&replica->m_not_before);
}

}  // namespace
}  // namespace pvt

std::vector<Decision> PlanCell(CellReplica* replica,
                               const CellContext& context,
                               TimePoint now) {
  const pvt::PlanContext plan{replica, &context, now};
  std::vector<Decision> decisions;
  if (!context.m_config_ready || context.m_vms == nullptr) {
    return decisions;
  }
  pvt::PruneTaskTimes(replica);
  pvt::UpdateDeadSince(plan);
  pvt::PlanDeliveryRecords(plan, &decisions);
  pvt::PlanAttemptEnds(plan, &decisions);
  pvt::PlanWorkerTable(plan, &decisions);
  pvt::PlanJobs(plan, &decisions);
  pvt::PlanPlacement(plan, &decisions);
  return decisions;
}

CellSummary SummarizeCell(const CellReplica& replica,
                          const CellContext& context) {
  CellSummary summary;
  const CellState& state = replica.m_replay.State();
  summary.m_cell = replica.m_cell;
  summary.m_pending = static_cast<std::uint32_t>(state.m_pending.size());
  summary.m_out_of_service =
      context.m_config->m_out_of_service.count(replica.m_failure_domain) > 0;
  for (const WorkerSlot& slot : state.m_workers) {
    summary.m_free += slot.m_capacity - slot.m_committed;
    if (slot.m_capacity.m_cpu_milli >= summary.m_largest_worker.m_cpu_milli) {
      summary.m_largest_worker = slot.m_capacity;
    }
  }
  return summary;
}

}  // namespace hyssopspar
