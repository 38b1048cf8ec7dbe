// Placement that considers waiting large tasks and expected completions.

#include <gtest/gtest.h>

#include "hyssopspar/jobs/cell.h"
#include "jobs/cell_fixture.h"

namespace hyssopspar::jobs {
namespace {

class CellLookAheadTest : public CellTest {
 protected:
  /// Replaces the cell by one of a new owner, with look-ahead or without.
  void StartOwner(bool look_ahead) {
    CellSettings settings = Settings(m_now);
    settings.m_look_ahead = look_ahead;
    m_cell = Cell(settings, m_now);
    m_cell.SetUnixTime(milliseconds(kNowUnixMs), m_now);
    SetViewsCurrent();
    m_last_stored_batch = 0;
  }

  /// Small tasks of 2 of 16 cores that always wait, and more urgently than the
  /// large one. Each run takes a second, and they end one after the other.
  void RunBurst(int seconds) {
    for (int i = 0; i < seconds * 10; ++i) {
      if (i % 4 == 0) {
        Submission job =
            MakeJob("small" + std::to_string(++m_small_jobs), Step(8, 2000));
        job.m_queue.m_name = "small";
        job.m_plan.m_steps[0].m_estimate = milliseconds(2000);
        m_cell.OnJob(job, m_now);
      }
      EndOldRuns();
      Run(milliseconds(100));
    }
  }

  void EndOldRuns() {
    for (auto& worker : m_running) {
      for (std::size_t i = worker.second.size(); i-- > 0;) {
        const RunningRun run = worker.second[i];
        TimePoint& since = m_since[ToString(run.m_task)];
        since = since == TimePoint() ? m_now : since;
        if (run.m_task.m_job != "large" && m_now - since >= milliseconds(900)) {
          EndedRun ended;
          ended.m_number = ++m_ends[worker.first];
          ended.m_task = run.m_task;
          ended.m_run = run.m_run;
          ended.m_cause = EndCause::kDone;
          m_ended[worker.first].push_back(ended);
          worker.second.erase(worker.second.begin() +
                              static_cast<std::ptrdiff_t>(i));
        }
      }
    }
  }

  void AddLargeJob(std::uint32_t gang = 0) {
    StepPlan step = Step(std::max<std::uint32_t>(1, gang), 12000);
    step.m_gang = gang > 0;
    step.m_max_tasks_per_worker = step.m_gang ? 1 : 0;
    Submission job = MakeJob("large", step);
    job.m_queue.m_name = "large";
    job.m_queue.m_priority = 1;
    m_cell.OnJob(job, m_now);
  }

  void RunUntilReserved() {
    for (int i = 0; i < 50 && m_cell.Reservations().m_counts.m_granted == 0;
         ++i) {
      EndOldRuns();
      Run(milliseconds(100));
    }
    ASSERT_EQ(Summarize(m_cell.Reservations().m_holds).m_count, 1U);
  }

  int m_small_jobs = 0;
  std::map<std::string, TimePoint> m_since;
  std::map<std::string, std::uint64_t> m_ends;
};

// Small tasks took each gap, and a large one waited for ever.
TEST_F(CellLookAheadTest, LargeTaskStartsUnderABurst) {
  for (const bool look_ahead : {false, true}) {
    StartOwner(look_ahead);
    m_running.clear();
    m_ended.clear();
    m_ends.clear();
    AddWorker("w0");
    AddWorker("w1");
    m_cell.Activate(m_now);
    RunBurst(4);
    AddLargeJob();
    RunBurst(15);
    EXPECT_EQ(StartsOf("large"), look_ahead ? 1U : 0U);
  }
  EXPECT_EQ(m_cell.Reservations().m_counts.m_used, 1U);
  EXPECT_TRUE(m_cell.Reservations().m_holds.empty());
  EXPECT_TRUE(m_cell.Reservations().m_waiting.empty());
}

// Members that were placed and taken back counted against the gang's limit per
// worker, so that its reservations avoided the workers that it could use.
TEST_F(CellLookAheadTest, GangReservesWorkersThatItsMembersFit) {
  StartOwner(true);
  for (const char* const id : {"w0", "w1", "w2", "w3"}) {
    AddWorker(id);
  }
  m_cell.Activate(m_now);
  m_cell.OnJob(MakeJob("running", Step(3, 10000)), m_now);
  Run(milliseconds(500));
  AddLargeJob(2);
  Run(milliseconds(3500));
  EXPECT_EQ(StartsOf("large"), 0U);
  EXPECT_EQ(Summarize(m_cell.Reservations().m_holds).m_count, 2U);
  // The other three run a task each.
  EXPECT_EQ(m_cell.Reservations().m_holds.count(3), 1U);
}

// A reservation for a cancelled job would keep its worker idle.
TEST_F(CellLookAheadTest, ReservationEndsWithItsJob) {
  StartOwner(true);
  AddWorker("w0");
  m_cell.Activate(m_now);
  RunBurst(3);
  AddLargeJob();
  RunUntilReserved();
  m_cell.OnCancel("large", {}, m_now);
  RunBurst(2);
  EXPECT_TRUE(m_cell.Reservations().m_holds.empty());
}

// Guards against tasks that are placed on a worker lost beside a reservation,
// and against reservations that stay there.
TEST_F(CellLookAheadTest, ReservationLeavesALostWorker) {
  StartOwner(true);
  AddWorker("w0");
  AddWorker("w1");
  m_cell.Activate(m_now);
  RunBurst(3);
  AddLargeJob();
  RunUntilReserved();
  const int reserved = m_cell.Reservations().m_holds.begin()->first;
  m_heartbeat_errors[reserved == 0 ? "w0" : "w1"] = ErrorCode::kTimeout;
  RunBurst(15);
  EXPECT_EQ(StartsOf("large"), 1U);
}

}  // namespace
}  // namespace hyssopspar::jobs
