#include "node/refusal_log.h"

#include <gtest/gtest.h>

namespace hyssopspar::node {
namespace {

// Callers with a wrong key must not be able to fill the log.
TEST(RefusalLogTest, WritesOneLineASecondAndReasonWithTheNumberOfCalls) {
  RefusalLog log;
  const TimePoint start(std::chrono::hours(1));
  EXPECT_EQ(CountRefusal(&log, "a", start), 1U);
  EXPECT_EQ(CountRefusal(&log, "a", start + milliseconds(1)), std::nullopt);
  EXPECT_EQ(CountRefusal(&log, "b", start + milliseconds(2)), 1U);
  EXPECT_EQ(CountRefusal(&log, "a", start + milliseconds(999)), std::nullopt);
  EXPECT_EQ(CountRefusal(&log, "a", start + milliseconds(1000)), 3U);
  EXPECT_EQ(CountRefusal(&log, "a", start + milliseconds(5000)), 1U);
}

}  // namespace
}  // namespace hyssopspar::node
