// Runs of tasks: reservation of resources, starts, stops and ends.

#include <algorithm>

#include "hyssopspar/invariant.h"
#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/worker_restart.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// A worker is quarantined once tasks of this many jobs have failed on it
/// without a success in between.
constexpr std::size_t kFailedJobsToQuarantine = 2;
/// At most one worker in this many is quarantined at a time.
constexpr std::size_t kQuarantineDivisor = 3;
/// Limit of repeated attempts to send the start of a gang member that could not
/// be sent.
constexpr std::uint32_t kMaxStartResends = 4;
/// Delay before the next start on a worker that refused a start, or to which a
/// start could not be sent.
constexpr milliseconds kRefusalBackoff{500};
/// Delay before the next placement of a task whose start order a worker
/// rejected as malformed.
constexpr milliseconds kRejectionBackoff{2000};

const std::string& JobIdOf(const TaskRef& ref) {
  return ref.m_job->m_submission.m_id;
}

}  // namespace

void Cell::AssignWorker(const TaskRef& ref, int worker_index) {
  Job* const job = ref.m_job;
  Worker& worker = TouchWorker(worker_index);
  if (!worker.m_tasks.insert(ref).second) {
    return;
  }
  const StepPlan& step = StepOf(*job, ref.m_index);
  if (step.m_is_best_effort) {
    worker.m_best_effort_cpu_milli += step.m_size.m_cpu_milli;
  } else if (step.m_tail_latency_target > milliseconds(0)) {
    worker.m_serving_cpu_milli += step.m_size.m_cpu_milli;
    ++worker.m_serving_images[step.m_image];
  }
  worker.m_used += ReservedResourcesOf(step);
  AddTenantUse(*job, step);
  Task& task = job->m_tasks[ref.m_index];
  task.m_worker = worker_index;
  if (task.m_start_status != StartStatus::kInherited) {
    task.m_worker_incarnation = worker.m_incarnation_unix_ms;
  }
}

void Cell::UnassignWorker(const TaskRef& ref) {
  Job* const job = ref.m_job;
  Task& task = job->m_tasks[ref.m_index];
  Worker& worker = TouchImprovedWorker(task.m_worker);
  task.m_worker = kNoWorker;
  task.m_start_status = StartStatus::kNone;
  task.m_placement_batch = 0;
  if (worker.m_tasks.erase(ref) == 0) {
    return;
  }
  const StepPlan& step = StepOf(*job, ref.m_index);
  if (step.m_is_best_effort) {
    worker.m_best_effort_cpu_milli -= step.m_size.m_cpu_milli;
  } else if (step.m_tail_latency_target > milliseconds(0)) {
    worker.m_serving_cpu_milli -= step.m_size.m_cpu_milli;
    if (--worker.m_serving_images[step.m_image] == 0) {
      worker.m_serving_images.erase(step.m_image);
    }
  }
  worker.m_used -= ReservedResourcesOf(step);
  RemoveTenantUse(*job, step);
  HYSSOPSPAR_INVARIANT(IsNonNegative(worker.m_used));
  m_schedule_needed = true;
}

void Cell::ReturnToPending(const TaskRef& ref,
                           const char* reason,
                           TimePoint now) {
  Job* const job = ref.m_job;
  const Task& task = job->m_tasks[ref.m_index];
  CellLog()->info("run-released task={}.{} run={} worker={} reason={}",
                  JobIdOf(ref), ref.m_index, task.m_run,
                  m_worker_names[static_cast<std::size_t>(task.m_worker)],
                  reason);
  UnassignWorker(ref);
  SetTaskState(job, ref.m_index, TaskState::kPending);
  job->m_tasks[ref.m_index].m_stage_since = now;
  MarkDirty(job);
  UpdateJobState(job, now);
}

