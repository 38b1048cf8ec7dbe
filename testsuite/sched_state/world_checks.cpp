// SchedSimulation: checks of the invariants. They compare the attempts that the
// workers recorded with the decisions that were applied in the log.

#include <algorithm>
#include <utility>

#include "hyssopspar/cell_replay.h"
#include "sched_state/sched_world.h"

namespace hyssopspar::testsuite {

namespace {

/// Longest time after a failure domain is taken out of service during which its
/// tasks may still start; at most a few seconds are allowed. It is
/// SchedSettings::m_max_config_age plus the time steps of the simulation.
constexpr milliseconds kMaxStartDelayAfterDrain{3100};

/// Seconds since the start of the simulation.
double SecondsSinceStart(TimePoint at) {
  return std::chrono::duration<double>(at.time_since_epoch()).count() - 3600;
}

}  // namespace

std::vector<standin::AttemptRun> SchedSimulation::CollectRuns() {
  std::vector<standin::AttemptRun> runs;
  for (standin::WorkerModel& worker : m_workers) {
    standin::AdvanceWorker(&worker, m_now);
    runs.insert(runs.end(), worker.m_runs.begin(), worker.m_runs.end());
  }
  return runs;
}

void SchedSimulation::CheckFinishedOnce(
    const std::vector<standin::AttemptRun>& runs,
    std::vector<std::string>* violations) const {
  // The log records at most one attempt of each task as finished; only the
  // result of that attempt is valid.
  std::map<TaskId, int> finish_records;
  for (const std::pair<const AttemptId, AttemptRecord>& entry : m_attempts) {
    finish_records[entry.first.m_task] += entry.second.m_finished ? 1 : 0;
  }
  for (const std::pair<const TaskId, int>& entry : finish_records) {
    if (entry.second > 1) {
      violations->push_back("recorded as finished " +
                            std::to_string(entry.second) +
                            " times: " + FormatTaskId(entry.first));
    }
  }
  // A worker may finish an attempt and then lose its lease, or fail, before it
  // reports the result. That result is discarded and the task runs again. Any
  // other second completion of a task is a violation.
  std::map<TaskId, int> finished;
  for (const standin::AttemptRun& run : runs) {
    const std::map<AttemptId, AttemptRecord>::const_iterator it =
        m_attempts.find(run.m_id);
    const bool is_discarded =
        it != m_attempts.end() && !it->second.m_finished &&
        (it->second.m_stopped == StopReason::kLeaseExpired ||
         it->second.m_stopped == StopReason::kLost);
    finished[run.m_id.m_task] += run.m_finished && !is_discarded ? 1 : 0;
  }
  for (const std::pair<const TaskId, int>& entry : finished) {
    if (entry.second > 1) {
      violations->push_back("finished " + std::to_string(entry.second) +
                            " times: " + FormatTaskId(entry.first));
    }
  }
}

void SchedSimulation::CheckStartsCommitted(
    const std::vector<standin::AttemptRun>& runs,
    std::vector<std::string>* violations) const {
  for (const standin::AttemptRun& run : runs) {
    const std::map<AttemptId, AttemptRecord>::const_iterator it =
        m_attempts.find(run.m_id);
    const bool committed =
        it != m_attempts.end() && it->second.m_committed <= run.m_start;
    if (!committed) {
      violations->push_back("started before it was committed: " +
                            FormatTaskId(run.m_id.m_task));
    }
  }
}

void SchedSimulation::CheckStartsInService(
    const std::vector<standin::AttemptRun>& runs,
    std::vector<std::string>* violations) const {
  for (const standin::AttemptRun& run : runs) {
    for (const OutOfServiceSpan& span : m_out_of_service_spans) {
      const bool too_late =
          run.m_failure_domain == span.m_name &&
          run.m_start > span.m_from + kMaxStartDelayAfterDrain &&
          run.m_start < span.m_to;
      if (too_late) {
        violations->push_back("started in " + span.m_name + " at " +
                              std::to_string(SecondsSinceStart(run.m_start)) +
                              ", out of service since " +
                              std::to_string(SecondsSinceStart(span.m_from)) +
                              ": " + FormatTaskId(run.m_id.m_task));
      }
    }
  }
}

std::vector<std::string> SchedSimulation::Check() {
  const std::vector<standin::AttemptRun> runs = CollectRuns();
  std::vector<std::string> violations =
      standin::CheckNoConcurrentAttempts(runs);
  for (const standin::WorkerModel& worker : m_workers) {
    violations.insert(violations.end(), worker.m_violations.begin(),
                      worker.m_violations.end());
  }
  CheckFinishedOnce(runs, &violations);
  CheckStartsCommitted(runs, &violations);
  CheckStartsInService(runs, &violations);
  for (const SchedulerProcess& process : m_processes) {
    const bool ahead = process.m_scheduler->Config().m_revision >
                       m_reference_config.m_revision;
    if (ahead) {
      violations.push_back("configuration ahead of the log at " +
                           process.m_name);
    }
  }
  return violations;
}

std::vector<std::string> SchedSimulation::CheckCompleted() {
  std::vector<std::string> violations = Check();
  std::map<TaskId, TaskState> task_states;
  for (const std::pair<const std::string, CellState>& cell :
       m_reference_cells) {
    const Result<void> consistent = CheckInvariants(cell.second);
    if (!consistent) {
      violations.push_back(cell.first + ": " + ToString(consistent.error()));
    }
    for (const std::pair<const JobId, Job>& job : cell.second.m_jobs) {
      for (const std::pair<const std::uint32_t, Task>& task :
           job.second.m_tasks) {
        if (task.second.m_state != TaskState::kHandedOff) {
          task_states[TaskId{job.first, task.first}] = task.second.m_state;
        }
      }
    }
  }
  for (const std::pair<JobId, std::uint32_t>& job : m_jobs) {
    for (std::uint32_t i = 0; i < job.second; ++i) {
      if (task_states.count(TaskId{job.first, i}) == 0) {
        violations.push_back("missing from all cells: " +
                             FormatTaskId(TaskId{job.first, i}));
      }
    }
  }
  for (const std::pair<const TaskId, TaskState>& task_state : task_states) {
    const bool completed = task_state.second == TaskState::kFinished ||
                           task_state.second == TaskState::kCancelled ||
                           task_state.second == TaskState::kParked;
    if (!completed) {
      violations.push_back(
          "not in a final state: " + FormatTaskId(task_state.first) +
          " state " + std::to_string(static_cast<int>(task_state.second)));
    }
    const bool cancelled = m_cancelled.count(task_state.first.m_job) > 0;
    if (task_state.second == TaskState::kCancelled && !cancelled) {
      violations.push_back("cancelled without a request: " +
                           FormatTaskId(task_state.first));
    }
  }
  CheckReplicas(&violations);
  return violations;
}

void SchedSimulation::CheckReplicas(
    std::vector<std::string>* violations) const {
  for (const SchedulerProcess& process : m_processes) {
    for (const std::pair<const std::string, CellReplica>& cell :
         process.m_scheduler->Cells()) {
      const CellReplay& replay = cell.second.m_replay;
      const std::map<std::string, CellState>::const_iterator reference =
          m_reference_cells.find(cell.first);
      const bool comparable = reference != m_reference_cells.end() &&
                              replay.IsReady() &&
                              replay.State().m_next == reference->second.m_next;
      if (comparable && EncodeCellState(replay.State()) !=
                            EncodeCellState(reference->second)) {
        violations->push_back("state of " + cell.first + " differs at " +
                              process.m_name);
      }
    }
  }
}

}  // namespace hyssopspar::testsuite
