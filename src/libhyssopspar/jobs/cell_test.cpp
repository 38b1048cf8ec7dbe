#include "hyssopspar/jobs/cell.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "hyssopspar/jobs/records.h"
#include "jobs/cell_fixture.h"

namespace hyssopspar::jobs {
namespace {

// A worker whose capacity shrank while a placement was being stored was filled
// beyond it.
TEST_F(CellTest, StartsNothingBeyondACapacityThatHasShrunk) {
  AddWorker("w0");
  m_cell.Activate(m_now);
  Run(milliseconds(200));
  m_store_is_slow = true;
  m_cell.OnJob(MakeJob("a", Step(2, 8000)), m_now);
  Run(milliseconds(200));
  AddWorker("w0", 8000);
  m_store_is_slow = false;
  m_cell.OnStored(m_unanswered_batch, Offset{1}, m_now);
  Run(milliseconds(500));
  EXPECT_EQ(StartsOf("a"), 1U);
}

// A job that arrived while the views were out of date waited for the next event
// after they had become current, and for ever without one.
TEST_F(CellTest, PlacesWaitingTasksOnceTheViewsAreCurrentAgain) {
  AddWorker("w0");
  m_cell.Activate(m_now);
  Run(milliseconds(200));
  m_now += CellSettings().m_max_view_age + milliseconds(1);
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  m_cell.Tick(m_now);
  RunByDeadlines(milliseconds(4000), m_now + milliseconds(2000));
  EXPECT_EQ(StartsOf("a"), 1U);
}

// Same for a job that arrived after the end of the ownership lease.
TEST_F(CellTest, PlacesWaitingTasksOnceTheOwnershipLeaseIsExtended) {
  AddWorker("w0");
  m_cell.Activate(m_now);
  Run(milliseconds(200));
  m_cell.SetOwnershipLeaseDeadline(m_now);
  RunByDeadlines(milliseconds(500), m_now);
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  m_cell.Tick(m_now);
  RunByDeadlines(milliseconds(500), m_now);
  EXPECT_EQ(StartsOf("a"), 0U);
  m_cell.SetOwnershipLeaseDeadline(m_now + std::chrono::seconds(60));
  RunByDeadlines(milliseconds(1000), m_now);
  EXPECT_EQ(StartsOf("a"), 1U);
}

// A task on a worker that never became known waited for an event after the
// worker's lease had expired.
TEST_F(CellTest, EndsRunsOfAnUnknownWorkerWhenItsLeaseExpires) {
  JobProgress progress;
  progress.m_state = JobState::kRunning;
  progress.m_task_states = {TaskState::kRunning};
  progress.m_run_numbers = {1};
  progress.m_failure_counts = {0};
  progress.m_worker_slots = {1};
  progress.m_workers = {"gone"};
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  ASSERT_TRUE(m_cell.RestoreJobProgress("a", progress));
  m_cell.Activate(m_now);
  m_cell.Tick(m_now);
  RunByDeadlines(std::chrono::seconds(12), m_now);
  EXPECT_EQ(m_cell.FindJob("a")->m_tasks[0].m_state, TaskState::kPending);
}

// After a step of the time of day, an occurrence that had become due waited
// until the time at which it would have been due without the step.
TEST_F(CellTest, StartsADueOccurrenceAfterAStepOfTheTimeOfDay) {
  AddWorker("w0");
  m_cell.Activate(m_now);
  Submission job = MakeJob("a", Step(1, 1000));
  job.m_plan.m_occurrences = 1;
  job.m_plan.m_first_due_unix_ms = kNowUnixMs + 3600000;
  m_cell.OnJob(job, m_now);
  m_cell.Tick(m_now);
  RunByDeadlines(milliseconds(2000), m_now);
  EXPECT_EQ(StartsOf("a"), 0U);
  m_cell.SetUnixTime(milliseconds(kNowUnixMs + 3600000), m_now);
  RunByDeadlines(milliseconds(2000), m_now);
  EXPECT_EQ(StartsOf("a"), 1U);
}

// Tasks that found no room on a shrunk worker are placed once it has grown.
TEST_F(CellTest, UsesACapacityThatHasGrownAgain) {
  AddWorker("w0", 4000);
  m_cell.Activate(m_now);
  m_cell.OnJob(MakeJob("a", Step(1, 8000)), m_now);
  Run(milliseconds(1000));
  EXPECT_EQ(StartsOf("a"), 0U);
  AddWorker("w0", 16000);
  Run(milliseconds(1000));
  EXPECT_EQ(StartsOf("a"), 1U);
}

// A restarted worker was used by the entry of its earlier incarnation.
TEST_F(CellTest, UsesARestartedWorkerOnlyWithItsNewEntry) {
  AddWorker("w0");
  WorkerEntry entry = m_cell.Workers()[0].m_entry;
  entry.m_labels = {"a"};
  m_cell.SetWorker(entry, m_now);
  m_cell.Activate(m_now);
  Run(milliseconds(200));
  m_list_is_read = false;
  ++m_incarnations["w0"];
  Run(milliseconds(200));
  StepPlan step = Step(1, 1000);
  step.m_label = "a";
  m_cell.OnJob(MakeJob("a", step), m_now);
  Run(milliseconds(1000));
  EXPECT_EQ(StartsOf("a"), 0U);
  entry.m_incarnation_unix_ms = 2;
  m_cell.SetWorker(entry, m_now);
  Run(milliseconds(500));
  EXPECT_EQ(StartsOf("a"), 1U);
}

// A worker that restarted with an earlier time of day was ignored for ever.
TEST_F(CellTest, FollowsAWorkerThatRestartsWithAnEarlierTimeOfDay) {
  m_incarnations["w0"] = 1000;
  AddWorker("w0");
  m_cell.Activate(m_now);
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  Run(milliseconds(500));
  ASSERT_EQ(StartsOf("a"), 1U);
  m_running.clear();
  m_incarnations["w0"] = 500;
  Run(milliseconds(4000));
  EXPECT_EQ(StartsOf("a"), 2U);
}

// A start that the new incarnation of a worker had accepted before its report
// arrived counted as lost with the earlier one, and the task ran twice.
TEST_F(CellTest, RunThatANewIncarnationMayHaveStartedIsStoppedFirst) {
  AddWorker("w0");
  AddWorker("w1");
  m_cell.Activate(m_now);
  Run(milliseconds(100));
  m_starts_are_answered = false;
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  Run(milliseconds(100));
  ASSERT_EQ(StartsOf("a"), 1U);
  const Task& task = m_cell.FindJob("a")->m_tasks[0];
  HeartbeatAction heartbeat;
  heartbeat.m_worker = task.m_worker;
  heartbeat.m_sent = m_now;
  StartAction start;
  start.m_worker = task.m_worker;
  start.m_task = {const_cast<Job*>(m_cell.FindJob("a")), 0};
  start.m_order = m_starts[0];
  m_now += milliseconds(10);
  m_cell.OnStartAnswer(start, StartReply{StartAnswer::kStarted, WorkerTime()},
                       m_now);
  HeartbeatReport report;
  report.m_incarnation_unix_ms = 2;
  m_cell.OnHeartbeatAnswer(heartbeat, report, m_now);
  EXPECT_EQ(task.m_state, TaskState::kStopping);
}

// The stored ends of a worker's earlier incarnation acknowledged ends of the
// next one that were not stored yet.
TEST_F(CellTest, StoredEndsOfAnEarlierIncarnationAcknowledgeNoOthers) {
  AddWorker("w0");
  m_cell.Activate(m_now);
  m_cell.OnJob(MakeJob("a", Step(2, 1000)), m_now);
  Run(milliseconds(500));
  ASSERT_EQ(StartsOf("a"), 2U);
  m_store_is_slow = true;
  m_running["w0"].clear();
  m_ended["w0"] = {{1, m_starts[0].m_task, 1, EndCause::kDone, ""}};
  Run(milliseconds(200));
  ++m_incarnations["w0"];
  m_ended["w0"] = {{1, m_starts[1].m_task, 1, EndCause::kDone, ""}};
  Run(milliseconds(1000));
  ASSERT_EQ(m_cell.Workers()[0].m_received_end_number, 1U);
  m_cell.OnStored(m_unanswered_batch, Offset{1}, m_now);
  EXPECT_EQ(m_cell.Workers()[0].m_acked_end_number, 0U);
}

// While the store was away for longer than the ownership lease, due heartbeats
// that may not be sent kept the owner's processor fully busy.
TEST_F(CellTest, WaitsForAnEventWhileTheOwnershipLeaseHasExpired) {
  AddWorker("w0");
  m_cell.Activate(m_now);
  Run(milliseconds(200));
  m_cell.SetOwnershipLeaseDeadline(m_now);
  m_now += std::chrono::seconds(5);
  m_cell.Tick(m_now);
  m_cell.TakeActions();
  EXPECT_GT(m_cell.NextDeadline(), m_now);
  // A renewal is such an event.
  m_cell.SetOwnershipLeaseDeadline(m_now + std::chrono::seconds(5));
  EXPECT_LE(m_cell.NextDeadline(), m_now);
}

// A start order that a slow worker has not carried out is not a started task:
// its job still waits.
TEST_F(CellTest, CountsJobAsPendingUntilAWorkerConfirmsAStart) {
  AddWorker("w0");
  m_cell.Activate(m_now);
  m_starts_are_answered = false;
  m_cell.OnJob(MakeJob("a", Step(2, 1000)), m_now);
  Run(milliseconds(200));
  ASSERT_EQ(StartsOf("a"), 2U);
  EXPECT_EQ(m_cell.CountPendingJobs("quotes"), 1U);
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kQueued);
  // The worker's next report lists the run.
  m_running["w0"].push_back({m_starts[0].m_task, 1, "", 0, 0});
  Run(milliseconds(200));
  EXPECT_EQ(m_cell.CountPendingJobs("quotes"), 0U);
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kRunning);
}

