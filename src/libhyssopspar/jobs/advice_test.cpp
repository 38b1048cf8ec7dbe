#include "hyssopspar/jobs/advice.h"

#include <gtest/gtest.h>

namespace hyssopspar::jobs {
namespace {

const TimePoint kNow{std::chrono::hours(1)};
const TimePoint kExpires = kNow + milliseconds(500);
constexpr std::int64_t kIncarnation = 70;

TEST(AdviceTest, TicketIsValidForOneIncarnationUntilExpiry) {
  StepAdvice advice;
  ApplyAdvice({{3, "w3", kIncarnation}}, {{"w3", "t"}}, kExpires, &advice);
  EXPECT_EQ(TicketFor(advice, 3, kIncarnation, kNow), "t");
  EXPECT_FALSE(TicketFor(advice, 3, kIncarnation, kExpires));
  EXPECT_FALSE(TicketFor(advice, 3, kIncarnation + 1, kNow));
  EXPECT_FALSE(TicketFor(advice, 4, kIncarnation, kNow));
}

TEST(AdviceTest, AdviceIsNeededWithoutValidTicketOrDenial) {
  StepAdvice advice;
  EXPECT_TRUE(NeedsAdvice(advice, 3, kIncarnation, kNow));
  ApplyAdvice({{3, "w3", kIncarnation}, {4, "w4", kIncarnation}}, {{"w3", "t"}},
              kExpires, &advice);
  EXPECT_FALSE(NeedsAdvice(advice, 3, kIncarnation, kNow));
  EXPECT_TRUE(NeedsAdvice(advice, 3, kIncarnation, kExpires));
  EXPECT_FALSE(NeedsAdvice(advice, 4, kIncarnation, kExpires));
  EXPECT_TRUE(NeedsAdvice(advice, 4, kIncarnation + 1, kNow));
}

TEST(AdviceTest, LaterAnswerReplacesEarlier) {
  StepAdvice advice;
  ApplyAdvice({{3, "w3", kIncarnation}}, {}, kExpires, &advice);
  ApplyAdvice({{3, "w3", kIncarnation + 1}}, {{"w3", "t"}}, kExpires, &advice);
  EXPECT_EQ(TicketFor(advice, 3, kIncarnation + 1, kNow), "t");
  ApplyAdvice({{3, "w3", kIncarnation + 2}}, {}, kExpires, &advice);
  EXPECT_FALSE(TicketFor(advice, 3, kIncarnation + 1, kNow));
}

}  // namespace
}  // namespace hyssopspar::jobs
