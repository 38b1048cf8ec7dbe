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
  void RestoreTask(const Submission& job,
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

// An end would count twice if a successor with the stored count, which finds
// the end listed again, took it for that of the run placed since.
TEST_F(CellAttemptsTest, CountsAnEndThatASuccessorFindsListedAgainOnce) {
  RestoreTask(MakeJob("a", Step(1, 1000)), 2, 1, true);
  m_running["w0"].push_back({{"a", 0, 0, 0}, 2, "", 0, 0});
  m_ended["w0"].push_back({1, {"a", 0, 0, 0}, 1, EndCause::kFailed, ""});
  ActivateWithWorkers(2);
  Run(milliseconds(1000));
  EXPECT_EQ(TaskAt(0).m_failures, 1U);
  EXPECT_EQ(TaskAt(0).m_state, TaskState::kRunning);
}

// Same for one whose record is older than the end: it counts the end, though
// the store takes its batches late and the worker lists the end meanwhile.
TEST_F(CellAttemptsTest, CountsAnEndOnceWhileItsStoringIsPending) {
  RestoreTask(MakeJob("a", Step(1, 1000)), 1, 0, true);
  m_ended["w0"].push_back({1, {"a", 0, 0, 0}, 1, EndCause::kFailed, ""});
  m_store_is_slow = true;
  ActivateWithWorkers(1);
  Run(milliseconds(3000));
  EXPECT_EQ(TaskAt(0).m_failures, 1U);
  m_store_is_slow = false;
  m_cell.OnStored(m_unanswered_batch, Offset{1}, m_now);
  Run(milliseconds(3000));
  EXPECT_EQ(TaskAt(0).m_failures, 1U);
  EXPECT_EQ(TaskAt(0).m_state, TaskState::kRunning);
}

// The numbers of ends begin anew with an incarnation. Ends of earlier runs that
// are listed under new numbers would use up the attempts.
TEST_F(CellAttemptsTest, CountsAnEndOnceWhenItsNumberBeginsAnew) {
  ActivateWithWorkers(1);
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  Run(milliseconds(200));
  EndCurrentRun(0, EndCause::kFailed);
  Run(milliseconds(1000));
  ASSERT_EQ(TaskAt(0).m_run, 2U);
  ++m_incarnations["w0"];
  Run(milliseconds(1000));
  m_ended["w0"].push_back({2, {"a", 0, 0, 0}, 1, EndCause::kFailed, ""});
  Run(milliseconds(1000));
  EXPECT_EQ(TaskAt(0).m_failures, 1U);
  EXPECT_NE(m_cell.StateOf("a"), JobState::kFailed);
}

// Only the worker on which a run is placed tells how it ends.
TEST_F(CellAttemptsTest, IgnoresTheEndOfARunOnAnotherWorker) {
  ActivateWithWorkers(2);
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  Run(milliseconds(200));
  const std::string other = WorkerOf(0) == "w0" ? "w1" : "w0";
  m_ended[other].push_back(
      {1, {"a", 0, 0, 0}, TaskAt(0).m_run, EndCause::kFailed, ""});
  Run(milliseconds(1000));
  EXPECT_EQ(TaskAt(0).m_failures, 0U);
  EXPECT_EQ(TaskAt(0).m_state, TaskState::kRunning);
}

// A run that was ordered to stop and has failed counts by RULES BUDGET. It must
// count once, though the stop is confirmed as well.
TEST_F(CellAttemptsTest, CountsARunThatFailsWhileItIsStoppedOnce) {
  ActivateWithWorkers(1);
  m_starts_are_answered = false;
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  Run(milliseconds(200));
  ASSERT_EQ(StartsOf("a"), 1U);
  m_starts_are_answered = true;
  StartAction start;
  start.m_worker = TaskAt(0).m_worker;
  start.m_task = {const_cast<Job*>(m_cell.FindJob("a")), 0};
  start.m_order = m_starts[0];
  m_cell.OnStartAnswer(start, Fail(ErrorCode::kTimeout, "no answer"), m_now);
  for (int i = 0; i < 40 && TaskAt(0).m_state != TaskState::kStopping; ++i) {
    Run(milliseconds(25));
  }
  ASSERT_EQ(TaskAt(0).m_state, TaskState::kStopping);
  EndCurrentRun(0, EndCause::kFailed);
  EndCurrentRun(0, EndCause::kStopped);
  Run(milliseconds(1000));
  EXPECT_EQ(TaskAt(0).m_failures, 1U);
  EXPECT_EQ(TaskAt(0).m_run, 2U);
}

// The end of a run that is listed after its lease had expired here, and the
// task had been started elsewhere, is not one of the run in progress.
TEST_F(CellAttemptsTest, IgnoresAFailureListedAfterTheLeaseHasExpired) {
  ActivateWithWorkers(2);
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  Run(milliseconds(200));
  const std::string lost = WorkerOf(0);
  m_heartbeat_errors[lost] = ErrorCode::kTimeout;
  EndCurrentRun(0, EndCause::kFailed);
  Run(std::chrono::seconds(20));
  ASSERT_EQ(TaskAt(0).m_run, 2U);
  ASSERT_NE(WorkerOf(0), lost);
  m_heartbeat_errors.clear();
  Run(milliseconds(2000));
  EXPECT_GT(m_cell.Workers()[0].m_received_end_number +
                m_cell.Workers()[1].m_received_end_number,
            0U);
  EXPECT_EQ(TaskAt(0).m_failures, 0U);
  EXPECT_EQ(TaskAt(0).m_state, TaskState::kRunning);
}

// A submission under another policy changes nothing for a job that an owner
// has: the limit is that of its acceptance.
TEST_F(CellAttemptsTest, KeepsTheLimitOfTheFirstSubmission) {
  ActivateWithWorkers(1);
  Submission job = MakeJob("a", Step(1, 1000));
  m_cell.OnJob(job, m_now);
  job.m_queue.m_max_attempts = 1;
  m_cell.OnJob(job, m_now);
  Run(milliseconds(200));
  for (int i = 0; i < 2; ++i) {
    EndCurrentRun(0, EndCause::kFailed);
    Run(milliseconds(1000));
    ASSERT_EQ(m_cell.StateOf("a"), JobState::kRunning);
  }
  EndCurrentRun(0, EndCause::kFailed);
  Run(milliseconds(1000));
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kFailed);
}

