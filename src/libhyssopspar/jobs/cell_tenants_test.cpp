// Quotas and shares of tenants, and whose jobs a caller may cancel.

#include <gtest/gtest.h>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/cell_loader.h"
#include "hyssopspar/jobs/records.h"
#include "jobs/cell_fixture.h"

namespace hyssopspar::jobs {
namespace {

class CellTenantsTest : public CellTest {
 protected:
  static Submission JobOf(const std::string& tenant,
                          const std::string& id,
                          const StepPlan& step) {
    Submission job = MakeJob(id, step);
    job.m_tenant = tenant;
    job.m_config_revision = 3;
    return job;
  }

  void SetQuota(const std::string& tenant, std::int64_t cpu_milli) {
    m_cell.SetTenants({{tenant, 1, {cpu_milli, 0, 0}}});
  }

  /// Starts the cell with two workers of 16 cores.
  void Begin() {
    AddWorker("w0");
    AddWorker("w1");
    m_cell.Activate(m_now);
    Run(milliseconds(200));
  }

  /// Lets the worker report the end of its first run.
  void EndOneRun(const std::string& worker) {
    std::vector<RunningRun>& running = m_running[worker];
    ASSERT_FALSE(running.empty());
    m_ended[worker].push_back({m_ended[worker].size() + 1,
                               running.front().m_task, running.front().m_run,
                               EndCause::kDone, ""});
    running.erase(running.begin());
  }

  std::size_t RunningOf(const std::string& job_id) const {
    std::size_t count = 0;
    for (const auto& worker : m_running) {
      count += static_cast<std::size_t>(std::count_if(
          worker.second.begin(), worker.second.end(),
          [&](const RunningRun& run) { return run.m_task.m_job == job_id; }));
    }
    return count;
  }

  std::int64_t UsedCpuOf(const std::string& tenant) const {
    const TenantAccounts& accounts = m_cell.Tenants();
    const TenantAccount& account =
        accounts.m_accounts[accounts.m_index.at(tenant)];
    return account.m_used.m_cpu_milli + account.m_unexpected.m_cpu_milli;
  }

