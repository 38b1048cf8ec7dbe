// What must hold in the world, judged by the workers' own records.

#include <algorithm>
#include <utility>

#include "hyssopspar/cell_replay.h"
#include "sched_state/sched_world.h"

namespace hyssopspar::testsuite {

namespace {

/// "No more than a few seconds": the age up to which a view of the
/// configuration permits a start, and the steps of this world.
constexpr milliseconds kStartAfterOut{3100};

double Seconds(TimePoint at) {
  return std::chrono::duration<double>(at.time_since_epoch()).count() - 3600;
}

}  // namespace

std::vector<standin::AttemptRun> SchedWorld::Runs() {
  std::vector<standin::AttemptRun> runs;
  for (standin::WorkerModel& worker : m_workers) {
    standin::AdvanceWorker(&worker, m_now);
    runs.insert(runs.end(), worker.m_runs.begin(), worker.m_runs.end());
  }
  return runs;
}

void SchedWorld::CheckFinishes(const std::vector<standin::AttemptRun>& runs,
                               std::vector<std::string>* violations) const {
  // The log names the one attempt whose result counts.
  std::map<TaskId, int> recorded;
  for (const std::pair<const AttemptId, AttemptRecord>& entry : m_attempts) {
    recorded[entry.first.m_task] += entry.second.m_finished ? 1 : 0;
  }
  for (const std::pair<const TaskId, int>& entry : recorded) {
    if (entry.second > 1) {
      violations->push_back("recorded as finished " +
                            std::to_string(entry.second) +
                            " times: " + TaskName(entry.first));
    }
  }
  // A worker may have finished what it could tell nobody before its lease
  // lapsed, or before it was lost. That result is void, and the work is done
  // again; any other second finish is wrong.
  std::map<TaskId, int> finished;
  for (const standin::AttemptRun& run : runs) {
    const std::map<AttemptId, AttemptRecord>::const_iterator it =
        m_attempts.find(run.m_id);
    const bool is_void = it != m_attempts.end() && !it->second.m_finished &&
                         (it->second.m_stopped == StopReason::kLapsed ||
                          it->second.m_stopped == StopReason::kLost);
    finished[run.m_id.m_task] += run.m_finished && !is_void ? 1 : 0;
  }
  for (const std::pair<const TaskId, int>& entry : finished) {
    if (entry.second > 1) {
      violations->push_back("finished " + std::to_string(entry.second) +
                            " times: " + TaskName(entry.first));
    }
  }
}

void SchedWorld::CheckCommits(const std::vector<standin::AttemptRun>& runs,
                              std::vector<std::string>* violations) const {
  for (const standin::AttemptRun& run : runs) {
    const std::map<AttemptId, AttemptRecord>::const_iterator it =
        m_attempts.find(run.m_id);
    const bool committed =
        it != m_attempts.end() && it->second.m_committed <= run.m_start;
    if (!committed) {
      violations->push_back("started before it was committed: " +
                            TaskName(run.m_id.m_task));
    }
  }
}

void SchedWorld::CheckOut(const std::vector<standin::AttemptRun>& runs,
                          std::vector<std::string>* violations) const {
  for (const standin::AttemptRun& run : runs) {
    for (const OutSpan& span : m_outs) {
      const bool late = run.m_failure_domain == span.m_name &&
                        run.m_start > span.m_from + kStartAfterOut &&
                        run.m_start < span.m_to;
      if (late) {
        violations->push_back("started in " + span.m_name + " at " +
                              std::to_string(Seconds(run.m_start)) +
                              ", out since " +
                              std::to_string(Seconds(span.m_from)) + ": " +
                              TaskName(run.m_id.m_task));
      }
    }
  }
}

std::vector<std::string> SchedWorld::Check() {
  const std::vector<standin::AttemptRun> runs = Runs();
  std::vector<std::string> violations = standin::CheckOnePlace(runs);
  for (const standin::WorkerModel& worker : m_workers) {
    violations.insert(violations.end(), worker.m_violations.begin(),
                      worker.m_violations.end());
  }
  CheckFinishes(runs, &violations);
  CheckCommits(runs, &violations);
  CheckOut(runs, &violations);
  for (const Process& process : m_processes) {
    const bool ahead =
        process.m_scheduler->Config().m_revision > m_true_config.m_revision;
    if (ahead) {
      violations.push_back("configuration ahead of the log at " +
                           process.m_name);
    }
  }
  return violations;
}

std::vector<std::string> SchedWorld::CheckEnded() {
  std::vector<std::string> violations = Check();
  std::map<TaskId, TaskState> ends;
  for (const std::pair<const std::string, CellState>& cell : m_true_cells) {
    const Result<void> sound = CheckInvariants(cell.second);
    if (!sound) {
      violations.push_back(cell.first + ": " + ToString(sound.error()));
    }
    for (const std::pair<const JobId, Job>& job : cell.second.m_jobs) {
      for (const std::pair<const std::uint32_t, Task>& task :
           job.second.m_tasks) {
        if (task.second.m_state != TaskState::kHandedOff) {
          ends[TaskId{job.first, task.first}] = task.second.m_state;
        }
      }
    }
  }
  for (const std::pair<JobId, std::uint32_t>& job : m_jobs) {
    for (std::uint32_t i = 0; i < job.second; ++i) {
      if (ends.count(TaskId{job.first, i}) == 0) {
        violations.push_back("lost: " + TaskName(TaskId{job.first, i}));
      }
    }
  }
  for (const std::pair<const TaskId, TaskState>& end : ends) {
    const bool over = end.second == TaskState::kFinished ||
                      end.second == TaskState::kCancelled ||
                      end.second == TaskState::kParked;
    if (!over) {
      violations.push_back("not over: " + TaskName(end.first) + " state " +
                           std::to_string(static_cast<int>(end.second)));
    }
    const bool cancelled = m_cancelled.count(end.first.m_job) > 0;
    if (end.second == TaskState::kCancelled && !cancelled) {
      violations.push_back("cancelled by nobody: " + TaskName(end.first));
    }
  }
  CheckReaders(&violations);
  return violations;
}

void SchedWorld::CheckReaders(std::vector<std::string>* violations) const {
  for (const Process& process : m_processes) {
    for (const std::pair<const std::string, CellOwner>& cell :
         process.m_scheduler->Cells()) {
      const CellReplay& replay = cell.second.m_replay;
      const std::map<std::string, CellState>::const_iterator truth =
          m_true_cells.find(cell.first);
      const bool comparable = truth != m_true_cells.end() && replay.IsReady() &&
                              replay.State().m_next == truth->second.m_next;
      if (comparable &&
          EncodeCellState(replay.State()) != EncodeCellState(truth->second)) {
        violations->push_back("state of " + cell.first + " differs at " +
                              process.m_name);
      }
    }
  }
}

}  // namespace hyssopspar::testsuite
