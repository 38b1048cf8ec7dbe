// Heartbeats to workers: they extend leases and report running and ended runs.

#include <algorithm>
#include <optional>
#include <utility>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/crash_blame.h"
#include "hyssopspar/jobs/worker_restart.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Delay before the next heartbeat after one without an answer; doubled with
/// each error in a row, from the minimum to the maximum.
constexpr milliseconds kMinHeartbeatRetryDelay{200};
constexpr milliseconds kMaxHeartbeatRetryDelay{1000};
/// Delay before the next heartbeat while received ends are not yet stored; the
/// end of the store operation triggers it earlier.
constexpr milliseconds kUnstoredEndsHeartbeatDelay{500};
/// Most ended runs that a worker lists in one report. A report with this many
/// may be incomplete.
constexpr std::size_t kMaxListedEnds = 500;
/// An unanswered stop of a run that is still reported is sent again after this
/// long.
constexpr milliseconds kStopRetryDelay{500};
/// Same for a stop that the worker has acknowledged.
constexpr milliseconds kAcknowledgedStopRetryDelay{2000};

/// Number up to which the next heartbeat acknowledges the worker's ended runs.
/// The worker may have restarted unseen and counts its ended runs anew then, so
/// that an old number could discard new ends. Therefore an unreachable worker
/// is sent none, nor one that hasn't acknowledged its fence, and another one
/// only a number that its last report calls for.
std::uint64_t AckFor(const Worker& worker) {
  const bool is_needed =
      worker.m_lowest_listed_end > 0 &&
      worker.m_lowest_listed_end <= worker.m_acked_end_number;
  return worker.m_reachable && worker.m_epoch_acknowledged && is_needed
             ? worker.m_acked_end_number
             : 0;
}

}  // namespace

TaskMix Cell::TaskMixOf(const Worker& worker) const {
  TaskMix mix;
  for (const TaskRef& ref : worker.m_tasks) {
    const StepPlan& step = StepOf(*ref.m_job, ref.m_index);
    mix.m_has_serving =
        mix.m_has_serving || step.m_tail_latency_target > milliseconds(0);
    mix.m_has_best_effort = mix.m_has_best_effort || step.m_is_best_effort;
  }
  return mix;
}

void Cell::ExtendLeaseDeadline(Worker* worker, WorkerTime until) {
  const milliseconds span = until - worker->m_reported_clock;
  const TimePoint expiry =
      worker->m_clock_received_at +
      std::chrono::duration_cast<Duration>(span / kMinWorkerClockRate) +
      kLeaseExpiryMargin;
  worker->m_lease_deadline = std::max(worker->m_lease_deadline, expiry);
}

void Cell::SendHeartbeats(TimePoint now) {
  m_ownership_lease_expired = now > m_ownership_lease_deadline;
  if (m_ownership_lease_expired) {
    return;
  }
  for (const std::pair<TimePoint, int>& due : m_agenda.m_heartbeats) {
    if (due.first > now) {
      break;
    }
    ++m_work.m_worker_visits;
    SendHeartbeat(due.second, now);
  }
}

void Cell::SendHeartbeat(int worker_index, TimePoint now) {
  Worker& worker = TouchWorker(worker_index);
  HeartbeatAction action;
  action.m_worker = worker_index;
  action.m_target = TargetOf(worker_index);
  action.m_sent = now;
  action.m_order.m_epoch = OrderEpoch(m_settings.m_epoch, worker);
  action.m_send_before = m_ownership_lease_deadline;
  action.m_order.m_acked_up_to = AckFor(worker);
  // The lease of a worker that does not answer is not extended, so that its
  // runs end when the lease expires.
  const bool extend = worker.m_epoch_acknowledged && worker.m_reachable;
  if (extend) {
    action.m_order.m_extends_lease = true;
    action.m_order.m_lease_until =
        WorkerTimeAt(worker, now) + m_settings.m_lease;
    ExtendLeaseDeadline(&worker, action.m_order.m_lease_until);
  }
  if (extend && worker.m_acked_end_number == worker.m_received_end_number) {
    const TaskMix mix = TaskMixOf(worker);
    action.m_order.m_wait = mix.m_has_serving && mix.m_has_best_effort
                                ? m_settings.m_throttling_heartbeat_wait
                            : worker.m_tasks.empty()
                                ? m_settings.m_idle_heartbeat_wait
                                : m_settings.m_heartbeat_wait;
  }
  worker.m_heartbeat_in_flight = true;
  m_actions.emplace_back(std::move(action));
}