// The sender compares the time again, since the process may be paused between
// the decision and the sending.
TEST_F(CellTest, StartsNameTheEndOfTheirPermission) {
  AddWorker("w0");
  m_cell.Activate(m_now);
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  const TimePoint lease_deadline = m_now + milliseconds(700);
  m_cell.SetOwnershipLeaseDeadline(lease_deadline);
  Run(milliseconds(300));
  ASSERT_EQ(m_send_before.size(), 1U);
  EXPECT_EQ(m_send_before[0], lease_deadline);
  m_cell.SetOwnershipLeaseDeadline(TimePoint::max());
  m_cell.OnJob(MakeJob("b", Step(1, 1000)), m_now);
  Run(milliseconds(300));
  ASSERT_EQ(m_send_before.size(), 2U);
  EXPECT_LE(m_send_before[1], m_now + CellSettings().m_max_view_age);
}

TEST_F(CellTest, RestoredPlacementWithoutStartCountsAsPending) {
  JobProgress progress;
  progress.m_task_states = {TaskState::kRecording};
  progress.m_run_numbers = {1};
  progress.m_failure_counts = {0};
  progress.m_worker_slots = {1};
  progress.m_workers = {"w0"};
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  ASSERT_TRUE(m_cell.RestoreJobProgress("a", progress));
  m_cell.Activate(m_now);
  EXPECT_EQ(m_cell.CountPendingJobs("quotes"), 1U);
}