void Cell::EndRun(const TaskRef& ref,
                  EndCause cause,
                  const std::string& checkpoint,
                  TimePoint now) {
  Job* const job = ref.m_job;
  Task& task = job->m_tasks[ref.m_index];
  const int worker_index = task.m_worker;
  const StepPlan& step = StepOf(*job, ref.m_index);
  CellLog()->info("run-ended task={}.{} run={} worker={} cause={}",
                  JobIdOf(ref), ref.m_index, task.m_run,
                  worker_index == kNoWorker
                      ? "-"
                      : m_worker_names[static_cast<std::size_t>(worker_index)],
                  CauseName(cause));
  if (cause == EndCause::kFailed) {
    CountFailure(ref, now);
  }
  // A run whose lease expired, or whose worker crashed, may never have started.
  job->m_has_started_task =
      job->m_has_started_task ||
      (cause != EndCause::kLeaseExpired && cause != EndCause::kWorkerCrashed);
  if (worker_index != kNoWorker) {
    if (cause == EndCause::kDone) {
      // The start of other runs was not confirmed, or they were to be stopped.
      if (task.m_state == TaskState::kRunning) {
        RecordRunTime(ref, now);
      }
      m_workers[static_cast<std::size_t>(worker_index)].m_failed_jobs.clear();
    }
    UnassignWorker(ref);
  }
  if (!checkpoint.empty()) {
    task.m_checkpoint = checkpoint;
  }
  // Decided at an end that counts only: the limit is 0 in a queue without one,
  // and lower than before after a second submission under another policy.
  const bool out_of_attempts =
      cause == EndCause::kFailed && !step.m_long_running &&
      task.m_failures >= job->m_submission.m_queue.m_max_attempts;
  if (cause == EndCause::kDone && !step.m_long_running) {
    SetTaskState(job, ref.m_index, TaskState::kDone);
    if (step.m_gang) {
      CompleteGang(ref);
    }
  } else {
    SetTaskState(job, ref.m_index,
                 out_of_attempts ? TaskState::kFailed : TaskState::kPending);
  }
  task.m_stage_since = now;
  m_schedule_needed = true;
  MarkDirty(job);
  UpdateJobState(job, now);
}

void Cell::ConfirmStart(const TaskRef& ref, TimePoint now) {
  Task& task = ref.m_job->m_tasks[ref.m_index];
  if (task.m_start_status != StartStatus::kInherited) {
    EndStage(ref, Stage::kConfirm, now);
  }
  SetTaskState(ref.m_job, ref.m_index, TaskState::kRunning);
  task.m_start_status = StartStatus::kNone;
  task.m_confirmed_at = now;
  task.m_is_confirmed = true;
  if (StepOf(*ref.m_job, ref.m_index).m_is_best_effort) {
    LimitExpectedTails(now + kFullyReportedAge, &TouchWorker(task.m_worker));
  }
  ref.m_job->m_has_started_task = true;
  UpdateJobState(ref.m_job, now);
}

void Cell::CountFailure(const TaskRef& ref, TimePoint now) {
  Job* const job = ref.m_job;
  Task& task = job->m_tasks[ref.m_index];
  ++task.m_failures;
  if (task.m_worker == kNoWorker) {
    return;
  }
  task.m_failed_on.push_back(task.m_worker);
  Worker& worker = TouchWorker(task.m_worker);
  worker.m_failed_jobs.insert(JobIdOf(ref));
  const auto quarantined = static_cast<std::size_t>(std::count_if(
      m_workers.begin(), m_workers.end(),
      [now](const Worker& w) { return w.m_quarantined_until > now; }));
  if (worker.m_failed_jobs.size() < kFailedJobsToQuarantine ||
      quarantined >= m_workers.size() / kQuarantineDivisor) {
    return;
  }
  worker.m_quarantined_until = now + m_settings.m_quarantine_period;
  CellLog()->warn("worker-quarantined id={} failed_jobs={}",
                  worker.m_entry.m_id, worker.m_failed_jobs.size());
}

/// Marks all members of a gang as done: the success of one counts for all.
void Cell::CompleteGang(const TaskRef& ref) {
  Job* const job = ref.m_job;
  const TaskName name = NameOfTask(*job, ref.m_index);
  const std::uint32_t tasks =
      job->m_submission.m_plan.m_steps[name.m_step].m_tasks;
  const std::size_t first = ref.m_index - name.m_index;
  for (std::size_t i = first; i < first + tasks; ++i) {
    if (IsPlaced(job->m_tasks[i])) {
      UnassignWorker({job, i});
    }
    SetTaskState(job, i, TaskState::kDone);
  }
}