// A gang counts an attempt for the member that fails only; the ends of the
// others follow from it. No task has failed as often as the queue allows here.
TEST_F(CellAttemptsTest, GangCountsAFailureForTheMemberThatFailsOnly) {
  ActivateWithWorkers(2);
  StepPlan step = Step(3, 1000);
  step.m_gang = true;
  m_cell.OnJob(MakeJob("a", step), m_now);
  Run(milliseconds(200));
  for (std::size_t failing = 0; failing < 3; ++failing) {
    for (std::size_t i = 0; i < 3; ++i) {
      ASSERT_EQ(TaskAt(i).m_state, TaskState::kRunning);
      EndCurrentRun(i, i == failing   ? EndCause::kFailed
                       : failing == 0 ? EndCause::kGangIncomplete
                                      : EndCause::kGangBroken);
    }
    Run(milliseconds(1000));
  }
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(TaskAt(i).m_failures, 1U);
    EXPECT_EQ(TaskAt(i).m_run, 4U);
  }
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kRunning);
}

// A task that lasts was not started again after an end of any kind.
TEST_F(CellAttemptsTest, TaskThatLastsIsStartedAgainHoweverItEnds) {
  ActivateWithWorkers(2);
  Submission job = MakeJob("a", LongRunning(Step(1, 1000)));
  job.m_queue.m_max_attempts = 1;
  m_cell.OnJob(job, m_now);
  Run(milliseconds(200));
  std::size_t starts = 1;
  for (int round = 0; round < 4; ++round) {
    for (const EndCause cause :
         {EndCause::kDone, EndCause::kFailed, EndCause::kStopped,
          EndCause::kLeaseExpired, EndCause::kGangBroken,
          EndCause::kGangIncomplete}) {
      EndCurrentRun(0, cause);
      Run(milliseconds(1000));
      ASSERT_EQ(StartsOf("a"), ++starts);
      ASSERT_EQ(TaskAt(0).m_state, TaskState::kRunning);
      ASSERT_EQ(m_cell.StateOf("a"), JobState::kRunning);
    }
  }
}

// A worker lists 500 ends at a time: the end of a task that lasts, beyond them,
// is found once the others are acknowledged.
TEST_F(CellAttemptsTest, FindsTheEndOfATaskThatLastsBehindManyOthers) {
  ActivateWithWorkers(1);
  m_cell.OnJob(MakeJob("a", LongRunning(Step(1, 1000))), m_now);
  Run(milliseconds(200));
  m_running["w0"].clear();
  for (std::uint64_t i = 1; i <= 500; ++i) {
    m_ended["w0"].push_back({i, {"other", 0, 0, 0}, 1, EndCause::kDone, ""});
  }
  Run(milliseconds(1000));
  EXPECT_EQ(m_cell.Workers()[0].m_acked_end_number, 500U);
  EXPECT_EQ(TaskAt(0).m_state, TaskState::kRunning);
  m_ended["w0"] = {{501, {"a", 0, 0, 0}, 1, EndCause::kFailed, ""}};
  Run(milliseconds(1000));
  EXPECT_EQ(TaskAt(0).m_run, 2U);
  EXPECT_EQ(TaskAt(0).m_state, TaskState::kRunning);
}