// Long-running tasks never return their CPU, so those that have not run yet
// leave the CPU free that short jobs needed lately.
TEST_F(CellTest, FirstRunsOfLongRunningTasksLeaveHeadroomForShortJobs) {
  for (int i = 0; i < 10; ++i) {
    AddWorker("w" + std::to_string(i));
  }
  m_cell.Activate(m_now);
  Run(milliseconds(100));
  // 8 of 160 processors for 2 s, the run time of an unknown queue.
  m_cell.OnJob(MakeJob("short", Step(8, 1000)), m_now);
  Run(milliseconds(100));
  m_cell.OnJob(MakeJob("long", LongRunning(Step(40, 4000))), m_now);
  Run(milliseconds(300));
  EXPECT_LT(StartsOf("long"), 38U);
  EXPECT_GE(StartsOf("long"), 34U);
}

// A run whose start was never confirmed has no known run time. Taken from an
// unset start time, it would raise the head-room to its limit.
TEST_F(CellTest, UnconfirmedRunDoesNotCountAsRunTime) {
  for (int i = 0; i < 10; ++i) {
    AddWorker("w" + std::to_string(i));
  }
  m_cell.Activate(m_now);
  Run(milliseconds(100));
  m_starts_are_answered = false;
  m_cell.OnJob(MakeJob("lost", Step(1, 1000)), m_now);
  Run(milliseconds(100));
  ASSERT_EQ(m_starts.size(), 1U);
  for (int i = 0; i < 10; ++i) {
    const std::string worker = "w" + std::to_string(i);
    m_ended[worker].push_back({1, m_starts[0].m_task, 1, EndCause::kDone, ""});
  }
  Run(milliseconds(100));
  ASSERT_EQ(m_cell.StateOf("lost"), JobState::kCompleted);
  m_starts_are_answered = true;
  m_cell.OnJob(MakeJob("short", Step(8, 1000)), m_now);
  Run(milliseconds(100));
  m_cell.OnJob(MakeJob("long", LongRunning(Step(40, 4000))), m_now);
  Run(milliseconds(300));
  EXPECT_GE(StartsOf("long"), 34U);
}

