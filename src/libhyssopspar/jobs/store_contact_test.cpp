#include "hyssopspar/jobs/store_contact.h"

#include <gtest/gtest.h>

namespace hyssopspar::jobs {
namespace {

const TimePoint kStart{std::chrono::hours(1)};
const TimePoint kLongAgo = kStart - std::chrono::minutes(1);

TEST(StoreContactTest, AsksPeersOnceFailuresLast) {
  StoreContact contact;
  EXPECT_FALSE(ShouldAskPeers(contact, kLongAgo, kStart));
  RecordStoreCall(&contact, false, kStart);
  EXPECT_FALSE(ShouldAskPeers(contact, kLongAgo, kStart + milliseconds(100)));
  RecordStoreCall(&contact, false, kStart + milliseconds(150));
  EXPECT_TRUE(ShouldAskPeers(contact, kLongAgo, kStart + milliseconds(300)));
}

TEST(StoreContactTest, SuccessEndsTheSeriesOfFailures) {
  StoreContact contact;
  RecordStoreCall(&contact, false, kStart);
  RecordStoreCall(&contact, true, kStart + milliseconds(200));
  EXPECT_FALSE(ShouldAskPeers(contact, kLongAgo, kStart + milliseconds(900)));
}

TEST(StoreContactTest, QuestionsAreSpacedWhileNoPeerHelps) {
  StoreContact contact;
  RecordStoreCall(&contact, false, kStart);
  RecordQuestion(&contact, kStart + milliseconds(300));
  EXPECT_FALSE(ShouldAskPeers(contact, kLongAgo, kStart + milliseconds(400)));
  EXPECT_TRUE(ShouldAskPeers(contact, kLongAgo, kStart + milliseconds(800)));
}

TEST(StoreContactTest, NewOwnerKeepsTheCell) {
  StoreContact contact;
  RecordStoreCall(&contact, false, kStart);
  EXPECT_FALSE(ShouldAskPeers(contact, kStart + milliseconds(2500),
                              kStart + milliseconds(500)));
}

}  // namespace
}  // namespace hyssopspar::jobs
