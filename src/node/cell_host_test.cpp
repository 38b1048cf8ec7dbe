#include "node/cell_host.h"

#include <gtest/gtest.h>

#include "node/cell_host_fixture.h"

namespace hyssopspar::node {
namespace {

// Without the hand-over, the cell has no owner until its lease has expired.
TEST_F(CellHostTest, OwnerThatAloneLosesTheStoreHandsOverThroughAPeer) {
  StartWithOwnerA();
  OnLoop([this] {
    m_a->m_platform.Log().SetReachable(false);
    return true;
  });
  WaitUntil([this] { return m_b->m_host.OwnedCell() != nullptr; });
  EXPECT_TRUE(OnLoop([this] { return m_a->m_host.OwnedCell() == nullptr; }));
  const std::vector<jobs::OwnerRecord> records = OwnerRecords();
  std::size_t claim = 0;
  while (records[claim].m_epoch == 1) {
    ++claim;
  }
  ASSERT_GT(claim, 0U);
  EXPECT_TRUE(records[claim - 1].m_released);
  EXPECT_EQ(records[claim].m_node, "b");
}

// A peer whose last read succeeded just before the store went down must not
// take the release: then nobody would own the cell.
TEST_F(CellHostTest, OwnerKeepsTheCellWhileNobodyReachesTheStore) {
  StartWithOwnerA();
  OnLoop([this] {
    m_a->m_platform.Log().SetReachable(false);
    m_b->m_platform.Log().SetReachable(false);
    return true;
  });
  WaitUntil([this] { return m_a->m_handover.m_questions >= 2; });
  EXPECT_TRUE(OnLoop([this] { return m_a->m_host.OwnedCell() != nullptr; }));
  for (const jobs::OwnerRecord& record : OwnerRecords()) {
    EXPECT_FALSE(record.m_released);
  }
}

TEST_F(CellHostTest, ReleaseOfAnEarlierEpochIsRefused) {
  StartWithOwnerA();
  jobs::OwnerRecord stale = OwnerRecords().back();
  stale.m_released = true;
  stale.m_epoch = 0;
  std::promise<Result<Offset>> answer;
  m_loop.Post([&] {
    m_b->m_host.StoreReleaseForPeer(
        stale, [&answer](const Result<Offset>& end) { answer.set_value(end); });
  });
  EXPECT_FALSE(answer.get_future().get());
}

// An owner took the refusal of one job's record for the loss of the store, and
// gave the cell to another node.
TEST_F(CellHostTest, OwnerKeepsTheCellWhileOneRecordIsRefused) {
  CreateA(milliseconds(2000));
  AddCancelledJob("job");
  m_a->m_platform.Log().RefuseAppends(jobs::kProgressStream, 100);
  StartWithOwnerA();
  WaitUntil([this] { return m_a->m_platform.Log().RefusedAppends() >= 3; });
  EXPECT_EQ(OnLoop([this] { return m_a->m_handover.m_questions; }), 0);
  EXPECT_TRUE(OnLoop([this] { return m_a->m_host.OwnedCell() != nullptr; }));
}

// An ended job whose tombstone was refused once kept its record for good; when
// its progress was removed later, the next owner ran it again.
TEST_F(CellHostTest, RefusedTombstoneIsStoredLater) {
  AddCancelledJob("job");
  m_a->m_platform.Log().RefuseAppends(jobs::kJobStream, 1);
  StartWithOwnerA();
  WaitUntil([this] {
    const KeyedRecord& last = m_store.Records({jobs::kJobStream, 0}).back();
    return last.m_key == "job" && last.m_value == jobs::kTombstoneValue;
  });
  EXPECT_EQ(OnLoop([this] { return m_a->m_platform.Log().RefusedAppends(); }),
            1);
}

// The state of a cell may be half changed when an event ends with an exception.
TEST_F(CellHostTest, OwnerGivesTheCellUpAfterAnUnexpectedError) {
  StartWithOwnerA();
  OnLoop([this] {
    m_a->m_host.OnUnexpectedError();
    return true;
  });
  WaitUntil([this] { return m_b->m_host.OwnedCell() != nullptr; });
  EXPECT_TRUE(OnLoop([this] { return m_a->m_host.OwnedCell() == nullptr; }));
}

}  // namespace
}  // namespace hyssopspar::node