TEST_F(CellTest, LongRunningTasksTakeAllRoomWithoutShortJobs) {
  AddWorker("w0");
  m_cell.Activate(m_now);
  m_cell.OnJob(MakeJob("long", LongRunning(Step(4, 4000))), m_now);
  Run(milliseconds(300));
  EXPECT_EQ(StartsOf("long"), 4U);
}

// On a small pool one long-running task may need more than the pool has beside
// the head-room.
TEST_F(CellTest, LargeLongRunningTaskIsNotHeldBackForEver) {
  AddWorker("w0");
  m_cell.Activate(m_now);
  Run(milliseconds(100));
  m_cell.OnJob(MakeJob("short", Step(4, 1000)), m_now);
  Run(milliseconds(100));
  m_cell.OnJob(MakeJob("long", LongRunning(Step(1, 12000))), m_now);
  Run(milliseconds(300));
  EXPECT_EQ(StartsOf("long"), 1U);
}

// A service that has run is restarted even when short jobs need its room.
TEST_F(CellTest, LongRunningTaskThatRanBeforeIsRestartedWithoutHeadroom) {
  AddWorker("w0");
  JobProgress progress;
  progress.m_state = JobState::kRunning;
  progress.m_task_states = {TaskState::kPending};
  progress.m_run_numbers = {3};
  progress.m_failure_counts = {0};
  progress.m_worker_slots = {0};
  m_cell.OnJob(MakeJob("long", LongRunning(Step(1, 12000))), m_now);
  m_cell.OnJob(MakeJob("short", Step(12, 1000)), m_now);
  ASSERT_TRUE(m_cell.RestoreJobProgress("long", progress));
  m_cell.Activate(m_now);
  Run(milliseconds(300));
  EXPECT_EQ(StartsOf("long"), 1U);
}

