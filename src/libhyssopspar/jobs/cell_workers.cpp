// Holds: leases, what workers run, and what has ended there.

#include <algorithm>

#include "hyssopspar/jobs/cell.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Reckoning errors that a lapsed lease is given beyond its end.
constexpr milliseconds kLapseMargin{300};
/// Pauses after a hold without an answer: doubled from the first to the last.
constexpr milliseconds kFirstHoldRetry{200};
constexpr milliseconds kLastHoldRetry{1000};
/// Longest time between holds while ends wait to be stored.
constexpr milliseconds kUnstoredHoldPause{500};
/// Ends that a worker lists at once; with as many, some may not be listed.
constexpr std::size_t kEndsListed = 500;
/// A stop without an answer is sent again after this long.
constexpr milliseconds kStopRetry{500};

}  // namespace

WorkerTime WorkerTimeAt(const Worker& worker, TimePoint at) {
  return worker.m_clock +
         std::chrono::duration_cast<milliseconds>(at - worker.m_clock_at);
}

double ShareOf(const StepPlan& step, const Worker& worker) {
  return static_cast<double>(step.m_size.m_cpu_milli) /
         static_cast<double>(worker.m_entry.m_capacity.m_cpu_milli);
}

bool IsUsable(const Worker& worker, const std::set<std::string>& domains_out) {
  return worker.m_listed && worker.m_fenced && worker.m_reachable &&
         !worker.m_entry.m_leaving &&
         domains_out.count(worker.m_entry.m_failure_domain) == 0;
}

bool WantsHold(const Worker& worker) {
  return (worker.m_listed || !worker.m_tasks.empty()) &&
         !worker.m_hold_in_flight && !worker.m_entry.m_address.empty();
}

WorkerMix Cell::MixOf(const Worker& worker) const {
  WorkerMix mix;
  for (const TaskRef& ref : worker.m_tasks) {
    const StepPlan& step = StepOf(*ref.m_job, ref.m_index);
    mix.m_serves = mix.m_serves || step.m_tail_target > milliseconds(0);
    mix.m_fills = mix.m_fills || step.m_fills_idle;
  }
  return mix;
}

void Cell::ExtendLeaseDeadline(Worker* worker, WorkerTime until) {
  const milliseconds span = until - worker->m_clock;
  const TimePoint lapse =
      worker->m_clock_at +
      std::chrono::duration_cast<Duration>(span / kSlowestWorkerClock) +
      kLapseMargin;
  worker->m_lease_deadline = std::max(worker->m_lease_deadline, lapse);
}

void Cell::SendHolds(TimePoint now) {
  if (now > m_authority) {
    return;
  }
  for (std::size_t i = 0; i < m_workers.size(); ++i) {
    if (WantsHold(m_workers[i]) && m_workers[i].m_next_hold <= now) {
      SendHold(static_cast<int>(i), now);
    }
  }
}

void Cell::SendHold(int worker, TimePoint now) {
  Worker& w = m_workers[static_cast<std::size_t>(worker)];
  HoldAction action;
  action.m_worker = worker;
  action.m_target = TargetOf(worker);
  action.m_sent = now;
  action.m_order.m_epoch = m_settings.m_epoch;
  // A worker that was lost may come back in a new life, which numbers its ends
  // anew.
  action.m_order.m_acked = w.m_reachable ? w.m_acked_end : 0;
  // A worker that does not answer gets no more time, so that its runs lapse.
  const bool extend = w.m_fenced && w.m_reachable;
  if (extend) {
    action.m_order.m_extend = true;
    action.m_order.m_lease_until = WorkerTimeAt(w, now) + m_settings.m_lease;
    ExtendLeaseDeadline(&w, action.m_order.m_lease_until);
  }
  if (extend && w.m_acked_end == w.m_seen_end) {
    const WorkerMix mix = MixOf(w);
    action.m_order.m_wait = mix.m_serves && mix.m_fills
                                ? m_settings.m_watch_hold_wait
                            : w.m_tasks.empty() ? m_settings.m_idle_hold_wait
                                                : m_settings.m_hold_wait;
  }
  w.m_hold_in_flight = true;
  m_actions.emplace_back(std::move(action));
}

