// Messages to the workers of an owned cell, derived from the cell's state and
// the workers' last reports.

#include <algorithm>
#include <utility>

#include "pvt/cell_plan.h"

namespace hyssopspar {

namespace pvt {

namespace {

/// Attempts that are live on the worker according to the cell's state.
std::map<AttemptId, const Task*> LiveAttempts(const CellState& state,
                                              const WorkerSlot& slot) {
  std::map<AttemptId, const Task*> live;
  for (const TaskId& id : slot.m_live) {
    const Task* task = FindTask(state, id);
    live[AttemptId{id, task->m_attempt}] = task;
  }
  return live;
}

StartCommand MakeStart(const CellState& state,
                       const AttemptId& id,
                       const Task& task) {
  const JobSpec& spec = state.m_jobs.at(id.m_task.m_job).m_spec;
  StartCommand start;
  start.m_id = id;
  start.m_size = task.m_size;
  start.m_class = spec.m_class;
  start.m_run_time = spec.m_run_time;
  start.m_progress = task.m_progress;
  return start;
}

/// Adds starts of live attempts that the worker has not started, and stops of
/// running attempts that are to be evicted.
void AddStartsAndEvictions(const PlanContext& plan,
                           const WorkerSlot& slot,
                           const WorkerView& view,
                           bool may_start,
                           WorkerSync* sync) {
  const CellState& state = plan.m_replica->m_replay.State();
  const std::map<AttemptId, const Task*> live = LiveAttempts(state, slot);
  for (const std::pair<const AttemptId, const Task*>& entry : live) {
    const std::map<AttemptId, TaskReport>::const_iterator listed =
        view.m_tasks.find(entry.first);
    const bool is_listed = listed != view.m_tasks.end();
    const bool running =
        is_listed && listed->second.m_phase == TaskPhase::kRunning;
    if (running && entry.second->m_state == TaskState::kEvicting) {
      sync->m_stop.push_back(entry.first);
    }
    const std::map<AttemptId, SentStart>::const_iterator start =
        view.m_starts.find(entry.first);
    const bool started_before =
        start != view.m_starts.end() &&
        (start->second.m_seen || start->second.m_boot_id != view.m_boot_id);
    const bool must_start =
        !is_listed && !started_before && may_start &&
        entry.second->m_state == TaskState::kLive &&
        plan.m_replica->m_own_commits.count(entry.first) > 0;
    if (must_start) {
      sync->m_start.push_back(MakeStart(state, entry.first, *entry.second));
    }
  }
}

/// True while a start that was sent may still reach the worker and be accepted.
/// Until then, the worker must keep its entry of the attempt; without it, a
/// delayed start would run the attempt a second time.
bool MayStillStart(const WorkerView& view, const AttemptId& id) {
  const std::map<AttemptId, SentStart>::const_iterator start =
      view.m_starts.find(id);
  return start != view.m_starts.end() &&
         start->second.m_boot_id == view.m_boot_id &&
         view.m_report_worker_time <= start->second.m_not_after;
}

/// Handles attempts that the worker lists and that are not live in the cell's
/// state: running ones are stopped, ended ones discarded by the worker.
void AddStopsAndDiscards(const PlanContext& plan,
                         const WorkerSlot& slot,
                         const WorkerView& view,
                         WorkerSync* sync) {
  const CellState& state = plan.m_replica->m_replay.State();
  for (const std::pair<const AttemptId, TaskReport>& entry : view.m_tasks) {
    const Task* task = FindTask(state, entry.first.m_task);
    const bool live = slot.m_live.count(entry.first.m_task) > 0 &&
                      task != nullptr &&
                      task->m_attempt == entry.first.m_attempt;
    if (live) {
      continue;
    }
    if (entry.second.m_phase == TaskPhase::kRunning) {
      sync->m_stop.push_back(entry.first);
    } else if (!MayStillStart(view, entry.first)) {
      sync->m_discard.push_back(entry.first);
    }
  }
}

/// Records in \p view the lease and the starts that \p sync contains. Drops
/// entries of starts that the worker can no longer accept and whose task is not
/// live.
void RecordSync(const PlanContext& plan,
                const WorkerSync& sync,
                TimePoint not_after,
                TimePoint lease_until,
                WorkerView* view) {
  view->m_lease_deadline = std::max(view->m_lease_deadline, lease_until);
  view->m_last_sync_not_after = not_after;
  for (const StartCommand& start : sync.m_start) {
    SentStart& sent = view->m_starts[start.m_id];
    sent.m_boot_id = view->m_boot_id;
    sent.m_not_after = std::max(sent.m_not_after, sync.m_not_after);
  }
  std::map<AttemptId, SentStart>::iterator it = view->m_starts.begin();
  while (it != view->m_starts.end()) {
    const bool obsolete =
        !MayStillStart(*view, it->first) &&
        plan.m_replica->m_replay.State().m_live.count(it->first.m_task) == 0;
    it = obsolete ? view->m_starts.erase(it) : std::next(it);
  }
}

/// True if the message must be sent now rather than at the next renewal.
bool HasCommands(const WorkerSync& sync) {
  return !sync.m_start.empty() || !sync.m_stop.empty() ||
         !sync.m_discard.empty();
}

/// Returns the message to one worker if one is due. A worker that has not yet
/// reported is only asked for its report.
std::optional<WorkerSync> PlanSync(const PlanContext& plan,
                                   const WorkerSlot& slot,
                                   WorkerView* view) {
  const SchedSettings& settings = *plan.m_context->m_settings;
  if (view->m_in_flight || plan.m_now >= plan.m_replica->m_outage_deadline) {
    return std::nullopt;
  }
  const bool due = plan.m_now >= view->m_next_sync;
  WorkerSync sync;
  if (!view->m_has_report) {
    return due ? std::optional<WorkerSync>(sync) : std::nullopt;
  }
  if (view->m_consecutive_errors > 0 && !due) {
    return std::nullopt;
  }
  const bool holds_lease = HoldsLease(*plan.m_replica, plan.m_now);
  // The worker must not accept a start after the ownership lease or the
  // configuration that permits it has expired. Lease renewals alone continue
  // during an outage of the log.
  TimePoint not_after = holds_lease ? plan.m_replica->m_lease_deadline
                                    : plan.m_replica->m_outage_deadline;
  AddStartsAndEvictions(plan, slot, *view,
                        StartsAllowed(plan) && AcceptsStarts(plan, slot),
                        &sync);
  if (holds_lease) {
    AddStopsAndDiscards(plan, slot, *view, &sync);
  }
  if (!sync.m_start.empty()) {
    not_after = std::min(
        not_after, plan.m_context->m_config_as_of + settings.m_max_config_age);
  }
  if (!due && !HasCommands(sync)) {
    return std::nullopt;
  }
  const TimePoint lease_until = plan.m_now + settings.m_worker_lease;
  sync.m_boot_id = view->m_boot_id;
  sync.m_not_after = ToWorkerTime(*view, not_after);
  sync.m_lease_until = ToWorkerTime(*view, lease_until);
  RecordSync(plan, sync, not_after, lease_until, view);
  return sync;
}

}  // namespace

std::vector<SyncOrder> PlanSyncs(const PlanContext& plan) {
  std::vector<SyncOrder> orders;
  if (plan.m_context->m_vms == nullptr || plan.m_replica->m_releasing) {
    return orders;
  }
  for (const WorkerSlot& slot : plan.m_replica->m_replay.State().m_workers) {
    const Vm* vm = slot.m_name.empty() ? nullptr : FindVm(plan, slot.m_name);
    if (vm == nullptr) {
      continue;
    }
    WorkerView& view = plan.m_replica->m_workers[slot.m_name];
    std::optional<WorkerSync> sync = PlanSync(plan, slot, &view);
    if (sync) {
      view.m_in_flight = true;
      view.m_next_sync =
          plan.m_now + plan.m_context->m_settings->m_worker_renew_period;
      orders.push_back(SyncOrder{slot.m_name, vm->m_address, std::move(*sync)});
    }
  }
  return orders;
}

}  // namespace pvt

void HandleWorkerReport(CellReplica* replica,
                        const std::string& worker,
                        const Result<WorkerReport>& report,
                        TimePoint now) {
  const std::map<std::string, WorkerView>::iterator it =
      replica->m_workers.find(worker);
  if (it == replica->m_workers.end()) {
    return;
  }
  it->second.m_in_flight = false;
  if (!report) {
    ++it->second.m_consecutive_errors;
    if (report.error().m_code != ErrorCode::kNotSent) {
      it->second.m_unacknowledged_until = std::max(
          it->second.m_unacknowledged_until, it->second.m_last_sync_not_after);
    }
    return;
  }
  ApplyWorkerReport(&it->second, report.value(), now);
}

}  // namespace hyssopspar