// A new owner that took a throttled task for an unthrottled one would speed it
// up with its first order, while the tails are too high already.
TEST_F(CellTest, AdoptsThrottleOfRunsThatAnEarlierOwnerStarted) {
  AddWorker("w0");
  StepPlan serving = Step(1, 4000);
  serving.m_long_running = true;
  serving.m_image = "web";
  serving.m_tail_latency_target = milliseconds(100);
  JobProgress serving_progress;
  serving_progress.m_state = JobState::kRunning;
  serving_progress.m_task_states = {TaskState::kRunning};
  serving_progress.m_run_numbers = {1};
  serving_progress.m_failure_counts = {0};
  serving_progress.m_worker_slots = {1};
  serving_progress.m_workers = {"w0"};
  m_cell.OnJob(MakeJob("s", serving), m_now);
  ASSERT_TRUE(m_cell.RestoreJobProgress("s", serving_progress));
  StepPlan step = Step(2, 4000);
  step.m_is_best_effort = true;
  step.m_image = "mould";
  JobProgress progress;
  progress.m_state = JobState::kRunning;
  progress.m_task_states = {TaskState::kRunning, TaskState::kRunning};
  progress.m_run_numbers = {1, 1};
  progress.m_failure_counts = {0, 0};
  progress.m_worker_slots = {1, 1};
  progress.m_workers = {"w0"};
  m_cell.OnJob(MakeJob("a", step), m_now);
  ASSERT_TRUE(m_cell.RestoreJobProgress("a", progress));
  m_cell.Activate(m_now);
  m_running["w0"].push_back({{"s", 0, 0, 0}, 1, "", 0, 75});
  m_running["w0"].push_back({{"a", 0, 0, 0}, 1, "", 0, 1200});
  m_running["w0"].push_back({{"a", 0, 0, 1}, 1, "", 0, 0});
  m_cell.Tick(m_now);
  for (Action& action : m_cell.TakeActions()) {
    std::visit([this](auto& typed) { Answer(typed); }, action);
  }
  const Job* const job = m_cell.FindJob("a");
  EXPECT_EQ(job->m_tasks[0].m_throttle_percent, 30);
  // Without use, the task may be paused or just started: an order decides.
  m_cell.Tick(m_now);
  for (Action& action : m_cell.TakeActions()) {
    std::visit([this](auto& typed) { Answer(typed); }, action);
  }
  ASSERT_FALSE(m_throttles.empty());
  EXPECT_EQ(m_throttles[0].m_task.m_index, 1U);
  EXPECT_GT(m_throttles[0].m_percent, 0);
  EXPECT_LT(m_throttles[0].m_percent, 30);
}

// A step ends with its slowest task. A paused one would hold it up for the time
// of the pause and then be moved anyway.
TEST_F(CellTest, MovesTaskWithCheckpointsInsteadOfPausingIt) {
  AddWorker("w0");
  m_cell.Activate(m_now);
  StepPlan serving = Step(1, 4000);
  serving.m_long_running = true;
  serving.m_image = "web";
  serving.m_tail_latency_target = milliseconds(100);
  m_cell.OnJob(MakeJob("s", serving), m_now);
  m_usage = 50;
  Run(milliseconds(100));
  StepPlan movable = Step(1, 4000);
  movable.m_is_best_effort = true;
  movable.m_supports_checkpoints = true;
  movable.m_image = "mould";
  m_cell.OnJob(MakeJob("a", movable), m_now);
  StepPlan pinned = movable;
  pinned.m_supports_checkpoints = false;
  m_cell.OnJob(MakeJob("b", pinned), m_now);
  m_usage = 4000;
  Run(milliseconds(1000));
  ASSERT_EQ(StartsOf("a"), 1U);
  ASSERT_EQ(StartsOf("b"), 1U);
  // The tail latency is far above its target.
  m_running["w0"][0].m_usage = 900;
  Run(milliseconds(700));
  ASSERT_EQ(m_stops.size(), 1U);
  EXPECT_EQ(m_stops[0].m_task.m_job, "a");
}

}  // namespace
}  // namespace hyssopspar::jobs
