// Which ends of runs count as attempts, and tasks that last.

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

#include "hyssopspar/jobs/cell.h"
#include "jobs/cell_fixture.h"

namespace hyssopspar::jobs {
namespace {

class CellAttemptsTest : public CellTest {
 protected:
  void ActivateWithWorkers(int count) {
    for (int i = 0; i < count; ++i) {
      AddWorker("w" + std::to_string(i));
    }
    m_cell.Activate(m_now);
    Run(milliseconds(200));
  }

  /// Restores job "a" of one task, which has failed \p failures times. Its run
  /// \p run is placed on w0, or no run if \p placed is false.
  void RestoreTask(Submission job,
                   std::uint32_t run,
                   std::uint32_t failures,
                   bool placed) {
    JobProgress progress;
    progress.m_state = JobState::kRunning;
    progress.m_task_states = {placed ? TaskState::kRunning
                                     : TaskState::kPending};
    progress.m_run_numbers = {run};
    progress.m_failure_counts = {failures};
    progress.m_worker_slots = {placed ? 1U : 0U};
    progress.m_workers = {"w0"};
    m_cell.OnJob(job, m_now);
    ASSERT_TRUE(m_cell.RestoreJobProgress("a", progress));
  }

  const Task& TaskAt(std::size_t index) const {
    return m_cell.FindJob("a")->m_tasks[index];
  }

  std::string WorkerOf(std::size_t index) const {
    const int worker = TaskAt(index).m_worker;
    return worker == kNoWorker
               ? ""
               : m_cell.Workers()[static_cast<std::size_t>(worker)]
                     .m_entry.m_id;
  }

  /// Lets the worker of a placed task list the end of its current run.
  void EndCurrentRun(std::size_t index, EndCause cause) {
    const std::string worker = WorkerOf(index);
    ASSERT_NE(worker, "");
    const TaskName name = NameOfTask(*m_cell.FindJob("a"), index);
    std::vector<RunningRun>& running = m_running[worker];
    running.erase(std::remove_if(running.begin(), running.end(),
                                 [&](const RunningRun& run) {
                                   return ToString(run.m_task) ==
                                          ToString(name);
                                 }),
                  running.end());
    m_ended[worker].push_back(
        {++m_end_numbers[worker], name, TaskAt(index).m_run, cause, ""});
  }

  std::map<std::string, std::uint64_t> m_end_numbers;  ///< Last, by worker.
};

// In a queue without attempts, the first end of any kind, such as a stop, ended
// the job as failed.
TEST_F(CellAttemptsTest, OnlyEndsAsFailedUseUpAttemptsOfAQueueWithNone) {
  ActivateWithWorkers(2);
  Submission job = MakeJob("a", Step(1, 1000));
  job.m_queue.m_max_attempts = 0;
  m_cell.OnJob(job, m_now);
  Run(milliseconds(200));
  for (const EndCause cause :
       {EndCause::kStopped, EndCause::kLeaseExpired, EndCause::kGangBroken,
        EndCause::kGangIncomplete}) {
    EndCurrentRun(0, cause);
    Run(milliseconds(1000));
    ASSERT_EQ(m_cell.StateOf("a"), JobState::kRunning);
  }
  EXPECT_EQ(StartsOf("a"), 5U);
  EndCurrentRun(0, EndCause::kFailed);
  Run(milliseconds(1000));
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kFailed);
}

// The record of a job that is submitted again replaces the first one. With a
// limit that the job's task had reached by then, a stopped run ended the job as
// failed.
TEST_F(CellAttemptsTest, OnlyEndsAsFailedUseUpAttemptsBeyondALoweredLimit) {
  Submission job = MakeJob("a", Step(1, 1000));
  job.m_queue.m_max_attempts = 2;
  RestoreTask(job, 3, 2, true);
  m_running["w0"].push_back({{"a", 0, 0, 0}, 3, "", 0, 0});
  ActivateWithWorkers(2);
  EndCurrentRun(0, EndCause::kStopped);
  Run(milliseconds(1000));
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kRunning);
  EXPECT_EQ(StartsOf("a"), 1U);
}

}  // namespace
}  // namespace hyssopspar::jobs