void Cell::OnHeartbeatAnswer(const HeartbeatAction& action,
                             const Result<HeartbeatReport>& answer,
                             TimePoint now) {
  Worker& worker = TouchImprovedWorker(action.m_worker);
  worker.m_heartbeat_in_flight = false;
  if (answer) {
    ApplyReport(action.m_worker, action, answer.value(), now);
    return;
  }
  if (answer.error().m_code == ErrorCode::kFenced &&
      !IsOverridden(action.m_worker, action.m_order.m_epoch)) {
    CellLog()->warn("fenced-by-worker id={} epoch={}", worker.m_entry.m_id,
                    m_settings.m_epoch);
    m_is_fenced = true;
    return;
  }
  if (worker.m_reachable) {
    CellLog()->warn("worker-unreachable id={} tasks={} error={}",
                    worker.m_entry.m_id, worker.m_tasks.size(),
                    ToString(answer.error()));
    MarkLost(&worker, answer.error(), now);
  }
  worker.m_reachable = false;
  if (answer.error().m_code == ErrorCode::kNotFound) {
    EndRunsOfReplacedWorker(action.m_worker, now);
  }
  const milliseconds pause =
      std::min(kMaxHeartbeatRetryDelay,
               kMinHeartbeatRetryDelay *
                   (1 << std::min(worker.m_consecutive_heartbeat_errors, 3U)));
  ++worker.m_consecutive_heartbeat_errors;
  worker.m_next_heartbeat = now + pause;
}

void Cell::ApplyReport(int worker_index,
                       const HeartbeatAction& action,
                       const HeartbeatReport& report,
                       TimePoint now) {
  Worker& worker = m_workers[static_cast<std::size_t>(worker_index)];
  ++m_work.m_reports;
  const bool first = worker.m_incarnation_unix_ms == 0;
  // Reports arrive in order, since one heartbeat is in flight at a time. The
  // time of day at the start of a later incarnation may be the earlier one.
  const bool restarted =
      !first && report.m_incarnation_unix_ms != worker.m_incarnation_unix_ms;
  const TimePoint alive_at = worker.m_alive_at;
  if (restarted) {
    BeginIncarnation(worker_index, report.m_incarnation_unix_ms);
  } else {
    worker.m_lapsed_runs.clear();
  }
  worker.m_incarnation_unix_ms = report.m_incarnation_unix_ms;
  worker.m_reported_clock = report.m_now;
  worker.m_clock_received_at = now;
  worker.m_alive_at = action.m_sent;
  worker.m_lowest_listed_end =
      report.m_ended.empty() ? 0 : report.m_ended.front().m_number;
  if (!worker.m_reachable) {
    CellLog()->info("worker-reachable id={} running={} ended={} first={}",
                    worker.m_entry.m_id, report.m_running.size(),
                    report.m_ended.size(), first);
    m_schedule_needed = true;
  }
  if (restarted && worker.m_epoch_acknowledged) {
    RaiseFence(&worker, now);
  }
  if (!worker.m_epoch_acknowledged) {
    // This owner has seen a restart if it has raised the fence.
    AllowForStaleOrders(m_settings.m_order_limits,
                        worker.m_fence > 0
                            ? now
                            : LatestStartOf(report.m_incarnation_unix_ms, now),
                        now, &worker);
    CellLog()->info("worker-lease id={} fence={} lease_ms={}",
                    worker.m_entry.m_id, worker.m_fence,
                    ToMillis(worker.m_lease_deadline - now));
  }
  worker.m_epoch_acknowledged =
      action.m_order.m_epoch == OrderEpoch(m_settings.m_epoch, worker);
  worker.m_reachable = true;
  worker.m_consecutive_heartbeat_errors = 0;

  std::map<TaskRef, std::uint32_t> listed;
  const std::vector<TaskRef> refs = FindTaskRefs(report.m_running);
  ApplyRunningRuns(worker_index, report, refs, &listed, now);
  ApplyEndedRuns(worker_index, report, now);
  // At the first report, tasks may have been placed by an earlier owner.
  if (restarted || first) {
    EndRunsLostInRestart(worker_index, listed, alive_at, action.m_sent, now);
  }
  if (report.m_ended.size() < kMaxListedEnds) {
    ResolveUnlistedRuns(worker_index, action.m_sent, listed, now);
  }
  RecordTailLatencies(worker_index, report, refs, now);
  ThrottleBestEffortTasks(worker_index, report, refs, now);
  worker.m_next_heartbeat =
      worker.m_acked_end_number < worker.m_received_end_number
          ? now + kUnstoredEndsHeartbeatDelay
          : now;
}