// A task that lasts waited for ever after its failure domain had been taken
// back.
TEST_F(CellAttemptsTest, TaskThatLastsReturnsWithItsFailureDomain) {
  ActivateWithWorkers(1);
  m_cell.OnJob(MakeJob("a", LongRunning(Step(1, 1000))), m_now);
  Run(milliseconds(200));
  m_cell.SetDomainExcluded("", true);
  EndCurrentRun(0, EndCause::kFailed);
  Run(std::chrono::seconds(5));
  ASSERT_EQ(StartsOf("a"), 1U);
  m_cell.SetDomainExcluded("", false);
  Run(std::chrono::seconds(2));
  EXPECT_EQ(TaskAt(0).m_state, TaskState::kRunning);
}

// Same after the refusals of its worker, which was the only one.
TEST_F(CellAttemptsTest, TaskThatLastsIsStartedAfterRefusals) {
  for (const StartAnswer refusal :
       {StartAnswer::kRejected, StartAnswer::kUnhealthy, StartAnswer::kOldRun,
        StartAnswer::kLate, StartAnswer::kNoCapacity, StartAnswer::kNoTicket,
        StartAnswer::kWrongWorker}) {
    if (m_cell.Workers().empty()) {
      ActivateWithWorkers(1);
      m_cell.OnJob(MakeJob("a", LongRunning(Step(1, 1000))), m_now);
    } else {
      EndCurrentRun(0, EndCause::kFailed);
    }
    m_start_refusal = refusal;
    Run(std::chrono::seconds(5));
    ASSERT_NE(TaskAt(0).m_state, TaskState::kRunning);
    m_start_refusal.reset();
    Run(std::chrono::seconds(5));
    ASSERT_EQ(TaskAt(0).m_state, TaskState::kRunning);
  }
}

// Same after the quarantine of the only worker that has its label.
TEST_F(CellAttemptsTest, TaskThatLastsIsStartedAfterAQuarantine) {
  ActivateWithWorkers(3);
  WorkerEntry entry = m_cell.Workers()[0].m_entry;
  entry.m_labels = {"only"};
  m_cell.SetWorker(entry, m_now);
  StepPlan step = LongRunning(Step(1, 1000));
  step.m_label = "only";
  m_cell.OnJob(MakeJob("a", step), m_now);
  m_cell.OnJob(MakeJob("b", step), m_now);
  Run(milliseconds(200));
  m_running["w0"].clear();
  m_ended["w0"] = {{1, {"a", 0, 0, 0}, 1, EndCause::kFailed, ""},
                   {2, {"b", 0, 0, 0}, 1, EndCause::kFailed, ""}};
  Run(milliseconds(1000));
  ASSERT_GT(m_cell.Workers()[0].m_quarantined_until, m_now);
  Run(CellSettings().m_quarantine_period);
  EXPECT_EQ(TaskAt(0).m_state, TaskState::kRunning);
  EXPECT_EQ(m_cell.FindJob("b")->m_tasks[0].m_state, TaskState::kRunning);
}

// Same after a stop that was never answered, of a worker that stays silent.
TEST_F(CellAttemptsTest, TaskThatLastsIsStartedElsewhereAfterAnUnansweredStop) {
  ActivateWithWorkers(2);
  m_starts_are_answered = false;
  m_cell.OnJob(MakeJob("a", LongRunning(Step(1, 1000))), m_now);
  Run(milliseconds(200));
  ASSERT_EQ(StartsOf("a"), 1U);
  m_starts_are_answered = true;
  StartAction start;
  start.m_worker = TaskAt(0).m_worker;
  start.m_task = {const_cast<Job*>(m_cell.FindJob("a")), 0};
  start.m_order = m_starts[0];
  m_cell.OnStartAnswer(start, Fail(ErrorCode::kTimeout, "no answer"), m_now);
  m_stops_are_answered = false;
  for (int i = 0; i < 40 && m_stops.empty(); ++i) {
    Run(milliseconds(25));
  }
  ASSERT_EQ(TaskAt(0).m_state, TaskState::kStopping);
  const std::string silent = WorkerOf(0);
  m_heartbeat_errors[silent] = ErrorCode::kTimeout;
  Run(std::chrono::seconds(20));
  EXPECT_EQ(TaskAt(0).m_state, TaskState::kRunning);
  EXPECT_NE(WorkerOf(0), silent);
}

// A gang that lasts and needs more room than is left beside that for short jobs
// was held back for as long as short jobs arrived.
TEST_F(CellAttemptsTest, LargeGangThatLastsIsNotHeldBackForEver) {
  ActivateWithWorkers(2);
  StepPlan gang = LongRunning(Step(7, 4000));
  gang.m_gang = true;
  StepPlan waiting = Step(8, 1000);
  waiting.m_label = "none";
  for (int i = 0; i < 10; ++i) {
    Submission job = MakeJob("short" + std::to_string(i), waiting);
    job.m_accepted_unix_ms += std::int64_t{1000} * i;
    m_cell.OnJob(job, m_now);
    m_cell.OnJob(MakeJob("a", gang), m_now);
    Run(milliseconds(1000));
  }
  EXPECT_EQ(StartsOf("a"), 7U);
}

}  // namespace
}  // namespace hyssopspar::jobs
