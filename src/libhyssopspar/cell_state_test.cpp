#include "hyssopspar/cell_state.h"

#include <gtest/gtest.h>

#include "hyssopspar/cell_replay.h"

namespace hyssopspar {
namespace {

constexpr WriterId kOwner = 11;
constexpr WriterId kRival = 12;

/// A cell with one worker of four processors and one job of three tasks.
class CellStateTest : public testing::Test {
 protected:
  void SetUp() override {
    Claim(kOwner, "o", 0);
    Write(kOwner, {WorkerAdd{"w", "d", "r", Resources{4000, 4000, 0}}});
    JobSpec spec;
    spec.m_id = 1;
    spec.m_tasks = 3;
    spec.m_size = Resources{2000, 1000, 0};
    ASSERT_EQ(Open({JobAdmit{spec}})[0], Verdict::kApplied);
  }

  std::vector<Verdict> Feed(const Batch& batch) {
    m_payloads.push_back(EncodeBatch(batch));
    return Apply(&m_state, m_state.m_next, batch);
  }

  Verdict Claim(WriterId writer, const std::string& name, Epoch previous) {
    return Feed(Batch{writer,
                      ++m_sequence,
                      0,
                      {OwnerClaim{name, previous, m_state.m_next}}})[0];
  }

  std::vector<Verdict> Write(WriterId writer, std::vector<Decision> decisions) {
    return Feed(
        Batch{writer, ++m_sequence, m_state.m_epoch, std::move(decisions)});
  }

  std::vector<Verdict> Open(std::vector<Decision> decisions) {
    return Feed(Batch{0, 0, 0, std::move(decisions)});
  }

  Verdict Commit(std::uint32_t index, Attempt attempt) {
    return Write(kOwner, {TaskCommit{TaskId{1, index}, attempt, 0,
                                     Resources{2000, 1000, 0}}})[0];
  }

