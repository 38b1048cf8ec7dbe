#include "hyssopspar/jobs/ownership.h"

#include <gtest/gtest.h>

namespace hyssopspar::jobs {
namespace {

const TimePoint kStart{std::chrono::hours(1)};

OwnershipSettings Settings(const std::string& node) {
  OwnershipSettings settings;
  settings.m_node = node;
  settings.m_process = node + "-1";
  return settings;
}

OwnerRecord Record(std::uint64_t epoch, const std::string& node) {
  OwnerRecord record;
  record.m_epoch = epoch;
  record.m_node = node;
  record.m_process = node + "-1";
  return record;
}

TEST(OwnershipTest, SilenceIsWaitedOutAndMustBeRead) {
  OwnerView view;
  NoteOwner(&view, Record(3, "a"), kStart);
  const OwnershipSettings settings = Settings("b");
  const ClaimTime claim = NextClaim(view, settings);
  EXPECT_TRUE(claim.m_needs_silence);
  EXPECT_GE(claim.m_at, kStart + settings.m_silence);
  EXPECT_LE(claim.m_at, kStart + settings.m_silence + settings.m_spread);
}

TEST(OwnershipTest, ARenewalRestartsTheSilence) {
  OwnerView view;
  NoteOwner(&view, Record(3, "a"), kStart);
  OwnerRecord renewed = Record(3, "a");
  renewed.m_renewals = 1;
  NoteOwner(&view, renewed, kStart + milliseconds(800));
  EXPECT_GE(NextClaim(view, Settings("b")).m_at,
            kStart + milliseconds(800) + Settings("b").m_silence);
}

/// A cell that was given up at kStart.
OwnerView ReleasedView(double strongest) {
  OwnerView view;
  OwnerRecord released = Record(3, "a");
  released.m_released = true;
  released.m_strongest = strongest;
  NoteOwner(&view, released, kStart);
  return view;
}

TEST(OwnershipTest, AReleasedCellIsFreeAtOnce) {
  const OwnerView view = ReleasedView(0);
  const ClaimTime claim = NextClaim(view, Settings("b"));
  EXPECT_FALSE(claim.m_needs_silence);
  EXPECT_LE(claim.m_at, kStart + Settings("b").m_spread);
}

TEST(OwnershipTest, ANodeReplacesItsOwnEarlierLifeAtOnce) {
  OwnerView view;
  NoteOwner(&view, Record(3, "a"), kStart);
  OwnershipSettings reborn = Settings("a");
  reborn.m_process = "a-2";
  EXPECT_EQ(NextClaim(view, reborn).m_at, kStart);
  EXPECT_FALSE(OwnsCell(view, reborn));
  EXPECT_TRUE(OwnsCell(view, Settings("a")));
}

TEST(OwnershipTest, OlderRecordsChangeNothing) {
  OwnerView view;
  NoteOwner(&view, Record(3, "a"), kStart);
  NoteOwner(&view, Record(2, "b"), kStart + milliseconds(100));
  EXPECT_EQ(view.m_record->m_node, "a");
  EXPECT_EQ(view.m_changed, kStart);
}

TEST(OwnershipTest, AnOwnerThatRefusesIsForgivenOnceReplaced) {
  OwnerView view;
  NoteOwner(&view, Record(3, "a"), kStart);
  view.m_unreachable = true;
  EXPECT_FALSE(NextClaim(view, Settings("b")).m_needs_silence);
  NoteOwner(&view, Record(4, "c"), kStart + milliseconds(10));
  EXPECT_TRUE(NextClaim(view, Settings("b")).m_needs_silence);
}

TEST(OwnershipTest, AClaimHasTheNextEpoch) {
  OwnerView view;
  EXPECT_EQ(MakeClaim(view, Settings("a")).m_epoch, 1U);
  NoteOwner(&view, Record(7, "b"), kStart);
  EXPECT_EQ(MakeClaim(view, Settings("a")).m_epoch, 8U);
}

OwnershipSettings WeakSettings(const std::string& node) {
  OwnershipSettings settings = Settings(node);
  settings.m_strength = 0.1;
  return settings;
}

TEST(OwnershipTest, WeakNodesLeaveAFreeCellToStrongOnesFirst) {
  const OwnerView view = ReleasedView(1);
  const OwnershipSettings weak = WeakSettings("b");
  EXPECT_EQ(NextClaim(view, weak).m_yield, weak.m_weaker_delay);
  EXPECT_EQ(NextClaim(view, Settings("c")).m_yield, milliseconds(0));
  EXPECT_LE(NextClaim(view, Settings("c")).m_at, kStart + weak.m_spread);
}

TEST(OwnershipTest, EquallyWeakNodesDoNotWaitForEachOther) {
  const OwnerView view = ReleasedView(0.12);
  EXPECT_EQ(NextClaim(view, WeakSettings("b")).m_yield, milliseconds(0));
  EXPECT_LE(NextClaim(view, WeakSettings("b")).m_at,
            kStart + WeakSettings("b").m_spread);
}

TEST(OwnershipTest, AStrongNodeAsksAWeakOwnerForTheCell) {
  OwnerView view;
  EXPECT_FALSE(ShouldOffer(view, Settings("b")));
  OwnerRecord record = Record(3, "a");
  record.m_strength = 0.1;
  NoteOwner(&view, record, kStart);
  EXPECT_TRUE(ShouldOffer(view, Settings("b")));
  EXPECT_FALSE(ShouldOffer(view, WeakSettings("b")));
  EXPECT_FALSE(ShouldOffer(view, Settings("a")));
  record.m_released = true;
  NoteOwner(&view, record, kStart);
  EXPECT_FALSE(ShouldOffer(view, Settings("b")));
}

TEST(OwnershipTest, AClaimKeepsTheStrongestNodeInMind) {
  OwnerView view;
  EXPECT_EQ(MakeClaim(view, WeakSettings("a")).m_strongest, 0.1);
  OwnerRecord record = Record(3, "b");
  record.m_strongest = 0.5;
  NoteOwner(&view, record, kStart);
  EXPECT_EQ(MakeClaim(view, WeakSettings("a")).m_strength, 0.1);
  EXPECT_EQ(MakeClaim(view, WeakSettings("a")).m_strongest, 0.5);
}

}  // namespace
}  // namespace hyssopspar::jobs
