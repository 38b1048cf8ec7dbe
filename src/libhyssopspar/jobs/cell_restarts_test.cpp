#include <gtest/gtest.h>

#include "jobs/cell_fixture.h"

namespace hyssopspar::jobs {
namespace {

constexpr milliseconds kLongestLease{10000};

/// Restarts workers behind the owner's back.
class CellRestartTest : public CellTest {
 protected:
  /// Two workers, and a job whose task lasts on one of them.
  void StartTask() {
    m_cell.Activate(m_now);
    AddWorker("w0");
    AddWorker("w1");
    Run(milliseconds(200));
    m_cell.OnJob(MakeJob("a", LongRunning(Step(1, 1000))), m_now);
  }

  const Task& TaskOfJob() { return m_cell.FindJob("a")->m_tasks[0]; }
  const Worker& WorkerOfTask() {
    return m_cell.Workers()[static_cast<std::size_t>(TaskOfJob().m_worker)];
  }

  /// The worker starts again. Its clock begins at 0.
  void Restart(const std::string& worker) {
    ++m_incarnations[worker];
    m_restarted_at[worker] = m_now;
    m_running[worker].clear();
    m_ended[worker].clear();
  }

  /// Runs until the task has been started again, for at most \p limit; returns
  /// the time until then.
  milliseconds TimeToNextStart(milliseconds limit) {
    const std::size_t starts = m_starts.size();
    const TimePoint from = m_now;
    while (m_starts.size() == starts && m_now < from + limit) {
      Run(milliseconds(25));
    }
    return std::chrono::duration_cast<milliseconds>(m_now - from);
  }
};

// A start that was meant for the earlier incarnation gave the worker the
// longest lease; the task was started elsewhere while it still ran.
TEST_F(CellRestartTest, WaitsForTheLeaseOfAStartThatReachedTheNextIncarnation) {
  StartTask();
  m_list_is_read = false;
  m_starts_are_answered = false;
  m_heartbeats_are_answered = false;
  Run(milliseconds(100));
  ASSERT_EQ(m_unanswered_starts.size(), 1U);
  const StartAction start = m_unanswered_starts[0];
  Restart(start.m_target.m_id);
  m_now += milliseconds(25);
  m_cell.OnStartAnswer(start, StartedReply(start), m_now);
  ASSERT_EQ(TaskOfJob().m_state, TaskState::kRunning);
  m_heartbeats_are_answered = true;
  m_starts_are_answered = true;
  m_heartbeat_errors[start.m_target.m_id] = ErrorCode::kTimeout;
  for (const HeartbeatAction& heartbeat : m_unanswered_heartbeats) {
    Answer(heartbeat);
  }
  EXPECT_GT(TimeToNextStart(std::chrono::seconds(30)), kLongestLease);
  EXPECT_EQ(StartsOf("a"), 2U);
}

// A hold of the earlier incarnation's clock may have extended the lease of the
// next one until that has answered with a higher fence.
TEST_F(CellRestartTest, WaitsForTheLeaseOfOrdersToTheEarlierIncarnation) {
  StartTask();
  Run(milliseconds(200));
  ASSERT_EQ(TaskOfJob().m_state, TaskState::kRunning);
  Restart("w0");
  Restart("w1");
  Run(milliseconds(1000));
  ASSERT_EQ(TaskOfJob().m_state, TaskState::kRunning);
  ASSERT_EQ(StartsOf("a"), 2U);
  m_heartbeat_errors[m_start_workers[1]] = ErrorCode::kTimeout;
  EXPECT_GT(TimeToNextStart(std::chrono::seconds(15)),
            kLongestLease - milliseconds(1000));
}

// An order of before the restart that arrives after it extended the lease of
// later runs, discarded their ends or started a run again.
TEST_F(CellRestartTest, RaisesTheFenceBeforeAnythingIsStarted) {
  StartTask();
  Run(milliseconds(200));
  const std::uint64_t epoch = m_starts[0].m_epoch;
  m_heartbeats_are_answered = false;
  Run(milliseconds(50));
  Restart("w0");
  Restart("w1");
  m_heartbeats_are_answered = true;
  const std::vector<HeartbeatAction> before = m_unanswered_heartbeats;
  m_unanswered_heartbeats.clear();
  for (const HeartbeatAction& heartbeat : before) {
    EXPECT_EQ(heartbeat.m_order.m_epoch, epoch);
    Answer(heartbeat);
  }
  m_heartbeats_are_answered = false;
  Run(milliseconds(200));
  ASSERT_EQ(m_unanswered_heartbeats.size(), 2U);
  for (const HeartbeatAction& heartbeat : m_unanswered_heartbeats) {
    EXPECT_GT(heartbeat.m_order.m_epoch, epoch);
    EXPECT_FALSE(heartbeat.m_order.m_extends_lease);
    EXPECT_EQ(heartbeat.m_order.m_acked_up_to, 0U);
  }
  EXPECT_EQ(StartsOf("a"), 1U);
  m_heartbeats_are_answered = true;
  for (const HeartbeatAction& heartbeat :
       std::vector<HeartbeatAction>(m_unanswered_heartbeats)) {
    Answer(heartbeat);
  }
  Run(milliseconds(200));
  ASSERT_EQ(StartsOf("a"), 2U);
  EXPECT_GT(m_starts[1].m_epoch, epoch);
}

// A hold that was sent once the list showed the restart bore the new fence and
// the number of ends of the earlier incarnation. Carried out late, it discarded
// the end of a run, which was started again after it was done.
TEST_F(CellRestartTest, SendsNoNumberOfEndsBeforeTheFenceIsKnown) {
  StartTask();
  m_cell.OnJob(MakeJob("b", Step(1, 1000)), m_now);
  Run(milliseconds(200));
  for (const std::string worker : {"w0", "w1"}) {
    m_ended[worker].push_back({1, {"b", 0, 0, 0}, 1, EndCause::kDone, ""});
  }
  m_cell.SetOwnershipLeaseDeadline(TimePoint::max());
  m_heartbeats_are_answered = false;
  Run(milliseconds(50));
  // The report calls for an acknowledgement, which the next hold would bear.
  const std::vector<HeartbeatAction> reports = m_unanswered_heartbeats;
  m_unanswered_heartbeats.clear();
  m_heartbeats_are_answered = true;
  m_list_is_read = false;
  for (const HeartbeatAction& report : reports) {
    Answer(report);
  }
  Run(milliseconds(700));
  for (const std::string worker : {"w0", "w1"}) {
    ASSERT_EQ(m_acked[worker], 1U);
  }
  m_heartbeats_are_answered = false;
  Run(milliseconds(50));
  const std::vector<HeartbeatAction> last = m_unanswered_heartbeats;
  m_unanswered_heartbeats.clear();
  ++m_incarnations["w0"];
  ++m_incarnations["w1"];
  UpdateList();
  m_heartbeats_are_answered = true;
  for (const HeartbeatAction& report : last) {
    HeartbeatReport earlier;
    earlier.m_now = ClockOf(report.m_target.m_id);
    earlier.m_incarnation_unix_ms = m_incarnations[report.m_target.m_id];
    earlier.m_ended = m_ended[report.m_target.m_id];
    m_cell.OnHeartbeatAnswer(report, earlier, m_now);
  }
  m_heartbeats_are_answered = false;
  Run(milliseconds(600));
  ASSERT_EQ(m_unanswered_heartbeats.size(), 2U);
  for (const HeartbeatAction& hold : m_unanswered_heartbeats) {
    EXPECT_EQ(hold.m_order.m_acked_up_to, 0U);
  }
}

// A worker's refusal of an order of before the fence ended the ownership.
TEST_F(CellRestartTest, KeepsOwnershipWhenItsOwnFenceRefusesAnOrder) {
  StartTask();
  m_starts_are_answered = false;
  Run(milliseconds(100));
  ASSERT_EQ(m_unanswered_starts.size(), 1U);
  const StartAction start = m_unanswered_starts[0];
  Restart(start.m_target.m_id);
  Run(milliseconds(100));
  m_starts_are_answered = true;
  m_cell.OnStartAnswer(
      start, StartReply{StartAnswer::kFenced, ClockOf(start.m_target.m_id)},
      m_now);
  EXPECT_FALSE(m_cell.IsFenced());
  StopAction stop;
  stop.m_worker = start.m_worker;
  stop.m_task = start.m_task;
  stop.m_order.m_task = start.m_order.m_task;
  stop.m_order.m_epoch = start.m_order.m_epoch;
  m_cell.OnStopAnswer(stop, Fail(ErrorCode::kFenced, ""), m_now);
  EXPECT_FALSE(m_cell.IsFenced());
  Run(milliseconds(1000));
  EXPECT_EQ(TaskOfJob().m_state, TaskState::kRunning);
}

// A start that was never answered may be carried out seconds later by the next
// incarnation, which is out of reach: the task was started elsewhere first.
TEST_F(CellRestartTest, WaitsForAStartThatMayReachAWorkerOutOfReach) {
  StartTask();
  m_starts_are_answered = false;
  Run(milliseconds(100));
  ASSERT_EQ(m_unanswered_starts.size(), 1U);
  const std::string worker = m_start_workers[0];
  m_heartbeat_errors[worker] = ErrorCode::kTimeout;
  Restart(worker);
  m_cell.OnStartAnswer(m_unanswered_starts[0],
                       Fail(ErrorCode::kTimeout, "no answer"), m_now);
  m_starts_are_answered = true;
  const milliseconds last_end = OrderLimits().m_longest_delay + kLongestLease;
  EXPECT_GT(TimeToNextStart(std::chrono::seconds(30)), last_end);
  EXPECT_EQ(StartsOf("a"), 2U);
}

// Same, but the platform has removed the worker: it runs nothing any more.
TEST_F(CellRestartTest, WaitsForTheLeaseOnlyOfAWorkerThatIsGone) {
  StartTask();
  m_starts_are_answered = false;
  Run(milliseconds(100));
  ASSERT_EQ(m_unanswered_starts.size(), 1U);
  const std::string worker = m_start_workers[0];
  m_heartbeat_errors[worker] = ErrorCode::kTimeout;
  m_cell.OnStartAnswer(m_unanswered_starts[0],
                       Fail(ErrorCode::kTimeout, "no answer"), m_now);
  m_starts_are_answered = true;
  m_cell.RemoveWorker(worker);
  EXPECT_LT(TimeToNextStart(std::chrono::seconds(30)),
            kLongestLease + milliseconds(1));
}

// A worker that had just restarted when it first answered a new owner may have
// a lease from an order of the owner before.
TEST_F(CellRestartTest, NewOwnerWaitsForOrdersToTheEarlierIncarnation) {
  m_incarnations["w0"] = m_incarnations["w1"] = kNowUnixMs - 1000;
  StartTask();
  Run(milliseconds(200));
  ASSERT_EQ(TaskOfJob().m_state, TaskState::kRunning);
  EXPECT_GT(WorkerOfTask().m_lease_deadline, m_now + kLongestLease);
}

// The start of a worker that an odd entry tells may be any number; as a time of
// the steady clock it overflowed.
TEST_F(CellRestartTest, AcceptsAnyTimeOfStart) {
  m_cell.Activate(m_now);
  constexpr std::int64_t kLargest = std::int64_t{1} << 53;
  for (const std::int64_t born : {-kLargest, std::int64_t{0}, kLargest}) {
    WorkerEntry entry;
    entry.m_id = "w" + std::to_string(born);
    entry.m_incarnation_unix_ms = born;
    m_cell.SetWorker(entry, m_now);
    EXPECT_GE(m_cell.Workers().back().m_lease_deadline, m_now);
    EXPECT_LE(m_cell.Workers().back().m_lease_deadline,
              m_now + std::chrono::seconds(30));
  }
}

// A worker that has run for long has no lease but those of its own life: a new
// owner must not wait longer for it.
TEST_F(CellRestartTest, NewOwnerDoesNotWaitLongerForAWorkerThatHasRunForLong) {
  StartTask();
  Run(milliseconds(200));
  ASSERT_EQ(TaskOfJob().m_state, TaskState::kRunning);
  EXPECT_LT(WorkerOfTask().m_lease_deadline, m_now + kLongestLease);
}

}  // namespace
}  // namespace hyssopspar::jobs
