/// \file
/// Model of a worker, reduced to what the scheduler can observe. Time advances
/// only through the `now` arguments, called local time here; the worker's own
/// clock may run at another rate.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"
#include "hyssopspar/worker_control.h"
#include "standin/run_history.h"

namespace hyssopspar::standin {

/// An attempt on the worker, kept until the scheduler discards it after its
/// end.
struct TaskModel {
  TaskPhase m_phase = TaskPhase::kRunning;
  Resources m_size;
  /// Actual run time at full speed, which may differ from the declared one.
  milliseconds m_run_time{0};
  /// Part of m_run_time that has been run, including earlier attempts.
  milliseconds m_completed_run_time{0};
  bool m_throttled = false;     ///< Runs at half speed.
  std::size_t m_run_index = 0;  ///< Index in WorkerModel::m_runs.
};

struct WorkerModel {
  std::string m_name;
  std::string m_failure_domain;
  Resources m_capacity;
  std::uint64_t m_boot_id = 1;  ///< Identifies the incarnation.
  TimePoint m_boot_time;        ///< Local time at which its clock was zero.
  double m_clock_rate = 1.0;    ///< Seconds of its clock per local second.
  /// Every task fails shortly after its start.
  bool m_fails_all_tasks = false;
  WorkerTime m_simulated_until;  ///< Time up to which tasks were advanced.
  WorkerTime m_lease_until;      ///< Expiry of the lease of all its tasks.
  std::map<AttemptId, TaskModel> m_tasks;
  std::vector<AttemptRun> m_runs;  ///< All attempts, over all incarnations.
  std::vector<std::string> m_violations;  ///< Starts beyond the capacity.
};

/// Function that gives the actual run time of a task.
using RunTimeModel = milliseconds (*)(const StartCommand& start);

/// The declared run time.
milliseconds DeclaredRunTime(const StartCommand& start);
/// Between a third and three times the declared run time, derived from a hash
/// of the task's name so that all attempts of a task agree.
milliseconds RandomizedRunTime(const StartCommand& start);

/// The worker's clock at local time \p now.
WorkerTime WorkerClockAt(const WorkerModel& worker, TimePoint now);

/// Resources that the running tasks use.
Resources UsedResources(const WorkerModel& worker);

/// Advances all tasks to \p now. A task that is still running when the lease
/// expires is stopped at that time.
void AdvanceWorker(WorkerModel* worker, TimePoint now);

/// Advances the worker to \p now, applies \p sync and returns the state of all
/// tasks. A \p sync that arrives after its m_not_after or is meant for another
/// incarnation is not applied, and the report says so in m_accepted.
WorkerReport SyncWorker(WorkerModel* worker,
                        const WorkerSync& sync,
                        RunTimeModel run_time_model,
                        TimePoint now);

/// Restarts the worker: all running tasks stop, and all tasks and the lease are
/// dropped.
void RebootWorker(WorkerModel* worker, TimePoint now);

}  // namespace hyssopspar::standin
