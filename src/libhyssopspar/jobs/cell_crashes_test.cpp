// Tests of crashed and lost workers, and of the tasks blamed for them.

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <utility>

#include "hyssopspar/jobs/records.h"
#include "jobs/cell_fixture.h"

namespace hyssopspar::jobs {
namespace {

class CellCrashTest : public CellTest {
 protected:
  void SetUp() override {
    AddWorker("w0");
    AddWorker("w1");
    AddWorker("w2");
    m_cell.Activate(m_now);
    Run(milliseconds(100));
  }

  /// Restarts the worker of the last start: its runs are gone, and its reports
  /// come from a new incarnation.
  void CrashWorkerOfLastStart() {
    const std::string worker = m_start_workers.back();
    m_running[worker].clear();
    ++m_incarnations[worker];
    m_restarted_at[worker] = m_now;
  }

  /// Crashes the worker of each new start, until nothing is started any more.
  void CrashAtEachStart(const std::string& job_id) {
    std::size_t crashes = 0;
    for (int i = 0; i < 400; ++i) {
      Run(milliseconds(25));
      if (StartsOf(job_id) > crashes) {
        ++crashes;
        CrashWorkerOfLastStart();
      }
    }
  }

  /// The worker's process ends, and its connections with it.
  void EndProcess(const std::string& worker) {
    m_running[worker].clear();
    m_heartbeat_errors[worker] = ErrorCode::kConnectionLost;
    Run(milliseconds(50));
  }

  /// The worker answers again, as a new incarnation.
  void BeginProcess(const std::string& worker) {
    ++m_incarnations[worker];
    m_restarted_at[worker] = m_now;
    m_heartbeat_errors.erase(worker);
  }

  void SetLeaving(const std::string& worker) {
    for (const Worker& listed : m_cell.Workers()) {
      if (listed.m_entry.m_id == worker) {
        WorkerEntry entry = listed.m_entry;
        entry.m_leaving = true;
        m_cell.SetWorker(entry, m_now);
        return;
      }
    }
  }

  /// Waits for the isolation of a suspect's worker to end.
  void RunUntilStarted(std::size_t starts) {
    for (int i = 0; i < 20 && m_starts.size() < starts; ++i) {
      Run(milliseconds(250));
    }
    ASSERT_EQ(m_starts.size(), starts);
  }
};

// A task that crashes its workers was started on one after the other for ever.
TEST_F(CellCrashTest, GivesUpTaskThatCrashesEachWorkerAtItsStart) {
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  CrashAtEachStart("a");
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kFailed);
  // Two more starts after three crashes.
  EXPECT_LE(m_starts.size(), 5U);
}

// Tasks without a limit of failures crashed their workers for ever.
TEST_F(CellCrashTest, GivesUpLongRunningTaskThatCrashesEachWorker) {
  m_cell.OnJob(MakeJob("a", LongRunning(Step(1, 1000))), m_now);
  CrashAtEachStart("a");
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kFailed);
  EXPECT_LE(m_starts.size(), 5U);
}

// Jobs were shown as failed, without an end `failed`, because their workers had
// crashed twice under young runs.
TEST_F(CellCrashTest, KeepsTaskWhoseRunSurvivesBetweenCrashes) {
  m_cell.OnJob(MakeJob("a", LongRunning(Step(1, 1000))), m_now);
  for (std::size_t crash = 1; crash <= 12; ++crash) {
    RunUntilStarted(crash);
    Run(crash % 3 == 0 ? milliseconds(4000) : milliseconds(100));
    CrashWorkerOfLastStart();
  }
  RunUntilStarted(13);
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kRunning);
}

// Same for a task whose workers crash some seconds after each start.
TEST_F(CellCrashTest, KeepsLongRunningTaskThatRunsForSecondsBetweenCrashes) {
  m_cell.OnJob(MakeJob("a", LongRunning(Step(1, 1000))), m_now);
  for (std::size_t crash = 1; crash <= 12; ++crash) {
    RunUntilStarted(crash);
    Run(milliseconds(4000));
    CrashWorkerOfLastStart();
  }
  RunUntilStarted(13);
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kRunning);
}

// Neighbours of a task that crashes its workers were counted like that task.
TEST_F(CellCrashTest, KeepsTaskThatRanLongBeforeEachCrash) {
  m_cell.OnJob(MakeJob("a", LongRunning(Step(1, 1000))), m_now);
  for (std::size_t crash = 1; crash < 6; ++crash) {
    RunUntilStarted(crash);
    Run(std::chrono::seconds(15));
    CrashWorkerOfLastStart();
  }
  RunUntilStarted(6);
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kRunning);
}

