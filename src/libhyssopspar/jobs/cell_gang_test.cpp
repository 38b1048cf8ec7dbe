// Starts of gangs as a whole.

#include <gtest/gtest.h>

#include "hyssopspar/jobs/cell.h"
#include "jobs/cell_fixture.h"

namespace hyssopspar::jobs {
namespace {

class CellGangTest : public CellTest {
 protected:
  /// Places a gang of two, one task on each worker, and lets the store keep its
  /// answer back.
  void PlaceGang() {
    AddWorker("w0", 8000);
    AddWorker("w1", 8000);
    m_cell.Activate(m_now);
    Run(milliseconds(200));
    m_store_is_slow = true;
    StepPlan step = Step(2, 8000);
    step.m_gang = true;
    m_cell.OnJob(MakeJob("a", step), m_now);
    Run(milliseconds(200));
  }

  void FinishStoring() {
    m_store_is_slow = false;
    m_cell.OnStored(m_unanswered_batch, Offset{1}, m_now);
  }
};

// When one member of a gang could not be started any more, the others were, and
// ended alone.
TEST_F(CellGangTest, StartsNoMemberBesideOneThatMayNotBeStarted) {
  PlaceGang();
  AddWorker("w1", 4000);
  FinishStoring();
  Run(milliseconds(1000));
  EXPECT_EQ(StartsOf("a"), 0U);
  AddWorker("w1", 8000);
  Run(milliseconds(1000));
  EXPECT_EQ(StartsOf("a"), 2U);
}

// Same for one whose placement was undone while it was being stored.
TEST_F(CellGangTest, StartsNoMemberBesideOneThatIsNotPlacedAnyMore) {
  PlaceGang();
  m_heartbeat_errors["w1"] = ErrorCode::kTimeout;
  Run(std::chrono::seconds(15));
  FinishStoring();
  Run(milliseconds(1000));
  EXPECT_EQ(StartsOf("a"), 0U);
  m_heartbeat_errors.clear();
  Run(milliseconds(2000));
  EXPECT_EQ(StartsOf("a"), 2U);
}

}  // namespace
}  // namespace hyssopspar::jobs
