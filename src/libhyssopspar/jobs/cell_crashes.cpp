// Workers that crash or are lost, and the tasks that are blamed for it.

#include <algorithm>
#include <iterator>
#include <utility>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/crash_blame.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Workers that were lost within this time of each other were lost at once.
constexpr milliseconds kSimultaneousLosses{500};
/// Time without an unexplained loss of a worker after which a run shows whether
/// its task crashes workers.
constexpr milliseconds kCalmPeriod{1500};

/// Tasks of the worker whose start was ordered.
std::vector<TaskRef> StartedTasksOf(const Worker& worker) {
  std::vector<TaskRef> started;
  std::copy_if(worker.m_tasks.begin(), worker.m_tasks.end(),
               std::back_inserter(started), [](const TaskRef& ref) {
                 return ref.m_job->m_tasks[ref.m_index].m_state !=
                        TaskState::kRecording;
               });
  return started;
}

}  // namespace

void Cell::EndRunsLostInRestart(int worker_index,
                                const std::map<TaskRef, std::uint32_t>& listed,
                                TimePoint alive_at,
                                TimePoint sent,
                                TimePoint now) {
  const Worker& worker = m_workers[static_cast<std::size_t>(worker_index)];
  std::vector<TaskRef> tasks;
  std::vector<TaskRef> uncertain;
  for (const TaskRef& ref : worker.m_tasks) {
    const Task& task = ref.m_job->m_tasks[ref.m_index];
    if (task.m_state == TaskState::kRecording || listed.count(ref) > 0 ||
        task.m_worker_incarnation == worker.m_incarnation_unix_ms) {
      continue;
    }
    // The new incarnation may have confirmed the start after its report.
    const bool confirmed_since =
        task.m_state == TaskState::kRunning && task.m_confirmed_at >= sent;
    (confirmed_since ? uncertain : tasks).push_back(ref);
  }
  for (const TaskRef& ref : uncertain) {
    SendStop(ref, "worker-reborn", now);
  }
  const std::vector<TaskRef> given_up =
      CountCrash(worker_index, tasks, alive_at, CrashSign::kRestarted, now);
  for (const TaskRef& ref : tasks) {
    const Task& task = ref.m_job->m_tasks[ref.m_index];
    if (task.m_state == TaskState::kRunning ||
        task.m_start_status == StartStatus::kInherited) {
      EndRun(ref, EndCause::kWorkerCrashed, "", now);
    } else if (task.m_start_status == StartStatus::kUnacknowledged) {
      // The start order may still reach the new incarnation.
      SendStop(ref, "worker-reborn", now);
    }
  }
  GiveUpTasks(given_up, now);
}

std::vector<TaskRef> Cell::CountCrash(int worker_index,
                                      const std::vector<TaskRef>& tasks,
                                      TimePoint alive_at,
                                      CrashSign sign,
                                      TimePoint now) {
  Worker& worker = m_workers[static_cast<std::size_t>(worker_index)];
  std::vector<CrashedRun> runs;
  runs.reserve(tasks.size() + worker.m_lapsed_runs.size());
  for (const TaskRef& ref : tasks) {
    const Task& task = ref.m_job->m_tasks[ref.m_index];
    runs.push_back({ref, task.m_run, StartOf(task)});
  }
  for (const LapsedRun& lapsed : std::exchange(worker.m_lapsed_runs, {})) {
    const TaskRef ref = FindTaskRef(lapsed.m_task);
    if (ref.m_job != nullptr && !IsTerminal(ref.m_job->m_state)) {
      runs.push_back({ref, lapsed.m_run, lapsed.m_start});
    }
  }
  const bool was_seen_lost = worker.m_loss.m_at > alive_at;
  // The entry may have changed since the loss.
  const bool is_planned =
      was_seen_lost ? worker.m_loss.m_is_planned : worker.m_entry.m_leaving;
  if (runs.empty() || is_planned) {
    return {};
  }
  CellLog()->warn(
      "worker-crashed id={} tasks={} sign={} lost_by={} lost_ms={} "
      "alive_ms={} list_age_ms={}",
      worker.m_entry.m_id, runs.size(), SignName(sign),
      ToString(worker.m_loss.m_error), ToMillis(now - worker.m_loss.m_at),
      ToMillis(now - alive_at), ToMillis(now - m_workers_current_at));
  for (const CrashedRun& run : runs) {
    MarkDirty(run.m_task.m_job);
  }
  WorkerCrash crash;
  crash.m_worker = worker.m_entry.m_id;
  crash.m_alive_at = alive_at;
  crash.m_lost_at = was_seen_lost ? worker.m_loss.m_at : now;
  crash.m_is_witnessed = !was_seen_lost || worker.m_loss.m_is_witnessed;
  crash.m_ended_by = crash.m_is_witnessed ? crash.m_lost_at : now;
  if (sign == CrashSign::kRestarted) {
    // The clock of the new incarnation began at its start.
    const TimePoint restarted_by =
        worker.m_clock_received_at - worker.m_reported_clock.time_since_epoch();
    crash.m_ended_by =
        std::clamp(restarted_by, crash.m_lost_at, crash.m_ended_by);
  }
  CountLosses(worker, &crash);
  return BlameForCrash(crash, runs, &m_unexplained_crashes, now);
}