// The crashes seen by an owner were forgotten by its successor, and a worker
// that crashed between the two counted as one that had never got the order.
TEST_F(CellCrashTest, CountSurvivesAChangeOfOwner) {
  const Submission job = MakeJob("a", Step(1, 1000));
  m_cell.OnJob(job, m_now);
  RunUntilStarted(1);
  CrashWorkerOfLastStart();
  RunUntilStarted(2);
  CrashWorkerOfLastStart();
  const Result<JobProgress> progress = DecodeProgress(StoredProgressOf("a"));
  ASSERT_TRUE(progress);
  EXPECT_EQ(progress.value().m_crash_counts, std::vector<std::uint32_t>{1});

  Cell successor(Settings(m_now), m_now);
  successor.OnJob(job, m_now);
  ASSERT_TRUE(successor.RestoreJobProgress("a", progress.value()));
  successor.Activate(m_now);
  for (const std::string worker : {"w0", "w1", "w2"}) {
    WorkerEntry entry;
    entry.m_id = worker;
    entry.m_address = worker;
    entry.m_service = "pool";
    entry.m_capacity = {16000, 64000, 0};
    entry.m_incarnation_unix_ms = 1 + m_incarnations[worker];
    successor.SetWorker(entry, m_now);
    HeartbeatAction heartbeat;
    heartbeat.m_worker = static_cast<int>(std::distance(
        successor.Workers().begin(),
        std::find_if(
            successor.Workers().begin(), successor.Workers().end(),
            [&worker](const Worker& w) { return w.m_entry.m_id == worker; })));
    heartbeat.m_sent = m_now;
    HeartbeatReport report;
    report.m_incarnation_unix_ms = 1 + m_incarnations[worker];
    successor.OnHeartbeatAnswer(heartbeat, report, m_now);
  }
  successor.SetViewTimes(m_now, m_now);
  successor.Tick(m_now);
  const Job* const restored = successor.FindJob("a");
  ASSERT_NE(restored, nullptr);
  EXPECT_EQ(restored->m_tasks[0].m_crashes, 2U);
}

// After many workers were lost at once, their tasks took one worker each for
// themselves and kept the others from running.
TEST_F(CellCrashTest, ManyCrashesAtOnceAreNobodysFault) {
  for (int i = 3; i < 12; ++i) {
    AddWorker("w" + std::to_string(i));
  }
  Run(milliseconds(100));
  StepPlan spread = Step(12, 1000);
  spread.m_max_tasks_per_worker = 1;
  m_cell.OnJob(MakeJob("a", spread), m_now);
  RunUntilStarted(12);
  for (const std::string& worker : m_start_workers) {
    m_running[worker].clear();
    ++m_incarnations[worker];
    m_restarted_at[worker] = m_now;
  }
  Run(milliseconds(500));
  EXPECT_EQ(m_starts.size(), 24U);
}

// A worker that leaves as planned takes its tasks with it.
TEST_F(CellCrashTest, LeavingWorkerIsNobodysFault) {
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  RunUntilStarted(1);
  WorkerEntry leaving = m_cell
                            .Workers()[static_cast<std::size_t>(
                                m_cell.FindJob("a")->m_tasks[0].m_worker)]
                            .m_entry;
  leaving.m_leaving = true;
  m_cell.SetWorker(leaving, m_now);
  CrashWorkerOfLastStart();
  RunUntilStarted(2);
  EXPECT_EQ(m_cell.FindJob("a")->m_tasks[0].m_crashes, 0U);
}

// Workers that were cut off for longer than their lease counted as crashed
// because their entries had expired: a job that lasts was shown as failed
// though no worker had crashed.
TEST_F(CellCrashTest, KeepsTaskWhoseWorkersAreCutOffAndUnlisted) {
  m_cell.OnJob(MakeJob("a", LongRunning(Step(1, 1000))), m_now);
  std::map<std::string, TimePoint> cut_until;
  std::size_t cuts = 0;
  for (int i = 0; i < 3200; ++i) {
    Run(milliseconds(25));
    if (StartsOf("a") > cuts) {
      ++cuts;
      const std::string& worker = m_start_workers.back();
      m_heartbeat_errors[worker] = ErrorCode::kTimeout;
      cut_until[worker] = m_now + std::chrono::seconds(8);
      m_cell.RemoveWorker(worker);
    }
    for (const std::pair<const std::string, TimePoint>& cut : cut_until) {
      if (m_now >= cut.second && m_heartbeat_errors.count(cut.first) > 0) {
        m_running[cut.first].clear();
        m_heartbeat_errors.erase(cut.first);
        AddWorker(cut.first);
      }
    }
  }
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kRunning);
  EXPECT_GT(StartsOf("a"), 5U);
}

