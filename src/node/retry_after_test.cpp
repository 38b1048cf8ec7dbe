#include "node/retry_after.h"

#include <gtest/gtest.h>

#include <map>

namespace hyssopspar::node {
namespace {

using std::chrono::seconds;

const TimePoint kNow{std::chrono::hours(1)};

TEST(RetryAfterTest, ShortOutageAndReachableStoreMeanOneSecond) {
  EXPECT_EQ(RetryAfter(TimePoint::max(), "a", kNow), seconds(1));
  EXPECT_EQ(RetryAfter(kNow - milliseconds(300), "a", kNow), seconds(1));
}

// Callers have few retries: with one second each they would use them up during
// an outage that they could outwait.
TEST(RetryAfterTest, GrowsWithTheOutageUpToALimit) {
  for (const char* const key : {"a", "b", "c", "d"}) {
    EXPECT_GE(RetryAfter(kNow - seconds(4), key, kNow), seconds(4));
    EXPECT_LE(RetryAfter(kNow - seconds(4), key, kNow), seconds(6));
    EXPECT_LE(RetryAfter(kNow - std::chrono::hours(1), key, kNow), seconds(9));
  }
}

TEST(RetryAfterTest, CallersReturnAtDifferentTimes) {
  std::map<seconds, int> callers;
  for (int i = 0; i < 400; ++i) {
    ++callers[RetryAfter(kNow - seconds(6), std::to_string(i), kNow)];
  }
  EXPECT_EQ(callers.size(), 4U);
  for (const auto& entry : callers) {
    EXPECT_GT(entry.second, 60) << entry.first.count();
  }
}

// Four retries, the usual number, outlast an outage of seven seconds.
TEST(RetryAfterTest, FourRetriesOutlastAnOutageOfSevenSeconds) {
  for (int i = 0; i < 100; ++i) {
    const TimePoint failing_since = kNow;
    TimePoint now = kNow + milliseconds(500);
    for (int retry = 0; retry < 4; ++retry) {
      now += RetryAfter(failing_since, std::to_string(i), now);
    }
    EXPECT_GE(now - failing_since, milliseconds(7000));
  }
}

}  // namespace
}  // namespace hyssopspar::node