void Cell::OnHoldAnswer(const HoldAction& action,
                        const Result<HoldReport>& answer,
                        TimePoint now) {
  Worker& worker = m_workers[static_cast<std::size_t>(action.m_worker)];
  worker.m_hold_in_flight = false;
  if (answer) {
    EnterReport(action.m_worker, action, answer.value(), now);
    return;
  }
  if (answer.error().m_code == ErrorCode::kFenced) {
    CellLog()->warn("fenced-by-worker id={} epoch={}", worker.m_entry.m_id,
                    m_settings.m_epoch);
    m_is_fenced = true;
    return;
  }
  if (worker.m_reachable) {
    CellLog()->warn("worker-lost id={} tasks={} error={}", worker.m_entry.m_id,
                    worker.m_tasks.size(), ToString(answer.error()));
  }
  worker.m_reachable = false;
  if (answer.error().m_code == ErrorCode::kNotFound) {
    EndAllRuns(action.m_worker, "replaced", now);
  }
  const milliseconds pause =
      std::min(kLastHoldRetry,
               kFirstHoldRetry * (1 << std::min(worker.m_hold_errors, 3U)));
  ++worker.m_hold_errors;
  worker.m_next_hold = now + pause;
}

void Cell::BeginLife(int worker, std::int64_t born) {
  Worker& w = m_workers[static_cast<std::size_t>(worker)];
  CellLog()->info("worker-reborn id={} born={} tasks={}", w.m_entry.m_id, born,
                  w.m_tasks.size());
  w.m_seen_end = 0;
  w.m_acked_end = 0;
  w.m_failed_jobs.clear();
}

/// Ends the runs that a worker's earlier life took with it.
void Cell::EndEarlierRuns(int worker,
                          const std::map<TaskRef, std::uint32_t>& listed,
                          TimePoint now) {
  const std::set<TaskRef> tasks =
      m_workers[static_cast<std::size_t>(worker)].m_tasks;
  for (const TaskRef& ref : tasks) {
    const Task& task = ref.m_job->m_tasks[ref.m_index];
    if (listed.count(ref) > 0) {
      continue;
    }
    if (task.m_state == TaskState::kRunning ||
        task.m_doubt == StartDoubt::kInherited) {
      EndRun(ref, EndCause::kLapsed, "", now);
    } else if (task.m_doubt == StartDoubt::kUnanswered) {
      // The order may yet reach the new life.
      SendStop(ref, "worker-reborn", now);
    }
  }
}

void Cell::EnterReport(int worker,
                       const HoldAction& action,
                       const HoldReport& report,
                       TimePoint now) {
  Worker& w = m_workers[static_cast<std::size_t>(worker)];
  if (report.m_born_unix_ms < w.m_born_unix_ms) {
    return;
  }
  const bool first = w.m_born_unix_ms == 0;
  const bool reborn = !first && report.m_born_unix_ms > w.m_born_unix_ms;
  if (reborn) {
    BeginLife(worker, report.m_born_unix_ms);
  }
  w.m_born_unix_ms = report.m_born_unix_ms;
  w.m_clock = report.m_now;
  w.m_clock_at = now;
  if (!w.m_reachable) {
    CellLog()->info("worker-answers id={} running={} ended={} first={}",
                    w.m_entry.m_id, report.m_running.size(),
                    report.m_ended.size(), first);
    m_schedule_needed = true;
  }
  w.m_fenced = true;
  w.m_reachable = true;
  w.m_hold_errors = 0;

  std::map<TaskRef, std::uint32_t> listed;
  const std::vector<TaskRef> refs = RefsOf(report.m_running);
  EnterRunning(worker, report, refs, &listed, now);
  EnterEnds(worker, report, now);
  if (reborn) {
    EndEarlierRuns(worker, listed, now);
  }
  if (report.m_ended.size() < kEndsListed) {
    SettleUnlisted(worker, action.m_sent, listed, now);
  }
  EnterTails(worker, report, refs, now);
  PaceFills(worker, report, refs, now);
  w.m_next_hold = w.m_acked_end < w.m_seen_end ? now + kUnstoredHoldPause : now;
}

void Cell::EnterRunning(int worker,
                        const HoldReport& report,
                        const std::vector<TaskRef>& refs,
                        std::map<TaskRef, std::uint32_t>* listed,
                        TimePoint now) {
  Worker& w = m_workers[static_cast<std::size_t>(worker)];
  w.m_foreign = Resources();
  w.m_unknown_runs = false;
  for (std::size_t i = 0; i < refs.size(); ++i) {
    const RunningRow& row = report.m_running[i];
    const TaskRef& ref = refs[i];
    Job* const job = ref.m_job;
    if (job == nullptr) {
      w.m_unknown_runs = true;
      StopForeignRun(worker, row);
      continue;
    }
    Task& task = job->m_tasks[ref.m_index];
    if (!IsPlaced(task) || task.m_worker != worker || task.m_run != row.m_run) {
      w.m_foreign += RoomOf(StepOf(*job, ref.m_index));
      StopForeignRun(worker, row);
      continue;
    }
    (*listed)[ref] = row.m_run;
    task.m_checkpoint = row.m_checkpoint;
    if (task.m_state == TaskState::kStarting) {
      SetTaskState(job, ref.m_index, TaskState::kRunning);
      task.m_doubt = StartDoubt::kNone;
      task.m_confirmed = now;
      job->m_begun = true;
      if (IsTerminal(job->m_state)) {
        SendStop(ref, "job-ended", now);
      }
    } else if (task.m_state == TaskState::kStopping &&
               task.m_doubt == StartDoubt::kUnanswered &&
               now - task.m_stop_sent > kStopRetry) {
      SendStop(ref, "repeat", now);
    }
  }
}