LossCircumstance Cell::CircumstanceOf(const Worker& worker,
                                      TimePoint now) const {
  LossCircumstance circumstance = LossCircumstance::kNoRecentStart;
  for (const TaskRef& ref : worker.m_tasks) {
    const Task& task = ref.m_job->m_tasks[ref.m_index];
    const RunStart start = StartOf(task);
    const bool is_recent =
        start.m_sent_at && now - *start.m_sent_at <= kSimultaneousLosses;
    if (is_recent && task.m_crashes > 0) {
      return LossCircumstance::kRecentSuspectStart;
    }
    if (is_recent) {
      circumstance = LossCircumstance::kRecentStart;
    }
  }
  return circumstance;
}

void Cell::MarkLost(Worker* worker, const Error& error, TimePoint now) {
  worker->m_loss.m_at = now;
  worker->m_loss.m_error = error.m_code;
  worker->m_loss.m_is_witnessed = (error.m_code == ErrorCode::kConnectionLost ||
                                   IsConnectionRefused(error));
  worker->m_loss.m_circumstance = CircumstanceOf(*worker, now);
  worker->m_loss.m_is_planned = worker->m_entry.m_leaving;
  if (worker->m_loss.m_circumstance != LossCircumstance::kRecentSuspectStart) {
    m_last_unexplained_loss = now;
  }
}

bool Cell::AwaitsCalm(const Task& task, TimePoint now) const {
  return task.m_crashes >= kCrashesBeforeTrial && now < task.m_trial_by &&
         now - m_last_unexplained_loss < kCalmPeriod;
}

void Cell::CountLosses(const Worker& crashed, WorkerCrash* crash) const {
  crash->m_workers = m_workers.size();
  crash->m_simultaneous_losses = 1;
  for (const Worker& worker : m_workers) {
    const WorkerLoss& loss = worker.m_loss;
    if (loss.m_at < crash->m_lost_at - kSimultaneousLosses ||
        loss.m_at > crash->m_lost_at + kSimultaneousLosses) {
      continue;
    }
    const bool counts =
        &worker != &crashed &&
        loss.m_circumstance != LossCircumstance::kRecentSuspectStart;
    crash->m_simultaneous_losses += counts ? 1 : 0;
    crash->m_unprovoked_losses +=
        loss.m_circumstance == LossCircumstance::kNoRecentStart ? 1 : 0;
  }
}

void Cell::GiveUpTasks(const std::vector<TaskRef>& tasks, TimePoint now) {
  for (const TaskRef& ref : tasks) {
    Job* const job = ref.m_job;
    if (IsTerminal(job->m_state)) {
      continue;
    }
    if (job->m_tasks[ref.m_index].m_state == TaskState::kPending) {
      SetTaskState(job, ref.m_index, TaskState::kFailed);
    }
    FailJob(ref, JobFailure::kCrashesWorkers, now);
  }
}

void Cell::EndRunsOfReplacedWorker(int worker_index, TimePoint now) {
  const Worker& worker = m_workers[static_cast<std::size_t>(worker_index)];
  const std::vector<TaskRef> given_up =
      CountCrash(worker_index, StartedTasksOf(worker), worker.m_alive_at,
                 CrashSign::kOtherWorker, now);
  EndRuns(worker_index, {worker.m_tasks.begin(), worker.m_tasks.end()},
          EndCause::kWorkerCrashed, now);
  GiveUpTasks(given_up, now);
}

void Cell::EndRunsOfSilentWorker(int worker_index, TimePoint now) {
  Worker& worker = TouchWorker(worker_index);
  std::vector<TaskRef> ended;
  worker.m_late_starts_until = TimePoint();
  for (const TaskRef& ref : worker.m_tasks) {
    const Task& task = ref.m_job->m_tasks[ref.m_index];
    const TimePoint latest_end = LatestEndOf(worker, task);
    if (task.m_state != TaskState::kRecording && latest_end > now) {
      worker.m_late_starts_until =
          std::max(worker.m_late_starts_until, latest_end);
      continue;
    }
    ended.push_back(ref);
    if (task.m_state == TaskState::kRecording) {
      continue;
    }
    const CrashedRun run{ref, task.m_run, StartOf(task)};
    worker.m_lapsed_runs.push_back(
        {NameOfTask(*ref.m_job, ref.m_index), run.m_run, run.m_start});
    if (!worker.m_listed) {
      CountPossibleCrash(run, worker.m_loss);
    }
  }
  EndRuns(worker_index, ended, EndCause::kLeaseExpired, now);
}

void Cell::EndRuns(int worker_index,
                   const std::vector<TaskRef>& tasks,
                   EndCause cause,
                   TimePoint now) {
  const Worker& worker = m_workers[static_cast<std::size_t>(worker_index)];
  CellLog()->warn("worker-ended id={} reason={} listed={} tasks={} kept={}",
                  worker.m_entry.m_id, CauseName(cause), worker.m_listed,
                  tasks.size(), worker.m_tasks.size() - tasks.size());
  for (const TaskRef& ref : tasks) {
    if (ref.m_job->m_tasks[ref.m_index].m_state == TaskState::kRecording) {
      ReturnToPending(ref, "worker-ended", now);
    } else {
      EndRun(ref, cause, "", now);
    }
  }
}

}  // namespace hyssopspar::jobs
