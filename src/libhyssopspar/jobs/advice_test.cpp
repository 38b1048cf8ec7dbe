#include "hyssopspar/jobs/advice.h"

#include <gtest/gtest.h>

namespace hyssopspar::jobs {
namespace {

const TimePoint kNow{std::chrono::hours(1)};
const TimePoint kExpires = kNow + milliseconds(500);
constexpr std::int64_t kBorn = 70;

TEST(AdviceTest, TicketsHoldForOneLifeAndForATime) {
  StepAdvice advice;
  EnterAdvice({{3, "w3", kBorn}}, {{"w3", "t"}}, kExpires, &advice);
  EXPECT_EQ(TicketFor(advice, 3, kBorn, kNow), "t");
  EXPECT_FALSE(TicketFor(advice, 3, kBorn, kExpires));
  EXPECT_FALSE(TicketFor(advice, 3, kBorn + 1, kNow));
  EXPECT_FALSE(TicketFor(advice, 4, kBorn, kNow));
}

TEST(AdviceTest, WorkersAreAskedAboutUntilSomethingIsKnown) {
  StepAdvice advice;
  EXPECT_TRUE(IsUnadvised(advice, 3, kBorn, kNow));
  EnterAdvice({{3, "w3", kBorn}, {4, "w4", kBorn}}, {{"w3", "t"}}, kExpires,
              &advice);
  EXPECT_FALSE(IsUnadvised(advice, 3, kBorn, kNow));
  EXPECT_TRUE(IsUnadvised(advice, 3, kBorn, kExpires));
  EXPECT_FALSE(IsUnadvised(advice, 4, kBorn, kExpires));
  EXPECT_TRUE(IsUnadvised(advice, 4, kBorn + 1, kNow));
}

TEST(AdviceTest, ALaterAnswerReplacesTheEarlier) {
  StepAdvice advice;
  EnterAdvice({{3, "w3", kBorn}}, {}, kExpires, &advice);
  EnterAdvice({{3, "w3", kBorn + 1}}, {{"w3", "t"}}, kExpires, &advice);
  EXPECT_EQ(TicketFor(advice, 3, kBorn + 1, kNow), "t");
  EnterAdvice({{3, "w3", kBorn + 2}}, {}, kExpires, &advice);
  EXPECT_FALSE(TicketFor(advice, 3, kBorn + 1, kNow));
}

}  // namespace
}  // namespace hyssopspar::jobs
