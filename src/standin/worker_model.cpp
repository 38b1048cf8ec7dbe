#include "standin/worker_model.h"

#include <algorithm>

namespace hyssopspar::standin {

namespace {

constexpr std::int64_t kWholeProgress = 1000;
/// Time after which a task fails on a worker that fails everything.
constexpr milliseconds kFailAfter{20};

TimePoint OurTime(const WorkerModel& worker, WorkerTime at) {
  const std::chrono::duration<double, std::milli> ours =
      std::chrono::duration<double, std::milli>(at.time_since_epoch()) /
      worker.m_clock_rate;
  return worker.m_boot_time + std::chrono::duration_cast<Duration>(ours);
}

void End(WorkerModel* worker, ModelTask* task, TaskPhase phase, WorkerTime at) {
  task->m_phase = phase;
  AttemptRun& run = worker->m_runs[task->m_run];
  run.m_end = OurTime(*worker, at);
  run.m_finished = phase == TaskPhase::kFinished;
}

/// Runs one task from the last time advanced to \p until.
void RunTask(WorkerModel* worker, ModelTask* task, WorkerTime until) {
  const std::int64_t slowdown = task->m_throttled ? 2 : 1;
  const milliseconds span = (until - worker->m_advanced) / slowdown;
  const milliseconds limit = worker->m_fails_all
                                 ? std::min(kFailAfter, task->m_run_time)
                                 : task->m_run_time;
  const milliseconds left = std::max(limit - task->m_done, milliseconds(0));
  if (span < left) {
    task->m_done += span;
    return;
  }
  task->m_done += left;
  End(worker, task,
      worker->m_fails_all ? TaskPhase::kFailed : TaskPhase::kFinished,
      worker->m_advanced + left * slowdown);
}

std::int64_t Progress(const ModelTask& task) {
  return task.m_run_time.count() == 0
             ? kWholeProgress
             : std::min<std::int64_t>(task.m_done.count() * kWholeProgress /
                                          task.m_run_time.count(),
                                      kWholeProgress);
}

void Start(WorkerModel* worker,
           const StartCommand& start,
           TrueWork true_work,
           TimePoint now) {
  if (worker->m_tasks.count(start.m_id) > 0) {
    return;
  }
  if (!Fits(UsedBy(*worker) + start.m_size, worker->m_capacity)) {
    worker->m_violations.push_back("overcommitted " + worker->m_name + " by " +
                                   TaskName(start.m_id.m_task));
  }
  ModelTask task;
  task.m_size = start.m_size;
  task.m_run_time = true_work(start);
  task.m_done = task.m_run_time * start.m_progress / kWholeProgress;
  task.m_run = worker->m_runs.size();
  AttemptRun run;
  run.m_id = start.m_id;
  run.m_worker = worker->m_name;
  run.m_failure_domain = worker->m_failure_domain;
  run.m_start = now;
  run.m_end = TimePoint::max();
  worker->m_runs.push_back(run);
  worker->m_tasks[start.m_id] = task;
}

void Stop(WorkerModel* worker, const AttemptId& id, WorkerTime now) {
  const std::map<AttemptId, ModelTask>::iterator it = worker->m_tasks.find(id);
  const bool running =
      it != worker->m_tasks.end() && it->second.m_phase == TaskPhase::kRunning;
  if (running) {
    End(worker, &it->second, TaskPhase::kStopped, now);
  }
}

void Obey(WorkerModel* worker,
          const WorkerSync& sync,
          TrueWork true_work,
          TimePoint now) {
  const WorkerTime worker_now = ModelTime(*worker, now);
  worker->m_lease_until = std::max(worker->m_lease_until, sync.m_lease_until);
  for (const AttemptId& id : sync.m_discard) {
    const std::map<AttemptId, ModelTask>::iterator it =
        worker->m_tasks.find(id);
    const bool ended = it != worker->m_tasks.end() &&
                       it->second.m_phase != TaskPhase::kRunning;
    if (ended) {
      worker->m_tasks.erase(it);
    }
  }
  for (const AttemptId& id : sync.m_stop) {
    Stop(worker, id, worker_now);
  }
  for (const AttemptId& id : sync.m_throttle) {
    const std::map<AttemptId, ModelTask>::iterator it =
        worker->m_tasks.find(id);
    if (it != worker->m_tasks.end()) {
      it->second.m_throttled = true;
    }
  }
  for (const StartCommand& start : sync.m_start) {
    Start(worker, start, true_work, now);
  }
}

}  // namespace

Resources UsedBy(const WorkerModel& worker) {
  Resources used;
  for (const std::pair<const AttemptId, ModelTask>& entry : worker.m_tasks) {
    if (entry.second.m_phase == TaskPhase::kRunning) {
      used += entry.second.m_size;
    }
  }
  return used;
}

milliseconds DeclaredWork(const StartCommand& start) {
  return start.m_run_time;
}

milliseconds SpreadWork(const StartCommand& start) {
  const std::uint64_t hash = Hash(TaskName(start.m_id.m_task));
  const double unit = static_cast<double>(hash % 10000) / 10000.0;
  constexpr double kLeast = 1.0 / 3.0;
  constexpr double kMost = 3.0;
  const double factor = kLeast + unit * unit * (kMost - kLeast);
  return milliseconds(static_cast<std::int64_t>(
      static_cast<double>(start.m_run_time.count()) * factor));
}

WorkerTime ModelTime(const WorkerModel& worker, TimePoint now) {
  const std::chrono::duration<double, std::milli> ours =
      now - worker.m_boot_time;
  return WorkerTime(
      std::chrono::duration_cast<milliseconds>(ours * worker.m_clock_rate));
}

void AdvanceWorker(WorkerModel* worker, TimePoint now) {
  const WorkerTime worker_now = ModelTime(*worker, now);
  const WorkerTime until = std::min(worker_now, worker->m_lease_until);
  for (std::pair<const AttemptId, ModelTask>& entry : worker->m_tasks) {
    ModelTask& task = entry.second;
    if (task.m_phase == TaskPhase::kRunning && until > worker->m_advanced) {
      RunTask(worker, &task, until);
    }
    if (task.m_phase == TaskPhase::kRunning &&
        worker_now >= worker->m_lease_until) {
      End(worker, &task, TaskPhase::kStopped, worker->m_lease_until);
    }
  }
  worker->m_advanced = std::max(worker->m_advanced, worker_now);
}

WorkerReport SyncWorker(WorkerModel* worker,
                        const WorkerSync& sync,
                        TrueWork true_work,
                        TimePoint now) {
  AdvanceWorker(worker, now);
  WorkerReport report;
  report.m_boot_id = worker->m_boot_id;
  report.m_now = ModelTime(*worker, now);
  report.m_accepted =
      sync.m_boot_id == worker->m_boot_id && report.m_now <= sync.m_not_after;
  if (report.m_accepted) {
    Obey(worker, sync, true_work, now);
  }
  for (const std::pair<const AttemptId, ModelTask>& entry : worker->m_tasks) {
    report.m_tasks.push_back(
        TaskReport{entry.first, entry.second.m_phase, Progress(entry.second)});
  }
  return report;
}

void RebootWorker(WorkerModel* worker, TimePoint now) {
  AdvanceWorker(worker, now);
  for (std::pair<const AttemptId, ModelTask>& entry : worker->m_tasks) {
    if (entry.second.m_phase == TaskPhase::kRunning) {
      End(worker, &entry.second, TaskPhase::kStopped, ModelTime(*worker, now));
    }
  }
  worker->m_tasks.clear();
  ++worker->m_boot_id;
  worker->m_boot_time = now;
  worker->m_advanced = WorkerTime();
  worker->m_lease_until = WorkerTime();
}

}  // namespace hyssopspar::standin