  CellLoader m_loader;
};

TEST_F(CellTenantsTest, HoldsTasksBackThatExceedTheQuota) {
  SetQuota("a", 3000);
  Begin();
  m_cell.OnJob(JobOf("a", "hot", Step(10, 1000)), m_now);
  m_cell.OnJob(MakeJob("free", Step(4, 1000)), m_now);
  Run(milliseconds(2000));
  EXPECT_EQ(StartsOf("hot"), 3U);
  EXPECT_EQ(StartsOf("free"), 4U);
  EXPECT_EQ(UsedCpuOf("a"), 3000);
}

// Starts without an answer may be executed late: beside them, others would
// exceed the quota.
TEST_F(CellTenantsTest, CountsUnansweredStarts) {
  SetQuota("a", 2000);
  Begin();
  m_starts_are_answered = false;
  m_cell.OnJob(JobOf("a", "one", Step(2, 1000)), m_now);
  Run(milliseconds(500));
  m_starts_are_answered = true;
  m_cell.OnJob(JobOf("a", "two", Step(2, 1000)), m_now);
  Run(milliseconds(500));
  EXPECT_EQ(m_unanswered_starts.size(), 2U);
  EXPECT_EQ(StartsOf("two"), 0U);
}

// A worker out of reach may go on with its runs until its lease has expired.
TEST_F(CellTenantsTest, CountsRunsOnWorkersOutOfReachUntilTheirLeaseExpires) {
  SetQuota("a", 2000);
  AddWorker("w0");
  m_cell.Activate(m_now);
  Run(milliseconds(200));
  m_cell.OnJob(JobOf("a", "one", Step(2, 1000)), m_now);
  Run(milliseconds(500));
  ASSERT_EQ(RunningOf("one"), 2U);
  AddWorker("w1");
  m_heartbeat_errors["w0"] = ErrorCode::kTimeout;
  m_cell.OnJob(JobOf("a", "two", Step(2, 1000)), m_now);
  Run(milliseconds(2000));
  EXPECT_EQ(StartsOf("one") + StartsOf("two"), 2U);
  Run(std::chrono::seconds(20));
  EXPECT_EQ(StartsOf("one") + StartsOf("two"), 4U);
}

// Runs that the cell has given up, and that a worker reports all the same, use
// the quota as long as they last.
TEST_F(CellTenantsTest, CountsRunsThatWorkersReportUnexpectedly) {
  SetQuota("a", 3000);
  Begin();
  m_cell.OnJob(JobOf("a", "one", Step(1, 1000)), m_now);
  Run(milliseconds(500));
  std::vector<RunningRun>& running = m_running[m_start_workers.at(0)];
  running.push_back({{"one", 0, 0, 0}, 77, "", 0, 0});
  running.push_back({{"one", 0, 0, 0}, 78, "", 0, 0});
  Run(milliseconds(1500));
  EXPECT_EQ(UsedCpuOf("a"), 3000);
  m_cell.OnJob(JobOf("a", "two", Step(2, 1000)), m_now);
  Run(milliseconds(1000));
  EXPECT_EQ(StartsOf("two"), 0U);
  running.resize(1);
  Run(milliseconds(1500));
  EXPECT_EQ(StartsOf("two"), 2U);
}

// A worker that went away with such runs must not reduce the quota for ever.
TEST_F(CellTenantsTest, ForgetsUnexpectedRunsOnceTheWorkersLeaseHasExpired) {
  SetQuota("a", 2000);
  Begin();
  m_cell.OnJob(JobOf("a", "done", Step(1, 1000)), m_now);
  Run(milliseconds(500));
  const std::string worker = m_start_workers.at(0);
  m_running[worker].push_back({{"done", 0, 0, 0}, 77, "", 0, 0});
  Run(milliseconds(1000));
  EXPECT_EQ(UsedCpuOf("a"), 2000);
  m_heartbeat_errors[worker] = ErrorCode::kTimeout;
  Run(std::chrono::seconds(20));
  EXPECT_LE(UsedCpuOf("a"), 1000);
}

// What an earlier owner placed may run, whether or not it has been heard of.
TEST_F(CellTenantsTest, SuccessorCountsInheritedPlacements) {
  JobProgress progress;
  progress.m_state = JobState::kRunning;
  progress.m_task_states = {TaskState::kStarting, TaskState::kRunning};
  progress.m_run_numbers = {1, 1};
  progress.m_failure_counts = {0, 0};
  progress.m_worker_slots = {1, 1};
  progress.m_workers = {"w0"};
  m_loader.ApplyProgressRecord({"old", EncodeProgress(progress)});
  for (const char* const id : {"new", "old"}) {
    m_loader.ApplyJobRecord(
        {id, EncodeSubmission(JobOf("a", id, Step(2, 1000)))}, &m_cell, m_now);
  }
  m_loader.Finish(&m_cell, m_now);
  SetQuota("a", 2000);
  m_heartbeat_errors["w0"] = ErrorCode::kTimeout;
  AddWorker("w0");
  AddWorker("w1");
  m_cell.Activate(m_now);
  EXPECT_EQ(UsedCpuOf("a"), 2000);
  Run(milliseconds(3000));
  EXPECT_EQ(StartsOf("new") + StartsOf("old"), 0U);
}

// Tasks that were placed before the quota was lowered, but not started yet
// because the store was slow, were started over it.
TEST_F(CellTenantsTest, StartsNoPlacedTaskOverALoweredQuota) {
  SetQuota("a", 4000);
  Begin();
  m_store_is_slow = true;
  m_cell.OnJob(JobOf("a", "one", Step(4, 1000)), m_now);
  Run(milliseconds(500));
  SetQuota("a", 1000);
  m_store_is_slow = false;
  m_cell.OnStored(m_unanswered_batch, Offset{1}, m_now);
  Run(milliseconds(1000));
  EXPECT_EQ(StartsOf("one"), 1U);
  EXPECT_EQ(UsedCpuOf("a"), 1000);
}

// A lowered quota stops nothing, and a raised one takes effect at once.
TEST_F(CellTenantsTest, FollowsChangesOfTheQuota) {
  SetQuota("a", 4000);
  Begin();
  m_cell.OnJob(JobOf("a", "one", Step(10, 1000)), m_now);
  Run(milliseconds(500));
  EXPECT_EQ(RunningOf("one"), 4U);
  SetQuota("a", 2000);
  EndOneRun(m_start_workers.at(0));
  Run(milliseconds(500));
  EXPECT_EQ(RunningOf("one"), 3U);
  EXPECT_EQ(StartsOf("one"), 4U);
  EXPECT_TRUE(m_stops.empty());
  SetQuota("a", 6000);
  Run(milliseconds(500));
  EXPECT_EQ(RunningOf("one"), 6U);
  SetQuota("a", 0);
  Run(milliseconds(500));
  EXPECT_EQ(RunningOf("one"), 9U);
}

TEST_F(CellTenantsTest, StartsATaskLargerThanTheQuotaAlone) {
  SetQuota("a", 2000);
  Begin();
  m_cell.OnJob(JobOf("a", "large", Step(3, 5000)), m_now);
  Run(milliseconds(500));
  EXPECT_EQ(RunningOf("large"), 1U);
  EndOneRun(m_start_workers.at(0));
  Run(milliseconds(500));
  EXPECT_EQ(RunningOf("large"), 1U);
  EXPECT_EQ(StartsOf("large"), 2U);
}

// A part of a gang that fits would wait for the others for ever.
TEST_F(CellTenantsTest, StartsGangsWithinTheQuotaAsAWhole) {
  SetQuota("a", 4000);
  Begin();
  m_cell.OnJob(JobOf("a", "small", Step(1, 1000)), m_now);
  Run(milliseconds(500));
  StepPlan gang = Step(4, 1000);
  gang.m_gang = true;
  m_cell.OnJob(JobOf("a", "gang", gang), m_now);
  Run(milliseconds(1000));
  EXPECT_EQ(StartsOf("gang"), 0U);
  EndOneRun(m_start_workers.at(0));
  Run(milliseconds(500));
  EXPECT_EQ(StartsOf("gang"), 4U);
}

// A gang that never fits must not block its tenant, nor exceed the quota by
// more than a task.
TEST_F(CellTenantsTest, HoldsAGangBackThatCanNeverFit) {
  SetQuota("a", 4000);
  Begin();
  StepPlan gang = Step(4, 3000);
  gang.m_gang = true;
  m_cell.OnJob(JobOf("a", "gang", gang), m_now);
  Run(std::chrono::seconds(10));
  m_cell.OnJob(JobOf("a", "other", Step(2, 1000)), m_now);
  Run(milliseconds(1000));
  EXPECT_EQ(StartsOf("gang"), 0U);
  EXPECT_EQ(StartsOf("other"), 2U);
}

// Small tasks took all of the quota that became free, for ever.
TEST_F(CellTenantsTest, StartsALargeTaskBesideAStreamOfSmallOnes) {
  SetQuota("a", 4000);
  Begin();
  m_cell.OnJob(JobOf("a", "small", Step(400, 1000)), m_now);
  Run(milliseconds(500));
  Submission large = JobOf("a", "large", Step(1, 4000));
  large.m_accepted_unix_ms = kNowUnixMs - 60000;
  m_cell.OnJob(large, m_now);
  for (int i = 0; i < 40 && StartsOf("large") == 0; ++i) {
    for (const char* const worker : {"w0", "w1"}) {
      if (!m_running[worker].empty()) {
        EndOneRun(worker);
        break;
      }
    }
    Run(milliseconds(500));
  }
  EXPECT_EQ(StartsOf("large"), 1U);
  EXPECT_LE(UsedCpuOf("a"), 4000);
}

// Long-running tasks of a tenant don't end: keeping room that they hold would
// stop the tenant's other jobs.
TEST_F(CellTenantsTest, KeepsNoRoomForATaskThatLongRunningOnesExclude) {
  SetQuota("a", 4000);
  Begin();
  m_cell.OnJob(JobOf("a", "lasting", LongRunning(Step(1, 2000))), m_now);
  Run(milliseconds(500));
  Submission large = JobOf("a", "large", Step(1, 3000));
  large.m_accepted_unix_ms = kNowUnixMs - 60000;
  m_cell.OnJob(large, m_now);
  Run(std::chrono::seconds(10));
  m_cell.OnJob(JobOf("a", "small", Step(2, 1000)), m_now);
  Run(milliseconds(500));
  EXPECT_EQ(StartsOf("large"), 0U);
  EXPECT_EQ(StartsOf("small"), 2U);
}

// A tenant that sends far more than its share delays only its own jobs.
TEST_F(CellTenantsTest, HotTenantDelaysNoOther) {
  m_cell.SetTenants({{"hot", 1, {}}, {"calm", 1, {}}});
  Begin();
  for (int i = 0; i < 20; ++i) {
    m_cell.OnJob(JobOf("hot", "hot" + std::to_string(i), Step(8, 1000)), m_now);
  }
  Run(milliseconds(500));
  ASSERT_EQ(UsedCpuOf("hot"), 32000);
  m_cell.OnJob(JobOf("calm", "calm", Step(8, 1000)), m_now);
  for (int i = 0; i < 8; ++i) {
    EndOneRun(i % 2 == 0 ? "w0" : "w1");
    Run(milliseconds(200));
  }
  EXPECT_EQ(StartsOf("calm"), 8U);
}

// Tenants over their share go on as long as there is room.
TEST_F(CellTenantsTest, NoTenantStarvesUnderSaturation) {
  m_cell.SetTenants({{"a", 4, {}}, {"b", 1, {}}, {"c", 1, {}}});
  Begin();
  for (const char* const tenant : {"a", "b", "c"}) {
    m_cell.OnJob(JobOf(tenant, tenant, Step(200, 1000)), m_now);
  }
  Run(milliseconds(500));
  for (int i = 0; i < 80; ++i) {
    EndOneRun(i % 2 == 0 ? "w0" : "w1");
    Run(milliseconds(100));
  }
  EXPECT_GE(RunningOf("a"), 16U);
  EXPECT_GE(RunningOf("b"), 3U);
  EXPECT_GE(RunningOf("c"), 3U);
}

// Jobs could be cancelled by any caller that knew their id.
TEST_F(CellTenantsTest, IgnoresCancellationsByOtherTenants) {
  Begin();
  m_cell.OnCancel("early", {"b", 3}, m_now);
  m_cell.OnCancel("both", {"b", 3}, m_now);
  m_cell.OnCancel("both", {"a", 3}, m_now);
  for (const char* const id : {"early", "both", "late", "own", "open"}) {
    m_cell.OnJob(JobOf("a", id, Step(1, 1000)), m_now);
  }
  m_cell.OnJob(MakeJob("nobody", Step(1, 1000)), m_now);
  m_cell.OnCancel("late", {"b", 3}, m_now);
  m_cell.OnCancel("late", {"", 3}, m_now);
  m_cell.OnCancel("own", {"a", 4}, m_now);
  m_cell.OnCancel("open", {}, m_now);
  m_cell.OnCancel("nobody", {"b", 3}, m_now);
  Run(milliseconds(500));
  EXPECT_EQ(m_cell.StateOf("early"), JobState::kRunning);
  EXPECT_EQ(m_cell.StateOf("late"), JobState::kRunning);
  for (const char* const id : {"both", "own", "open", "nobody"}) {
    EXPECT_EQ(m_cell.StateOf(id), JobState::kCancelled) << id;
  }
}

// The tenant of an ended job was not known to the next owner.
TEST_F(CellTenantsTest, SuccessorKnowsTheTenantsOfEndedJobs) {
  JobProgress ended;
  ended.m_state = JobState::kCompleted;
  ended.m_tenant = "a";
  m_loader.ApplyProgressRecord({"ended", EncodeProgress(ended)});
  m_loader.ApplyJobRecord({"ended", std::string(kTombstoneValue)}, &m_cell,
                          m_now);
  m_loader.ApplyJobRecord(
      {CancelKey("ended", "b"), EncodeCancellation({"b", 3})}, &m_cell, m_now);
  m_loader.Finish(&m_cell, m_now);
  m_cell.Activate(m_now);
  EXPECT_EQ(m_cell.TenantOf("ended"), "a");
  EXPECT_EQ(m_cell.TenantOf("unknown"), "");
}

}  // namespace
}  // namespace hyssopspar::jobs