  CellState m_state;
  Sequence m_sequence = 0;
  std::vector<std::string> m_payloads;
};

TEST_F(CellStateTest, RefusesOvercommitment) {
  EXPECT_EQ(Commit(0, 1), Verdict::kApplied);
  EXPECT_EQ(Commit(1, 1), Verdict::kApplied);
  EXPECT_EQ(Commit(2, 1), Verdict::kOvercommit);
}

TEST_F(CellStateTest, CountsResourcesUntilTheAttemptIsOver) {
  Commit(0, 1);
  Commit(1, 1);
  Write(kOwner, {TaskEvict{TaskId{1, 0}, 1}});
  EXPECT_EQ(Commit(2, 1), Verdict::kOvercommit);
  Write(kOwner, {TaskStop{TaskId{1, 0}, 1, StopReason::kEvicted, 500}});
  EXPECT_EQ(Commit(2, 1), Verdict::kApplied);
}

TEST_F(CellStateTest, AllowsOneLiveAttempt) {
  EXPECT_EQ(Commit(0, 1), Verdict::kApplied);
  EXPECT_EQ(Commit(0, 1), Verdict::kWrongState);
  EXPECT_EQ(Commit(0, 2), Verdict::kWrongState);
  Write(kOwner, {TaskStop{TaskId{1, 0}, 1, StopReason::kLost, 0}});
  EXPECT_EQ(Commit(0, 1), Verdict::kWrongState);
  EXPECT_EQ(Commit(0, 2), Verdict::kApplied);
}

TEST_F(CellStateTest, TakesOneFinish) {
  Commit(0, 1);
  const TaskFinish finish{TaskId{1, 0}, 1};
  EXPECT_EQ(Write(kOwner, {finish})[0], Verdict::kApplied);
  EXPECT_EQ(Write(kOwner, {finish})[0], Verdict::kWrongState);
}

TEST_F(CellStateTest, VoidsDecisionsOfAnEarlierEpoch) {
  const Epoch before = m_state.m_epoch;
  EXPECT_EQ(Claim(kRival, "r", before), Verdict::kApplied);
  const Batch late{
      kOwner, 99, before, {TaskCommit{TaskId{1, 0}, 1, 0, Resources{1, 1, 0}}}};
  EXPECT_EQ(Feed(late)[0], Verdict::kStaleEpoch);
}

TEST_F(CellStateTest, RefusesClaimsThatARenewalOvertook) {
  const Offset looked = m_state.m_next;
  Write(kOwner, {});
  const Batch claim{kRival, 1, 0, {OwnerClaim{"r", m_state.m_epoch, looked}}};
  EXPECT_EQ(Feed(claim)[0], Verdict::kStaleEpoch);
  EXPECT_EQ(m_state.m_owner, "o");
}

TEST_F(CellStateTest, DropsRepeatsOfTheOwnersBatches) {
  const Batch batch{kOwner,
                    ++m_sequence,
                    m_state.m_epoch,
                    {TaskCommit{TaskId{1, 0}, 1, 0, Resources{1, 1, 0}}}};
  EXPECT_EQ(Feed(batch)[0], Verdict::kApplied);
  EXPECT_EQ(Feed(batch)[0], Verdict::kDuplicate);
}

TEST_F(CellStateTest, LogOrderDecidesBetweenFinishAndCancel) {
  Commit(0, 1);
  Commit(1, 1);
  Write(kOwner, {TaskFinish{TaskId{1, 0}, 1}});
  Open({JobCancel{1}});
  Write(kOwner, {TaskFinish{TaskId{1, 1}, 1}});
  EXPECT_EQ(FindTask(m_state, TaskId{1, 0})->m_state, TaskState::kFinished);
  EXPECT_EQ(FindTask(m_state, TaskId{1, 1})->m_state, TaskState::kCancelled);
  EXPECT_EQ(FindTask(m_state, TaskId{1, 2})->m_state, TaskState::kCancelled);
}

TEST_F(CellStateTest, AcceptsATransferOnce) {
  TaskAccept accept;
  accept.m_spec.m_id = 7;
  accept.m_hop = 1;
  EXPECT_EQ(Open({accept})[0], Verdict::kApplied);
  EXPECT_EQ(Open({accept})[0], Verdict::kDuplicate);
  Write(kOwner, {TaskHandOff{TaskId{7, 0}, 1, "elsewhere"}});
  EXPECT_EQ(Open({accept})[0], Verdict::kDuplicate);
  accept.m_hop = 3;
  EXPECT_EQ(Open({accept})[0], Verdict::kApplied);
  EXPECT_TRUE(CheckInvariants(m_state).has_value());
}

TEST_F(CellStateTest, KeepsEndedJobsUntilForgotten) {
  EXPECT_EQ(Write(kOwner, {JobForget{1}})[0], Verdict::kWrongState);
  Open({JobCancel{1}});
  Write(kOwner, {CancelForwarded{1}});
  EXPECT_EQ(Write(kOwner, {JobForget{1}})[0], Verdict::kApplied);
}

TEST_F(CellStateTest, ALateReaderStartsFromASnapshot) {
  Commit(0, 1);
  const Offset cut = m_state.m_next;
  Write(kOwner, MakeSnapshot(m_state));
  Commit(1, 1);
  CellReplay replay;
  replay.Reset(cut);
  EXPECT_FALSE(replay.IsReady());
  for (Offset at = cut; at < m_payloads.size(); ++at) {
    replay.Feed(LogRecord{at, m_payloads[at]});
  }
  ASSERT_TRUE(replay.IsReady());
  EXPECT_EQ(EncodeCellState(replay.State()), EncodeCellState(m_state));
}

TEST_F(CellStateTest, ASnapshotWithMissingRecordsIsNotUsed) {
  const std::vector<Decision> old = MakeSnapshot(m_state);
  Commit(0, 1);
  const Offset cut = m_state.m_next;
  Write(kOwner, old);
  CellReplay replay;
  replay.Reset(cut);
  replay.Feed(LogRecord{cut, m_payloads[cut]});
  EXPECT_FALSE(replay.IsReady());
}

TEST_F(CellStateTest, AnUnfinishedSnapshotIsNotUsed) {
  std::vector<Decision> pieces = MakeSnapshot(m_state);
  const Offset cut = m_state.m_next;
  pieces.erase(pieces.begin());
  Write(kOwner, pieces);
  CellReplay replay;
  replay.Reset(cut);
  replay.Feed(LogRecord{cut, m_payloads[cut]});
  EXPECT_FALSE(replay.IsReady());
}

}  // namespace
}  // namespace hyssopspar
