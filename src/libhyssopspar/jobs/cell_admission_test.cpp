// The load that a cell measures for admission control.

#include <utility>

#include "jobs/cell_fixture.h"

namespace hyssopspar::jobs {
namespace {

class CellAdmissionTest : public CellTest {
 protected:
  /// Runs all tasks on the worker for one second, and ends them.
  LoadSummary RunTasksForASecond() {
    Run(milliseconds(1000));
    for (const RunningRun& run : std::exchange(m_running["w0"], {})) {
      m_ended["w0"].push_back(
          {++m_last_end, run.m_task, run.m_run, EndCause::kDone, ""});
    }
    Run(milliseconds(100));
    return m_cell.SummarizeLoad(m_now);
  }

  static Submission JobOf(std::uint32_t tasks) {
    Submission job = MakeJob("a", Step(tasks, 1000));
    job.m_queue.m_latency_target = std::chrono::seconds(60);
    return job;
  }

  std::uint64_t m_last_end = 0;
};

// Admission control needs what waits and how fast it ends: here 300 tasks of a
// second on 16 processors, which the harness leaves idle for up to 0.2 s
// between two tasks.
TEST_F(CellAdmissionTest, MeasuresBacklogAndDrainRateOfABurst) {
  AddWorker("w0");
  m_cell.Activate(m_now);
  Run(milliseconds(100));
  m_cell.OnJob(JobOf(300), m_now);
  LoadSummary load = RunTasksForASecond();
  EXPECT_TRUE(load.m_queues.empty() || load.m_queues[0].m_drain_rate == 0);
  for (int i = 0; i < 6; ++i) {
    load = RunTasksForASecond();
  }
  ASSERT_EQ(load.m_queues.size(), 1U);
  const QueueLoad& queue = load.m_queues[0];
  EXPECT_EQ(queue.m_queue, NameHash("quotes"));
  EXPECT_LE(queue.m_drain_rate, 16000);
  EXPECT_GE(queue.m_drain_rate, 16000 / 1.2);
  const std::int64_t pending =
      static_cast<std::int64_t>(m_cell.FindJob("a")->m_pending);
  EXPECT_EQ(queue.m_backlog, pending * 1000 * queue.m_task_time.count() / 1000);
  EXPECT_LT(queue.m_free.m_cpu_milli, 1000);
}

// Tasks that find room at once are no backlog.
TEST_F(CellAdmissionTest, ListsNoQueueWithoutWaitingTasks) {
  AddWorker("w0");
  m_cell.Activate(m_now);
  Run(milliseconds(100));
  m_cell.OnJob(JobOf(16), m_now);
  EXPECT_TRUE(RunTasksForASecond().m_queues.empty());
}

// A task that fits no worker never runs. As backlog it let admission control
// refuse jobs that would have ended in time.
TEST_F(CellAdmissionTest, TaskThatFitsNoWorkerIsNoBacklog) {
  AddWorker("w0");
  m_cell.Activate(m_now);
  Run(milliseconds(100));
  m_cell.OnJob(JobOf(300), m_now);
  RunTasksForASecond();
  Submission hopeless = MakeJob("b", Step(6, 4200000));
  hopeless.m_queue.m_latency_target = std::chrono::seconds(60);
  m_cell.OnJob(hopeless, m_now);
  LoadSummary load;
  for (int i = 0; i < 6; ++i) {
    load = RunTasksForASecond();
  }
  ASSERT_EQ(load.m_queues.size(), 1U);
  const std::int64_t pending =
      static_cast<std::int64_t>(m_cell.FindJob("a")->m_pending);
  EXPECT_EQ(load.m_queues[0].m_backlog,
            pending * 1000 * load.m_queues[0].m_task_time.count() / 1000);
}

}  // namespace
}  // namespace hyssopspar::jobs
