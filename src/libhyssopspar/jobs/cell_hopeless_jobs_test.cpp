// Jobs that no worker can run, beside jobs that some can.

#include "jobs/cell_fixture.h"

namespace hyssopspar::jobs {
namespace {

class CellHopelessJobsTest : public CellTest {
 protected:
  void SetUp() override {
    m_cell.Activate(m_now);
    for (int i = 0; i < 8; ++i) {
      AddWorker("w" + std::to_string(i), 64000);
    }
    Run(milliseconds(100));
  }
};

// One job of a thousandfold size held back the first runs of all long-running
// tasks for 20 s, on idle workers, and each further one began that anew.
TEST_F(CellHopelessJobsTest, HoldBackNoLongRunningTask) {
  for (int i = 0; i < 3; ++i) {
    m_cell.OnJob(MakeJob("hopeless" + std::to_string(i), Step(6, 4200000)),
                 m_now);
    Run(milliseconds(500));
  }
  m_cell.OnJob(MakeJob("a", LongRunning(Step(4, 13000))), m_now);
  Run(milliseconds(500));
  EXPECT_EQ(StartsOf("a"), 4U);
}

// Same for short jobs that fit an idle worker only, while all are half used.
TEST_F(CellHopelessJobsTest, LargeShortJobsHoldBackNoLongRunningTaskThatFits) {
  for (int i = 0; i < 8; ++i) {
    m_cell.OnJob(
        MakeJob("half" + std::to_string(i), LongRunning(Step(1, 34000))),
        m_now);
  }
  Run(milliseconds(500));
  for (int i = 0; i < 3; ++i) {
    m_cell.OnJob(MakeJob("large" + std::to_string(i), Step(6, 40000)), m_now);
    Run(milliseconds(500));
  }
  m_cell.OnJob(MakeJob("a", LongRunning(Step(2, 13000))), m_now);
  Run(milliseconds(500));
  EXPECT_EQ(StartsOf("a"), 2U);
}

}  // namespace
}  // namespace hyssopspar::jobs
