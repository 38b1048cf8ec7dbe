// Tests of the rules by which decisions change a cell, and of its replay.

#include "hyssopspar/cell_state.h"

#include <gtest/gtest.h>

#include "hyssopspar/cell_replay.h"

namespace hyssopspar {
namespace {

constexpr WriterId kOwner = 11;
constexpr WriterId kOtherWriter = 12;

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
    ASSERT_EQ(WriteUnowned({JobAdmit{spec}})[0], Verdict::kApplied);
  }

  /// Appends the batch to the stream and applies it.
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

  /// Writes decisions in the current epoch.
  std::vector<Verdict> Write(WriterId writer, std::vector<Decision> decisions) {
    return Feed(
        Batch{writer, ++m_sequence, m_state.m_epoch, std::move(decisions)});
  }

  /// Writes decisions that need no ownership.
  std::vector<Verdict> WriteUnowned(std::vector<Decision> decisions) {
    return Feed(Batch{0, 0, 0, std::move(decisions)});
  }

  /// Commits a task of the job; two tasks use all CPU of the worker.
  Verdict Commit(std::uint32_t index, Attempt attempt) {
    return Write(kOwner, {TaskCommit{TaskId{1, index}, attempt, 0,
                                     Resources{2000, 1000, 0}}})[0];
  }

  CellState m_state;
  Sequence m_sequence = 0;
  std::vector<std::string> m_payloads;  ///< The stream, by offset.
};

TEST_F(CellStateTest, CommitBeyondCapacityIsRejected) {
  EXPECT_EQ(Commit(0, 1), Verdict::kApplied);
  EXPECT_EQ(Commit(1, 1), Verdict::kApplied);
  EXPECT_EQ(Commit(2, 1), Verdict::kOvercommit);
}

TEST_F(CellStateTest, EvictedTaskReservesResourcesUntilItStops) {
  Commit(0, 1);
  Commit(1, 1);
  Write(kOwner, {TaskEvict{TaskId{1, 0}, 1}});
  EXPECT_EQ(Commit(2, 1), Verdict::kOvercommit);
  Write(kOwner, {TaskStop{TaskId{1, 0}, 1, StopReason::kEvicted, 500}});
  EXPECT_EQ(Commit(2, 1), Verdict::kApplied);
}

TEST_F(CellStateTest, CommitOfLiveTaskOrOldAttemptIsRejected) {
  EXPECT_EQ(Commit(0, 1), Verdict::kApplied);
  EXPECT_EQ(Commit(0, 1), Verdict::kWrongState);
  EXPECT_EQ(Commit(0, 2), Verdict::kWrongState);
  Write(kOwner, {TaskStop{TaskId{1, 0}, 1, StopReason::kLost, 0}});
  EXPECT_EQ(Commit(0, 1), Verdict::kWrongState);
  EXPECT_EQ(Commit(0, 2), Verdict::kApplied);
}

TEST_F(CellStateTest, SecondFinishOfAttemptIsRejected) {
  Commit(0, 1);
  const TaskFinish finish{TaskId{1, 0}, 1};
  EXPECT_EQ(Write(kOwner, {finish})[0], Verdict::kApplied);
  EXPECT_EQ(Write(kOwner, {finish})[0], Verdict::kWrongState);
}

TEST_F(CellStateTest, DecisionOfPreviousOwnerIsStale) {
  const Epoch before = m_state.m_epoch;
  EXPECT_EQ(Claim(kOtherWriter, "r", before), Verdict::kApplied);
  const Batch late{
      kOwner, 99, before, {TaskCommit{TaskId{1, 0}, 1, 0, Resources{1, 1, 0}}}};
  EXPECT_EQ(Feed(late)[0], Verdict::kStaleEpoch);
}

TEST_F(CellStateTest, ClaimIsRejectedIfOwnerRenewedMeanwhile) {
  const Offset read_offset = m_state.m_next;
  Write(kOwner, {});
  const Batch claim{
      kOtherWriter, 1, 0, {OwnerClaim{"r", m_state.m_epoch, read_offset}}};
  EXPECT_EQ(Feed(claim)[0], Verdict::kStaleEpoch);
  EXPECT_EQ(m_state.m_owner, "o");
}