void Cell::ApplyRunningRuns(int worker_index,
                            const HeartbeatReport& report,
                            const std::vector<TaskRef>& refs,
                            std::map<TaskRef, std::uint32_t>* listed,
                            TimePoint now) {
  Worker& worker = m_workers[static_cast<std::size_t>(worker_index)];
  worker.m_unexpected_run_resources = Resources();
  worker.m_has_unknown_runs = false;
  worker.m_unexpected_runs.clear();
  std::vector<TenantRuns> unexpected;
  for (std::size_t i = 0; i < refs.size(); ++i) {
    const RunningRun& run = report.m_running[i];
    const TaskRef& ref = refs[i];
    Job* const job = ref.m_job;
    if (job == nullptr) {
      worker.m_has_unknown_runs = true;
      StopUnexpectedRun(worker_index, run);
      continue;
    }
    Task& task = job->m_tasks[ref.m_index];
    ForgetStart(worker_index, run.m_run, &task);
    if (!IsPlaced(task) || task.m_worker != worker_index ||
        task.m_run != run.m_run) {
      // The task waits for the run's end, which a later report shows.
      AddUnansweredStart(worker_index, run.m_run, now, &task);
      worker.m_unexpected_runs.push_back(run.m_task);
      worker.m_unexpected_run_resources +=
          ReservedResourcesOf(StepOf(*job, ref.m_index));
      if (job->m_account) {
        unexpected.push_back(
            {*job->m_account, CountedResourcesOf(StepOf(*job, ref.m_index))});
      }
      StopUnexpectedRun(worker_index, run);
      continue;
    }
    (*listed)[ref] = run.m_run;
    task.m_worker_incarnation = worker.m_incarnation_unix_ms;
    // The worker may have written the report long before it was read.
    const std::optional<TimePoint> confirmed_at = StartOf(task).m_confirmed_at;
    if (!task.m_has_survived && confirmed_at &&
        worker.m_alive_at - *confirmed_at >= kAcquittedRunAge) {
      const bool was_suspect = task.m_crashes > 0;
      Acquit(&task);
      if (was_suspect || StepOf(*job, ref.m_index).m_long_running) {
        MarkDirty(job);
      }
    }
    task.m_checkpoint = run.m_checkpoint;
    if (task.m_state == TaskState::kStarting) {
      const bool inherited = task.m_start_status == StartStatus::kInherited;
      ConfirmStart(ref, now);
      if (inherited) {
        task.m_confirmed_at = now - kMinInheritedRunAge;
        AdoptThrottle(ref, run, now);
      }
      if (IsTerminal(job->m_state)) {
        SendStop(ref, "job-ended", now);
      }
    } else if (task.m_state == TaskState::kStopping &&
               task.m_start_status != StartStatus::kStopSent &&
               now - task.m_stop_sent_at >
                   (task.m_start_status == StartStatus::kStopAcknowledged
                        ? kAcknowledgedStopRetryDelay
                        : kStopRetryDelay)) {
      SendStop(ref, "repeat", now);
    }
  }
  SetUnexpectedRuns(&worker, std::move(unexpected));
}

