#include "standin/worker_model.h"

#include <algorithm>

namespace hyssopspar::standin {

namespace {

/// Progress is counted in thousandths.
constexpr std::int64_t kCompleteProgress = 1000;
/// Run time after which a task fails on a worker with m_fails_all_tasks.
constexpr milliseconds kFailureDelay{20};

/// Inverse of WorkerClockAt().
TimePoint LocalTimeAt(const WorkerModel& worker, WorkerTime at) {
  const std::chrono::duration<double, std::milli> local_since_boot =
      std::chrono::duration<double, std::milli>(at.time_since_epoch()) /
      worker.m_clock_rate;
  return worker.m_boot_time +
         std::chrono::duration_cast<Duration>(local_since_boot);
}

void EndAttempt(WorkerModel* worker,
                TaskModel* task,
                TaskPhase phase,
                WorkerTime at) {
  task->m_phase = phase;
  AttemptRun& run = worker->m_runs[task->m_run_index];
  run.m_end = LocalTimeAt(*worker, at);
  run.m_finished = phase == TaskPhase::kFinished;
}

/// Advances one running task from m_simulated_until to \p until, ending it when
/// its run time is reached. A throttled task runs at half speed.
void AdvanceTask(WorkerModel* worker, TaskModel* task, WorkerTime until) {
  const std::int64_t slowdown = task->m_throttled ? 2 : 1;
  const milliseconds run_time = (until - worker->m_simulated_until) / slowdown;
  const milliseconds limit = worker->m_fails_all_tasks
                                 ? std::min(kFailureDelay, task->m_run_time)
                                 : task->m_run_time;
  const milliseconds remaining =
      std::max(limit - task->m_completed_run_time, milliseconds(0));
  if (run_time < remaining) {
    task->m_completed_run_time += run_time;
    return;
  }
  task->m_completed_run_time += remaining;
  EndAttempt(
      worker, task,
      worker->m_fails_all_tasks ? TaskPhase::kFailed : TaskPhase::kFinished,
      worker->m_simulated_until + remaining * slowdown);
}

std::int64_t ProgressThousandths(const TaskModel& task) {
  return task.m_run_time.count() == 0
             ? kCompleteProgress
             : std::min<std::int64_t>(task.m_completed_run_time.count() *
                                          kCompleteProgress /
                                          task.m_run_time.count(),
                                      kCompleteProgress);
}

void StartAttempt(WorkerModel* worker,
                  const StartCommand& start,
                  RunTimeModel run_time_model,
                  TimePoint now) {
  if (worker->m_tasks.count(start.m_id) > 0) {
    return;
  }
  if (!Fits(UsedResources(*worker) + start.m_size, worker->m_capacity)) {
    worker->m_violations.push_back("overcommitted " + worker->m_name + " by " +
                                   FormatTaskId(start.m_id.m_task));
  }
  TaskModel task;
  task.m_size = start.m_size;
  task.m_run_time = run_time_model(start);
  task.m_completed_run_time =
      task.m_run_time * start.m_progress / kCompleteProgress;
  task.m_run_index = worker->m_runs.size();
  AttemptRun run;
  run.m_id = start.m_id;
  run.m_worker = worker->m_name;
  run.m_failure_domain = worker->m_failure_domain;
  run.m_start = now;
  run.m_end = TimePoint::max();
  worker->m_runs.push_back(run);
  worker->m_tasks[start.m_id] = task;
}

void StopAttempt(WorkerModel* worker, const AttemptId& id, WorkerTime now) {
  const std::map<AttemptId, TaskModel>::iterator it = worker->m_tasks.find(id);
  const bool running =
      it != worker->m_tasks.end() && it->second.m_phase == TaskPhase::kRunning;
  if (running) {
    EndAttempt(worker, &it->second, TaskPhase::kStopped, now);
  }
}

void ApplySync(WorkerModel* worker,
               const WorkerSync& sync,
               RunTimeModel run_time_model,
               TimePoint now) {
  const WorkerTime worker_now = WorkerClockAt(*worker, now);
  worker->m_lease_until = std::max(worker->m_lease_until, sync.m_lease_until);
  for (const AttemptId& id : sync.m_discard) {
    const std::map<AttemptId, TaskModel>::iterator it =
        worker->m_tasks.find(id);
    const bool ended = it != worker->m_tasks.end() &&
                       it->second.m_phase != TaskPhase::kRunning;
    if (ended) {
      worker->m_tasks.erase(it);
    }
  }
  for (const AttemptId& id : sync.m_stop) {
    StopAttempt(worker, id, worker_now);
  }
  for (const AttemptId& id : sync.m_throttle) {
    const std::map<AttemptId, TaskModel>::iterator it =
        worker->m_tasks.find(id);
    if (it != worker->m_tasks.end()) {
      it->second.m_throttled = true;
    }
  }
  for (const StartCommand& start : sync.m_start) {
    StartAttempt(worker, start, run_time_model, now);
  }
}

}  // namespace

Resources UsedResources(const WorkerModel& worker) {
  Resources used;
  for (const std::pair<const AttemptId, TaskModel>& entry : worker.m_tasks) {
    if (entry.second.m_phase == TaskPhase::kRunning) {
      used += entry.second.m_size;
    }
  }
  return used;
}

milliseconds DeclaredRunTime(const StartCommand& start) {
  return start.m_run_time;
}

milliseconds RandomizedRunTime(const StartCommand& start) {
  const std::uint64_t hash = Hash(FormatTaskId(start.m_id.m_task));
  const double unit_value = static_cast<double>(hash % 10000) / 10000.0;
  constexpr double kMinFactor = 1.0 / 3.0;
  constexpr double kMaxFactor = 3.0;
  const double factor =
      kMinFactor + unit_value * unit_value * (kMaxFactor - kMinFactor);
  return milliseconds(static_cast<std::int64_t>(
      static_cast<double>(start.m_run_time.count()) * factor));
}

WorkerTime WorkerClockAt(const WorkerModel& worker, TimePoint now) {
  const std::chrono::duration<double, std::milli> local_since_boot =
      now - worker.m_boot_time;
  return WorkerTime(std::chrono::duration_cast<milliseconds>(
      local_since_boot * worker.m_clock_rate));
}

void AdvanceWorker(WorkerModel* worker, TimePoint now) {
  const WorkerTime worker_now = WorkerClockAt(*worker, now);
  const WorkerTime until = std::min(worker_now, worker->m_lease_until);
  for (std::pair<const AttemptId, TaskModel>& entry : worker->m_tasks) {
    TaskModel& task = entry.second;
    if (task.m_phase == TaskPhase::kRunning &&
        until > worker->m_simulated_until) {
      AdvanceTask(worker, &task, until);
    }
    if (task.m_phase == TaskPhase::kRunning &&
        worker_now >= worker->m_lease_until) {
      EndAttempt(worker, &task, TaskPhase::kStopped, worker->m_lease_until);
    }
  }
  worker->m_simulated_until = std::max(worker->m_simulated_until, worker_now);
}

WorkerReport SyncWorker(WorkerModel* worker,
                        const WorkerSync& sync,
                        RunTimeModel run_time_model,
                        TimePoint now) {
  AdvanceWorker(worker, now);
  WorkerReport report;
  report.m_boot_id = worker->m_boot_id;
  report.m_now = WorkerClockAt(*worker, now);
  report.m_accepted =
      sync.m_boot_id == worker->m_boot_id && report.m_now <= sync.m_not_after;
  if (report.m_accepted) {
    ApplySync(worker, sync, run_time_model, now);
  }
  for (const std::pair<const AttemptId, TaskModel>& entry : worker->m_tasks) {
    report.m_tasks.push_back(TaskReport{entry.first, entry.second.m_phase,
                                        ProgressThousandths(entry.second)});
  }
  return report;
}

void RebootWorker(WorkerModel* worker, TimePoint now) {
  AdvanceWorker(worker, now);
  for (std::pair<const AttemptId, TaskModel>& entry : worker->m_tasks) {
    if (entry.second.m_phase == TaskPhase::kRunning) {
      EndAttempt(worker, &entry.second, TaskPhase::kStopped,
                 WorkerClockAt(*worker, now));
    }
  }
  worker->m_tasks.clear();
  ++worker->m_boot_id;
  worker->m_boot_time = now;
  worker->m_simulated_until = WorkerTime();
  worker->m_lease_until = WorkerTime();
}

}  // namespace hyssopspar::standin
