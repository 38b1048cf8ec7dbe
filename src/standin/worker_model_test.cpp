#include "standin/worker_model.h"

#include <gtest/gtest.h>

namespace hyssopspar::standin {
namespace {

using std::chrono::seconds;

WorkerModel MakeWorker() {
  WorkerModel worker;
  worker.m_name = "w";
  worker.m_capacity = Resources{4000, 4000, 0};
  return worker;
}

WorkerSync MakeSync(milliseconds not_after, milliseconds lease_until) {
  WorkerSync sync;
  sync.m_boot_id = 1;
  sync.m_not_after = WorkerTime(not_after);
  sync.m_lease_until = WorkerTime(lease_until);
  return sync;
}

StartCommand MakeStart(JobId job, milliseconds run_time) {
  StartCommand start;
  start.m_id = AttemptId{TaskId{job, 0}, 1};
  start.m_size = Resources{1000, 1000, 0};
  start.m_run_time = run_time;
  return start;
}

TEST(WorkerModel, FinishesTaskWithinTheLease) {
  WorkerModel worker = MakeWorker();
  WorkerSync sync = MakeSync(seconds(1), seconds(10));
  sync.m_start.push_back(MakeStart(7, seconds(2)));
  SyncWorker(&worker, sync, DeclaredRunTime, TimePoint());
  const WorkerReport report =
      SyncWorker(&worker, WorkerSync(), DeclaredRunTime, TimePoint(seconds(3)));
  ASSERT_EQ(report.m_tasks.size(), 1U);
  EXPECT_EQ(report.m_tasks[0].m_phase, TaskPhase::kFinished);
  EXPECT_EQ(worker.m_runs[0].m_end, TimePoint(seconds(2)));
}

TEST(WorkerModel, StopsTasksWhenTheLeaseExpires) {
  WorkerModel worker = MakeWorker();
  WorkerSync sync = MakeSync(seconds(1), seconds(1));
  sync.m_start.push_back(MakeStart(7, seconds(4)));
  SyncWorker(&worker, sync, DeclaredRunTime, TimePoint());
  AdvanceWorker(&worker, TimePoint(seconds(30)));
  const TaskModel& task = worker.m_tasks.begin()->second;
  EXPECT_EQ(task.m_phase, TaskPhase::kStopped);
  EXPECT_EQ(worker.m_runs[0].m_end, TimePoint(seconds(1)));
}

TEST(WorkerModel, RefusesSyncReceivedAfterItsNotAfterTime) {
  WorkerModel worker = MakeWorker();
  WorkerSync sync = MakeSync(seconds(1), seconds(10));
  sync.m_start.push_back(MakeStart(7, seconds(2)));
  const WorkerReport report =
      SyncWorker(&worker, sync, DeclaredRunTime, TimePoint(seconds(2)));
  EXPECT_FALSE(report.m_accepted);
  EXPECT_TRUE(report.m_tasks.empty());
}

TEST(WorkerModel, RefusesSyncForAnEarlierIncarnation) {
  WorkerModel worker = MakeWorker();
  RebootWorker(&worker, TimePoint());
  WorkerSync sync = MakeSync(seconds(1), seconds(10));
  sync.m_start.push_back(MakeStart(7, seconds(2)));
  EXPECT_FALSE(
      SyncWorker(&worker, sync, DeclaredRunTime, TimePoint()).m_accepted);
}

TEST(WorkerModel, RecordsViolationWhenOvercommitted) {
  WorkerModel worker = MakeWorker();
  WorkerSync sync = MakeSync(seconds(1), seconds(10));
  for (JobId job = 1; job <= 5; ++job) {
    sync.m_start.push_back(MakeStart(job, seconds(2)));
  }
  SyncWorker(&worker, sync, DeclaredRunTime, TimePoint());
  EXPECT_EQ(worker.m_violations.size(), 1U);
}

TEST(RunHistory, ReportsConcurrentAttemptsAndRepeatedFinishes) {
  AttemptRun a;
  a.m_id = AttemptId{TaskId{1, 0}, 1};
  a.m_worker = "a";
  a.m_start = TimePoint(seconds(1));
  a.m_end = TimePoint(seconds(5));
  a.m_finished = true;
  AttemptRun b = a;
  b.m_id.m_attempt = 2;
  b.m_worker = "b";
  b.m_start = TimePoint(seconds(4));
  b.m_end = TimePoint(seconds(6));
  EXPECT_EQ(CheckRunInvariants({a, b}).size(), 2U);
  b.m_start = TimePoint(seconds(5));
  b.m_finished = false;
  EXPECT_TRUE(CheckRunInvariants({a, b}).empty());
}

}  // namespace
}  // namespace hyssopspar::standin
