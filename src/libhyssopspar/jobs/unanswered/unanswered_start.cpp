#include "hyssopspar/jobs/unanswered/unanswered_start.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/jobs/task.h"
#include "hyssopspar/jobs/worker.h"
#include "hyssopspar/jobs/worker_restart.h"

namespace hyssopspar::jobs {

namespace {

bool IsUnexpectedOn(const Worker& worker, const TaskName& name) {
  return std::find(worker.m_unexpected_runs.begin(),
                   worker.m_unexpected_runs.end(),
                   name) != worker.m_unexpected_runs.end();
}

/// True if the worker may be running the task by the start, or may begin it.
bool MayTakeEffect(const UnansweredStart& start,
                   const Worker& worker,
                   const OrderLimits& limits,
                   TimePoint now) {
  if (!worker.m_listed && !worker.m_reachable) {
    return now < worker.m_lease_deadline;
  }
  const bool is_reported_since = worker.m_reachable &&
                                 worker.m_epoch_acknowledged &&
                                 worker.m_alive_at >= start.m_arrives_by;
  return !is_reported_since &&
         now < LongestLeaseFrom(start.m_arrives_by, limits);
}

/// True if a run of the task has ended badly on the worker, which may be the
/// cause: another one there could use up the task's attempts, or make it look
/// as if it crashed its workers.
bool HasFailedOn(const Task& task, int worker) {
  return worker != kNoWorker &&
         (task.m_crashes > 0 ||
          std::find(task.m_failed_on.begin(), task.m_failed_on.end(), worker) !=
              task.m_failed_on.end());
}

}  // namespace

void AddUnansweredStart(int worker,
                        std::uint32_t run,
                        TimePoint arrives_by,
                        Task* task) {
  for (UnansweredStart& start : task->m_unanswered_starts) {
    if (start.m_worker == worker && start.m_run == run) {
      start.m_arrives_by = std::max(start.m_arrives_by, arrives_by);
      return;
    }
  }
  task->m_unanswered_starts.push_back({worker, run, arrives_by});
}

void ForgetStart(int worker, std::uint32_t run, Task* task) {
  std::vector<UnansweredStart>& starts = task->m_unanswered_starts;
  starts.erase(std::remove_if(starts.begin(), starts.end(),
                              [&](const UnansweredStart& start) {
                                return start.m_worker == worker &&
                                       start.m_run == run;
                              }),
               starts.end());
}

StartConstraint ConstrainNextStart(const TaskName& name,
                                   const std::vector<Worker>& workers,
                                   const OrderLimits& limits,
                                   TimePoint now,
                                   Task* task) {
  StartConstraint constraint;
  std::vector<UnansweredStart> open;
  for (const UnansweredStart& start : task->m_unanswered_starts) {
    const Worker& worker = workers[static_cast<std::size_t>(start.m_worker)];
    const bool is_running =
        IsUnexpectedOn(worker, name) && now < worker.m_lease_deadline;
    if (!is_running && !MayTakeEffect(start, worker, limits, now)) {
      continue;
    }
    open.push_back(start);
    const bool is_on_other_worker = constraint.m_only_worker != kNoWorker &&
                                    constraint.m_only_worker != start.m_worker;
    constraint.m_must_wait =
        constraint.m_must_wait || is_running || is_on_other_worker;
    constraint.m_only_worker = start.m_worker;
  }
  constraint.m_must_wait =
      constraint.m_must_wait || HasFailedOn(*task, constraint.m_only_worker);
  task->m_unanswered_starts = std::move(open);
  return constraint;
}

}  // namespace hyssopspar::jobs