TEST_F(CellStateTest, RepeatedBatchOfOwnerIsDuplicate) {
  const Batch batch{kOwner,
                    ++m_sequence,
                    m_state.m_epoch,
                    {TaskCommit{TaskId{1, 0}, 1, 0, Resources{1, 1, 0}}}};
  EXPECT_EQ(Feed(batch)[0], Verdict::kApplied);
  EXPECT_EQ(Feed(batch)[0], Verdict::kDuplicate);
}

TEST_F(CellStateTest, FirstOfFinishAndCancelInLogWins) {
  Commit(0, 1);
  Commit(1, 1);
  Write(kOwner, {TaskFinish{TaskId{1, 0}, 1}});
  WriteUnowned({JobCancel{1}});
  Write(kOwner, {TaskFinish{TaskId{1, 1}, 1}});
  EXPECT_EQ(FindTask(m_state, TaskId{1, 0})->m_state, TaskState::kFinished);
  EXPECT_EQ(FindTask(m_state, TaskId{1, 1})->m_state, TaskState::kCancelled);
  EXPECT_EQ(FindTask(m_state, TaskId{1, 2})->m_state, TaskState::kCancelled);
}

TEST_F(CellStateTest, RepeatedTransferOfSameHopIsDuplicate) {
  TaskAccept accept;
  accept.m_spec.m_id = 7;
  accept.m_hop = 1;
  EXPECT_EQ(WriteUnowned({accept})[0], Verdict::kApplied);
  EXPECT_EQ(WriteUnowned({accept})[0], Verdict::kDuplicate);
  Write(kOwner, {TaskHandOff{TaskId{7, 0}, 1, "elsewhere"}});
  EXPECT_EQ(WriteUnowned({accept})[0], Verdict::kDuplicate);
  accept.m_hop = 3;
  EXPECT_EQ(WriteUnowned({accept})[0], Verdict::kApplied);
  EXPECT_TRUE(CheckInvariants(m_state).has_value());
}

TEST_F(CellStateTest, JobIsRemovableOnlyOnceEnded) {
  EXPECT_EQ(Write(kOwner, {JobRemove{1}})[0], Verdict::kWrongState);
  WriteUnowned({JobCancel{1}});
  Write(kOwner, {CancelForwarded{1}});
  EXPECT_EQ(Write(kOwner, {JobRemove{1}})[0], Verdict::kApplied);
}

TEST_F(CellStateTest, ReplayOfTrimmedStreamStartsFromSnapshot) {
  Commit(0, 1);
  const Offset first_kept = m_state.m_next;
  Write(kOwner, MakeSnapshot(m_state));
  Commit(1, 1);
  CellReplay replay;
  replay.Reset(first_kept);
  EXPECT_FALSE(replay.IsReady());
  for (Offset at = first_kept; at < m_payloads.size(); ++at) {
    replay.Feed(LogRecord{at, m_payloads[at]});
  }
  ASSERT_TRUE(replay.IsReady());
  EXPECT_EQ(EncodeCellState(replay.State()), EncodeCellState(m_state));
}

TEST_F(CellStateTest, SnapshotFollowedByMissingRecordsIsNotUsed) {
  const std::vector<Decision> snapshot = MakeSnapshot(m_state);
  Commit(0, 1);
  const Offset first_kept = m_state.m_next;
  Write(kOwner, snapshot);
  CellReplay replay;
  replay.Reset(first_kept);
  replay.Feed(LogRecord{first_kept, m_payloads[first_kept]});
  EXPECT_FALSE(replay.IsReady());
}

TEST_F(CellStateTest, SnapshotWithMissingChunkIsNotUsed) {
  std::vector<Decision> chunks = MakeSnapshot(m_state);
  const Offset first_kept = m_state.m_next;
  chunks.erase(chunks.begin());
  Write(kOwner, chunks);
  CellReplay replay;
  replay.Reset(first_kept);
  replay.Feed(LogRecord{first_kept, m_payloads[first_kept]});
  EXPECT_FALSE(replay.IsReady());
}

}  // namespace
}  // namespace hyssopspar