TaskRef Cell::FindTaskRef(const TaskName& name) {
  Job* const job = FindMutableJob(name.m_job);
  const std::int64_t index = job == nullptr ? -1 : TaskIndex(*job, name);
  return index < 0 ? TaskRef{} : TaskRef{job, static_cast<std::size_t>(index)};
}

std::vector<TaskRef> Cell::FindTaskRefs(const std::vector<RunningRun>& runs) {
  std::vector<TaskRef> refs;
  refs.reserve(runs.size());
  for (const RunningRun& run : runs) {
    refs.push_back(FindTaskRef(run.m_task));
  }
  return refs;
}

void Cell::StopUnexpectedRun(int worker_index, const RunningRun& run) {
  StopAction action;
  action.m_worker = worker_index;
  action.m_target = TargetOf(worker_index);
  action.m_order.m_task = run.m_task;
  action.m_order.m_run = run.m_run;
  action.m_order.m_epoch = OrderEpoch(
      m_settings.m_epoch, m_workers[static_cast<std::size_t>(worker_index)]);
  CellLog()->warn("stop task={} run={} worker={} reason=unexpected",
                  ToString(run.m_task), run.m_run, action.m_target.m_id);
  m_actions.emplace_back(std::move(action));
}

void Cell::ApplyEndedRuns(int worker_index,
                          const HeartbeatReport& report,
                          TimePoint now) {
  Worker& worker = m_workers[static_cast<std::size_t>(worker_index)];
  for (const EndedRun& run : report.m_ended) {
    if (run.m_number <= worker.m_received_end_number) {
      continue;
    }
    worker.m_received_end_number = run.m_number;
    const TaskRef ref = FindTaskRef(run.m_task);
    Job* const job = ref.m_job;
    if (job == nullptr) {
      continue;
    }
    Task& task = job->m_tasks[ref.m_index];
    ForgetStart(worker_index, run.m_run, &task);
    const bool placed_here = IsPlaced(task) && task.m_worker == worker_index;
    // A run that counted as ended may have completed on the worker after all;
    // its result is accepted while no later run has been started.
    const bool completed_late = (task.m_state == TaskState::kPending ||
                                 task.m_state == TaskState::kRecording) &&
                                run.m_cause == EndCause::kDone;
    if ((placed_here && task.m_run == run.m_run) || completed_late) {
      EndRun(ref, run.m_cause, run.m_checkpoint, now);
    }
    worker.m_unstored_ends.push_back(
        {run.m_number, run.m_task.m_job, job->m_changes});
  }
  AckStoredEnds(worker_index, now);
}

void Cell::ResolveUnlistedRuns(int worker_index,
                               TimePoint sent,
                               const std::map<TaskRef, std::uint32_t>& listed,
                               TimePoint now) {
  const std::set<TaskRef> tasks =
      m_workers[static_cast<std::size_t>(worker_index)].m_tasks;
  for (const TaskRef& ref : tasks) {
    if (listed.count(ref) > 0) {
      continue;
    }
    const Task& task = ref.m_job->m_tasks[ref.m_index];
    if (task.m_state == TaskState::kRecording) {
      continue;
    }
    // A report requested before the start status changed may not reflect that
    // change.
    const bool report_is_newer = task.m_start_status_since < sent;
    if (task.m_start_status == StartStatus::kInherited) {
      ReturnToPending(ref, "never-started", now);
    } else if (task.m_start_status == StartStatus::kStopAcknowledged &&
               report_is_newer) {
      ReturnToPending(ref, "stopped-before-start", now);
    } else if (task.m_start_status == StartStatus::kUnacknowledged &&
               report_is_newer) {
      SendStop(ref, "start-unanswered", now);
    } else if (task.m_state == TaskState::kRunning &&
               task.m_confirmed_at < sent) {
      ReturnToPending(ref, "vanished", now);
    }
  }
}

void Cell::EndRunsWithExpiredLeases(TimePoint now) {
  for (const std::pair<TimePoint, int>& expiry : m_agenda.m_lease_expiries) {
    if (expiry.first > now) {
      break;
    }
    ++m_work.m_worker_visits;
    EndRunsOfSilentWorker(expiry.second, now);
  }
}

}  // namespace hyssopspar::jobs