bool Cell::MayPlaceTasks(TimePoint now) const {
  return now <= PlacementDeadline();
}

TimePoint Cell::PlacementDeadline() const {
  return std::min(m_ownership_lease_deadline,
                  std::min(m_operators_current_at, m_workers_current_at) +
                      m_settings.m_max_view_age);
}

bool Cell::MayStart(const TaskRef& ref, TimePoint now) const {
  const Job& job = *ref.m_job;
  const Task& task = job.m_tasks[ref.m_index];
  const Worker& worker = m_workers[static_cast<std::size_t>(task.m_worker)];
  // Since the placement, the worker may have become another kind by a restart,
  // its capacity may have shrunk, or the tenant's quota may have been lowered.
  return !IsTerminal(job.m_state) && MayPlaceTasks(now) && IsWithinQuota(ref) &&
         IsUsable(worker, m_excluded_domains) &&
         task.m_worker_incarnation == worker.m_incarnation_unix_ms &&
         Fits(worker.m_used + worker.m_unexpected_run_resources,
              worker.m_entry.m_capacity);
}

void Cell::SendStart(const TaskRef& ref, TimePoint now, std::uint32_t resends) {
  Job* const job = ref.m_job;
  Task& task = job->m_tasks[ref.m_index];
  Worker& worker = m_workers[static_cast<std::size_t>(task.m_worker)];
  StartAction action;
  action.m_worker = task.m_worker;
  action.m_task = ref;
  action.m_resends = resends;
  action.m_target = TargetOf(task.m_worker);
  action.m_order.m_task = NameOfTask(*job, ref.m_index);
  action.m_order.m_run = task.m_run;
  action.m_order.m_payload = job->m_submission.m_plan.m_payload;
  action.m_order.m_checkpoint = task.m_checkpoint;
  const StepAdvice* const advice = AdviceOf(
      job, action.m_order.m_task.m_occurrence, action.m_order.m_task.m_step);
  if (advice != nullptr) {
    action.m_order.m_ticket =
        TicketFor(*advice, task.m_worker, worker.m_incarnation_unix_ms, now)
            .value_or("");
  }
  action.m_order.m_not_after =
      WorkerTimeAt(worker, now) + m_settings.m_start_validity;
  action.m_order.m_epoch = OrderEpoch(m_settings.m_epoch, worker);
  action.m_sent = now;
  action.m_clock = ClockRangeOf(worker, now, now);
  action.m_send_before = PlacementDeadline();
  ExtendLeaseDeadline(&worker, action.m_order.m_not_after);
  SetTaskState(job, ref.m_index, TaskState::kStarting);
  ++m_work.m_starts;
  task.m_is_confirmed = false;
  task.m_start_sent_at = now;
  task.m_worker_incarnation = worker.m_incarnation_unix_ms;
  task.m_start_status = StartStatus::kNone;
  task.m_throttle_percent = kUnthrottledPercent;
  task.m_paused_since = TimePoint();
  CellLog()->info(
      "start task={} run={} worker={} view_age_ms={}",
      ToString(action.m_order.m_task), task.m_run, worker.m_entry.m_id,
      ToMillis(now - std::min(m_operators_current_at, m_workers_current_at)));
  ++m_unanswered_starts;
  m_actions.emplace_back(std::move(action));
}