// An owner that was paused after a start saw the confirmation and the loss of
// the worker at once, and believed that the worker had crashed at the start.
TEST_F(CellCrashTest, KeepsTaskWhoseCrashesAPausedOwnerSeesLate) {
  m_cell.OnJob(MakeJob("a", LongRunning(Step(1, 1000))), m_now);
  for (std::size_t crash = 1; crash <= 7; ++crash) {
    m_starts_are_answered = false;
    RunUntilStarted(crash);
    ASSERT_EQ(m_starts.size(), crash);
    const std::string worker = m_start_workers.back();
    m_now += std::chrono::seconds(5);
    SetViewsCurrent();
    m_cell.OnStartAnswer(m_unanswered_starts.back(),
                         StartedReply(m_unanswered_starts.back()), m_now);
    EndProcess(worker);
    BeginProcess(worker);
    Run(milliseconds(250));
  }
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kRunning);
}

// A worker that was restarted for an update counted as crashed if its new entry
// was read before its new incarnation had answered.
TEST_F(CellCrashTest, KeepsTaskWhoseWorkersAreUpdated) {
  m_cell.OnJob(MakeJob("a", LongRunning(Step(1, 1000))), m_now);
  for (std::size_t update = 1; update <= 7; ++update) {
    RunUntilStarted(update);
    ASSERT_EQ(m_starts.size(), update);
    const std::string worker = m_start_workers.back();
    SetLeaving(worker);
    Run(milliseconds(2000));
    EndProcess(worker);
    ++m_incarnations[worker];
    m_restarted_at[worker] = m_now;
    AddWorker(worker);
    m_heartbeat_errors.erase(worker);
    Run(milliseconds(100));
  }
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kRunning);
  EXPECT_EQ(m_cell.FindJob("a")->m_tasks[0].m_crashes, 0U);
}

// A task that had run for long was given up after its workers had crashed some
// times in a row: a task at fault crashes each worker that starts it.
TEST_F(CellCrashTest, KeepsTaskThatOnceRan) {
  m_cell.OnJob(MakeJob("a", LongRunning(Step(1, 1000))), m_now);
  RunUntilStarted(1);
  Run(milliseconds(4000));
  CrashWorkerOfLastStart();
  for (std::size_t crash = 2; crash <= 9; ++crash) {
    for (int i = 0; i < 800 && m_starts.size() < crash; ++i) {
      Run(milliseconds(25));
    }
    ASSERT_EQ(m_starts.size(), crash);
    CrashWorkerOfLastStart();
  }
  Run(milliseconds(100));
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kRunning);
}

// A change of owner made a task that had run for long a suspect again.
TEST_F(CellCrashTest, SuccessorKnowsThatATaskOnceRan) {
  const Submission job = MakeJob("a", LongRunning(Step(1, 1000)));
  m_cell.OnJob(job, m_now);
  RunUntilStarted(1);
  Run(milliseconds(4000));
  const Result<JobProgress> progress = DecodeProgress(StoredProgressOf("a"));
  ASSERT_TRUE(progress);
  Cell successor(Settings(m_now), m_now);
  successor.OnJob(job, m_now);
  ASSERT_TRUE(successor.RestoreJobProgress("a", progress.value()));
  EXPECT_TRUE(successor.FindJob("a")->m_tasks[0].m_has_survived);
  EXPECT_EQ(successor.FindJob("a")->m_tasks[0].m_crashes, 0U);
}

// The evidence against a task that crashes its workers was dropped when a
// paused owner read a report late: the run seemed to have lasted.
TEST_F(CellCrashTest, LateReportShowsNoSurvival) {
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  RunUntilStarted(1);
  CrashWorkerOfLastStart();
  RunUntilStarted(2);
  Run(milliseconds(25));
  ASSERT_EQ(m_cell.FindJob("a")->m_tasks[0].m_crashes, 1U);
  m_heartbeats_are_answered = false;
  Run(milliseconds(25));
  const std::string& worker = m_start_workers.back();
  const auto heartbeat = std::find_if(m_unanswered_heartbeats.begin(),
                                      m_unanswered_heartbeats.end(),
                                      [&worker](const HeartbeatAction& action) {
                                        return action.m_target.m_id == worker;
                                      });
  ASSERT_NE(heartbeat, m_unanswered_heartbeats.end());
  m_now += std::chrono::seconds(4);
  m_heartbeats_are_answered = true;
  Answer(*heartbeat);
  EXPECT_EQ(m_cell.FindJob("a")->m_tasks[0].m_crashes, 1U);
}

