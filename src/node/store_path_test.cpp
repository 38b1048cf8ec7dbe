#include "node/store_path.h"

#include <gtest/gtest.h>

namespace hyssopspar::node {
namespace {

const TimePoint kNow{std::chrono::hours(1)};
constexpr milliseconds kFast{5};
constexpr milliseconds kSlow{400};

TEST(StorePathTest, UsesDirectRouteWhileStoreAnswersInTime) {
  StorePathStatus path;
  RecordAppendResult(&path, StoreRoute::kDirect, true, kNow, kNow + kFast);
  EXPECT_EQ(ChooseRoute(path, true, true, kNow), StoreRoute::kDirect);
}

TEST(StorePathTest, UnreachableStoreAlternatesOwnerAndPeerUntilDirectRetry) {
  StorePathStatus path;
  RecordAppendResult(&path, StoreRoute::kDirect, false, kNow, kNow);
  EXPECT_EQ(ChooseRoute(path, true, true, kNow), StoreRoute::kOwner);
  RecordAppendResult(&path, StoreRoute::kOwner, false, kNow, kNow);
  EXPECT_TRUE(path.m_relay_failed);
  EXPECT_EQ(ChooseRoute(path, true, true, kNow), StoreRoute::kPeer);
  EXPECT_EQ(ChooseRoute(path, false, true, kNow), StoreRoute::kPeer);
  EXPECT_EQ(ChooseRoute(path, false, false, kNow), StoreRoute::kDirect);
  EXPECT_EQ(ChooseRoute(path, true, true, path.m_retry_direct_at),
            StoreRoute::kDirect);
}

TEST(StorePathTest, SlowStoreUsesOwnerUntilAnAppendIsFast) {
  StorePathStatus path;
  RecordAppendResult(&path, StoreRoute::kDirect, true, kNow, kNow + kSlow);
  EXPECT_EQ(ChooseRoute(path, true, true, kNow + kSlow), StoreRoute::kOwner);
  EXPECT_EQ(ChooseRoute(path, false, true, kNow + kSlow), StoreRoute::kDirect);
  RecordAppendResult(&path, StoreRoute::kOwner, true, kNow, kNow + kSlow);
  EXPECT_EQ(ChooseRoute(path, true, true, kNow + kSlow), StoreRoute::kOwner);
  RecordAppendResult(&path, StoreRoute::kOwner, true, kNow, kNow + kFast);
  EXPECT_EQ(ChooseRoute(path, true, true, kNow + kSlow), StoreRoute::kDirect);
}

TEST(StorePathTest, TimedOutDirectAppendUsesOwnerEvenAfterDirectRetryTime) {
  StorePathStatus path;
  RecordAppendResult(&path, StoreRoute::kDirect, false, kNow, kNow + kSlow);
  EXPECT_EQ(ChooseRoute(path, true, true, kNow + std::chrono::seconds(60)),
            StoreRoute::kOwner);
}

TEST(StorePathTest, UsesDirectRouteAfterThreeUnansweredOwnerRelays) {
  StorePathStatus path;
  RecordAppendResult(&path, StoreRoute::kDirect, true, kNow, kNow + kSlow);
  for (int i = 0; i < 3; ++i) {
    ASSERT_EQ(ChooseRoute(path, true, true, kNow), StoreRoute::kOwner);
    RecordAppendResult(&path, StoreRoute::kOwner, false, kNow, kNow + kSlow);
  }
  EXPECT_EQ(ChooseRoute(path, true, true, kNow), StoreRoute::kDirect);
}

TEST(StorePathTest, UsesDirectRouteAfterOwnerRefusesQuickly) {
  StorePathStatus path;
  RecordAppendResult(&path, StoreRoute::kDirect, true, kNow, kNow + kSlow);
  RecordAppendResult(&path, StoreRoute::kOwner, false, kNow, kNow + kFast);
  EXPECT_EQ(ChooseRoute(path, true, true, kNow + kSlow), StoreRoute::kDirect);
}

}  // namespace
}  // namespace hyssopspar::node