TaskRef Cell::RefOf(const TaskName& name) {
  Job* const job = Find(name.m_job);
  const std::int64_t index = job == nullptr ? -1 : TaskIndex(*job, name);
  return index < 0 ? TaskRef{} : TaskRef{job, static_cast<std::size_t>(index)};
}

std::vector<TaskRef> Cell::RefsOf(const std::vector<RunningRow>& rows) {
  std::vector<TaskRef> refs;
  refs.reserve(rows.size());
  for (const RunningRow& row : rows) {
    refs.push_back(RefOf(row.m_task));
  }
  return refs;
}

void Cell::StopForeignRun(int worker, const RunningRow& row) {
  StopAction action;
  action.m_worker = worker;
  action.m_target = TargetOf(worker);
  action.m_order.m_task = row.m_task;
  action.m_order.m_run = row.m_run;
  action.m_order.m_epoch = m_settings.m_epoch;
  CellLog()->warn("stop task={} run={} worker={} reason=unexpected",
                  ToString(row.m_task), row.m_run, action.m_target.m_id);
  m_actions.emplace_back(std::move(action));
}

void Cell::EnterEnds(int worker, const HoldReport& report, TimePoint now) {
  Worker& w = m_workers[static_cast<std::size_t>(worker)];
  for (const EndedRow& row : report.m_ended) {
    if (row.m_number <= w.m_seen_end) {
      continue;
    }
    w.m_seen_end = row.m_number;
    const TaskRef ref = RefOf(row.m_task);
    Job* const job = ref.m_job;
    if (job == nullptr) {
      continue;
    }
    const Task& task = job->m_tasks[ref.m_index];
    const bool here = IsPlaced(task) && task.m_worker == worker;
    // A run that was given up may have ended well; no later one has started.
    const bool done_after_all = (task.m_state == TaskState::kPending ||
                                 task.m_state == TaskState::kRecording) &&
                                row.m_cause == EndCause::kDone;
    if ((here && task.m_run == row.m_run) || done_after_all) {
      EndRun(ref, row.m_cause, row.m_checkpoint, now);
    }
  }
}

void Cell::SettleUnlisted(int worker,
                          TimePoint sent,
                          const std::map<TaskRef, std::uint32_t>& listed,
                          TimePoint now) {
  const std::set<TaskRef> tasks =
      m_workers[static_cast<std::size_t>(worker)].m_tasks;
  for (const TaskRef& ref : tasks) {
    if (listed.count(ref) > 0) {
      continue;
    }
    const Task& task = ref.m_job->m_tasks[ref.m_index];
    if (task.m_state == TaskState::kRecording) {
      continue;
    }
    const bool later = task.m_doubt_since < sent;
    if (task.m_doubt == StartDoubt::kInherited) {
      Release(ref, "never-started", now);
    } else if (task.m_doubt == StartDoubt::kStopped && later) {
      Release(ref, "stopped-before-start", now);
    } else if (task.m_doubt == StartDoubt::kUnanswered && later) {
      SendStop(ref, "start-unanswered", now);
    } else if (task.m_state == TaskState::kRunning && task.m_confirmed < sent) {
      Release(ref, "vanished", now);
    }
  }
}

void Cell::LapseRuns(TimePoint now) {
  for (std::size_t i = 0; i < m_workers.size(); ++i) {
    const Worker& worker = m_workers[i];
    if (worker.m_tasks.empty() || worker.m_reachable) {
      continue;
    }
    if (now > worker.m_lease_deadline) {
      EndAllRuns(static_cast<int>(i), "lapsed", now);
    }
  }
}

void Cell::EndAllRuns(int worker, const char* reason, TimePoint now) {
  const Worker& w = m_workers[static_cast<std::size_t>(worker)];
  CellLog()->warn("worker-ended id={} reason={} tasks={}", w.m_entry.m_id,
                  reason, w.m_tasks.size());
  const std::set<TaskRef> tasks = w.m_tasks;
  for (const TaskRef& ref : tasks) {
    if (ref.m_job->m_tasks[ref.m_index].m_state == TaskState::kRecording) {
      Release(ref, "worker-ended", now);
    } else {
      EndRun(ref, EndCause::kLapsed, "", now);
    }
  }
}

}  // namespace hyssopspar::jobs