// The age of a run whose worker was cut off, and restarted behind the cut, was
// counted to the moment of the cut, though the worker ran on for seconds.
TEST_F(CellCrashTest, KeepsTaskWhoseWorkersRestartBehindACut) {
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  for (std::size_t crash = 1; crash <= 7; ++crash) {
    for (int i = 0; i < 800 && m_starts.size() < crash; ++i) {
      Run(milliseconds(25));
    }
    ASSERT_EQ(m_starts.size(), crash);
    const std::string worker = m_start_workers.back();
    m_running[worker].clear();
    m_heartbeat_errors[worker] = ErrorCode::kTimeout;
    Run(milliseconds(4000));
    BeginProcess(worker);
  }
  Run(milliseconds(500));
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kRunning);
}

// A start that a worker had never confirmed counted as a crash at each of the
// worker's restarts, until its stop was acknowledged.
TEST_F(CellCrashTest, CountsAnUnansweredStartOnceAtMost) {
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  m_starts_are_answered = false;
  m_stops_are_answered = false;
  RunUntilStarted(1);
  const std::string worker = m_start_workers.back();
  m_cell.OnStartAnswer(m_unanswered_starts.back(),
                       Fail(ErrorCode::kConnectionLost, ""), m_now);
  for (int restart = 0; restart < 3; ++restart) {
    EndProcess(worker);
    BeginProcess(worker);
    Run(milliseconds(250));
  }
  EXPECT_EQ(m_cell.FindJob("a")->m_tasks[0].m_crashes, 1U);
}

// A start that was sent to a worker which was dead by then counted as a crash.
TEST_F(CellCrashTest, CountsNoStartThatMayNeverHaveArrived) {
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  m_starts_are_answered = false;
  RunUntilStarted(1);
  const std::string worker = m_start_workers.back();
  m_heartbeat_errors[worker] = ErrorCode::kTimeout;
  Run(milliseconds(250));
  m_cell.OnStartAnswer(m_unanswered_starts.back(),
                       Fail(ErrorCode::kTimeout, ""), m_now);
  BeginProcess(worker);
  Run(milliseconds(500));
  EXPECT_EQ(m_cell.FindJob("a")->m_tasks[0].m_crashes, 0U);
}

// A task whose workers stay down for longer than their lease, and lose their
// entries, was started on one after the other for ever.
TEST_F(CellCrashTest, GivesUpTaskWhoseWorkersStayDownBeyondTheirLease) {
  for (int i = 3; i < 8; ++i) {
    AddWorker("w" + std::to_string(i));
  }
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  std::map<std::string, TimePoint> down_until;
  for (int i = 0; i < 4000 && m_cell.StateOf("a") != JobState::kFailed; ++i) {
    Run(milliseconds(25));
    if (StartsOf("a") > down_until.size()) {
      const std::string worker = m_start_workers.back();
      down_until[worker] = m_now + std::chrono::seconds(8);
      EndProcess(worker);
      m_cell.RemoveWorker(worker);
    }
    for (const std::pair<const std::string, TimePoint>& down : down_until) {
      if (m_now >= down.second && m_heartbeat_errors.count(down.first) > 0) {
        BeginProcess(down.first);
        AddWorker(down.first);
      }
    }
  }
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kFailed);
  EXPECT_LE(m_starts.size(), 5U);
}

// Lapses of workers that were cut off counted like crashes: with two real ones
// they gave a task up.
TEST_F(CellCrashTest, KeepsTaskAfterLapsesAndTwoCrashes) {
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  for (std::size_t loss = 1; loss <= 6; ++loss) {
    for (int i = 0; i < 800 && m_starts.size() < loss; ++i) {
      Run(milliseconds(25));
    }
    ASSERT_EQ(m_starts.size(), loss);
    const std::string worker = m_start_workers.back();
    if (loss % 3 == 0) {
      EndProcess(worker);
      BeginProcess(worker);
      continue;
    }
    m_heartbeat_errors[worker] = ErrorCode::kTimeout;
    m_cell.RemoveWorker(worker);
    for (int i = 0; i < 400 && m_starts.size() == loss; ++i) {
      Run(milliseconds(25));
    }
    m_running[worker].clear();
    m_heartbeat_errors.erase(worker);
    AddWorker(worker);
  }
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kRunning);
}

// Workers whose connections were reset by a cut, and that restarted behind it
// later, counted as crashed at the reset.
TEST_F(CellCrashTest, KeepsTaskWhoseWorkersAreResetAndCutOff) {
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  for (std::size_t crash = 1; crash <= 7; ++crash) {
    for (int i = 0; i < 800 && m_starts.size() < crash; ++i) {
      Run(milliseconds(25));
    }
    ASSERT_EQ(m_starts.size(), crash);
    const std::string worker = m_start_workers.back();
    EndProcess(worker);
    m_heartbeat_errors[worker] = ErrorCode::kTimeout;
    Run(milliseconds(4000));
    BeginProcess(worker);
  }
  Run(milliseconds(500));
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kRunning);
}

}  // namespace
}  // namespace hyssopspar::jobs