void Cell::SendStop(const TaskRef& ref, const char* reason, TimePoint now) {
  Job* const job = ref.m_job;
  Task& task = job->m_tasks[ref.m_index];
  StopAction action;
  action.m_worker = task.m_worker;
  action.m_task = ref;
  action.m_target = TargetOf(task.m_worker);
  action.m_order.m_task = NameOfTask(*job, ref.m_index);
  action.m_order.m_run = task.m_run;
  action.m_order.m_epoch = OrderEpoch(
      m_settings.m_epoch, m_workers[static_cast<std::size_t>(task.m_worker)]);
  action.m_incarnation_unix_ms =
      m_workers[static_cast<std::size_t>(task.m_worker)].m_incarnation_unix_ms;
  SetTaskState(job, ref.m_index, TaskState::kStopping);
  task.m_start_status = StartStatus::kStopSent;
  task.m_stop_sent_at = now;
  CellLog()->info("stop task={} run={} worker={} reason={}",
                  ToString(action.m_order.m_task), task.m_run,
                  action.m_target.m_id, reason);
  m_actions.emplace_back(std::move(action));
}

void Cell::OnStartAnswer(const StartAction& action,
                         const Result<StartReply>& answer,
                         TimePoint now) {
  --m_unanswered_starts;
  if (answer) {
    CheckStartedIncarnation(action, answer.value(), now);
  }
  m_schedule_needed = m_schedule_needed || m_window_was_full;
  const bool not_sent = !answer && answer.error().m_code == ErrorCode::kNotSent;
  if (!answer && !not_sent) {
    KeepUnansweredStart(action);
  }
  Job* const job = FindMutableJob(action.m_order.m_task.m_job);
  if (job == nullptr || !HasTask(*job, action.m_task.m_index)) {
    return;
  }
  Task& task = job->m_tasks[action.m_task.m_index];
  const bool is_current_run = task.m_worker == action.m_worker &&
                              task.m_run == action.m_order.m_run &&
                              task.m_state == TaskState::kStarting;
  if (!is_current_run) {
    return;
  }
  // Sent again at once, because the gang members that have started wait for
  // this one.
  if (not_sent && StepOf(*job, action.m_task.m_index).m_gang &&
      action.m_resends < kMaxStartResends && MayStart(action.m_task, now)) {
    SendStart(action.m_task, now, action.m_resends + 1);
  } else if (not_sent) {
    TouchWorker(action.m_worker).m_backoff_until = now + kRefusalBackoff;
    ReturnToPending(action.m_task, "not-sent", now);
  } else if (!answer) {
    CellLog()->warn("start-unanswered task={} run={} worker={} error={}",
                    ToString(action.m_order.m_task), task.m_run,
                    action.m_target.m_id, ToString(answer.error()));
    task.m_start_status = StartStatus::kUnacknowledged;
    task.m_start_status_since = now;
    TouchWorker(action.m_worker).m_next_heartbeat = now;
  } else if (answer.value().m_answer == StartAnswer::kStarted) {
    AddConfirmation(&m_start_window, now - task.m_stage_since, now);
    ConfirmStart(action.m_task, now);
  } else {
    HandleRefusal(action, job, answer.value().m_answer, now);
  }
}

void Cell::HandleRefusal(const StartAction& action,
                         Job* job,
                         StartAnswer answer,
                         TimePoint now) {
  CellLog()->warn("start-refused task={} run={} worker={} answer={}",
                  ToString(action.m_order.m_task), action.m_order.m_run,
                  action.m_target.m_id, AnswerName(answer));
  if (answer == StartAnswer::kFenced &&
      !IsOverridden(action.m_worker, action.m_order.m_epoch)) {
    m_is_fenced = true;
    return;
  }
  Task& task = job->m_tasks[action.m_task.m_index];
  if (answer == StartAnswer::kNoTicket) {
    StepAdvice* const advice = AdviceOf(job, action.m_order.m_task.m_occurrence,
                                        action.m_order.m_task.m_step);
    if (advice != nullptr) {
      advice->m_tickets.erase(action.m_worker);
    }
  } else if (answer == StartAnswer::kRejected) {
    task.m_not_before = now + kRejectionBackoff;
  } else if (answer != StartAnswer::kLate && answer != StartAnswer::kOldRun) {
    TouchWorker(action.m_worker).m_backoff_until = now + kRefusalBackoff;
  }
  ReturnToPending(action.m_task, AnswerName(answer), now);
}

}  // namespace hyssopspar::jobs
