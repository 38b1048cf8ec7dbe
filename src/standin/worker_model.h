/// \file
/// A worker of the platform, reduced to what the scheduler can observe.

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

struct ModelTask {
  TaskPhase m_phase = TaskPhase::kRunning;
  Resources m_size;
  milliseconds m_run_time{
      0};  ///< True run time, which need not be the declared one.
  milliseconds m_done{0};
  bool m_throttled = false;
  std::size_t m_run = 0;  ///< Index in m_runs.
};

struct WorkerModel {
  std::string m_name;
  std::string m_failure_domain;
  Resources m_capacity;
  std::uint64_t m_boot_id = 1;
  TimePoint m_boot_time;      ///< Our time at which its clock showed zero.
  double m_clock_rate = 1.0;  ///< Its seconds per second of ours.
  bool m_fails_all = false;
  WorkerTime m_advanced;  ///< Its clock up to which tasks were run.
  WorkerTime m_lease_until;
  std::map<AttemptId, ModelTask> m_tasks;
  std::vector<AttemptRun> m_runs;
  std::vector<std::string> m_violations;  ///< Overcommitment, as it saw it.
};

/// True run time of a task, given the declared one.
using TrueWork = milliseconds (*)(const StartCommand& start);

/// As declared.
milliseconds DeclaredWork(const StartCommand& start);
/// Between a third and three times what was declared, fixed for each task.
milliseconds SpreadWork(const StartCommand& start);

/// The worker's clock at our time \p now.
WorkerTime ModelTime(const WorkerModel& worker, TimePoint now);

/// What the running tasks hold.
Resources UsedBy(const WorkerModel& worker);

/// Runs tasks up to \p now, stopping those whose lease lapses.
void AdvanceWorker(WorkerModel* worker, TimePoint now);

/// Carries out a message of the scheduler.
WorkerReport SyncWorker(WorkerModel* worker,
                        const WorkerSync& sync,
                        TrueWork true_work,
                        TimePoint now);

/// Restarts the worker: everything it ran or held is gone.
void RebootWorker(WorkerModel* worker, TimePoint now);

}  // namespace hyssopspar::standin
