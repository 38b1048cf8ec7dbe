#include "node/store_answer.h"

#include <gtest/gtest.h>

namespace hyssopspar::node {
namespace {

constexpr std::chrono::seconds kRetryAfter{3};

// A caller whose request the store refused for a moment was told for good that
// it is too large.
TEST(StoreAnswerTest, CallersOfRefusedRequestsMayTryAgain) {
  const HttpResponse refused = StoreAnswer(StoreOutcome::kRefused, kRetryAfter);
  EXPECT_EQ(refused.m_status, 503);
  EXPECT_EQ(HeaderOr(refused.m_headers, "retry-after"), "3");
}

TEST(StoreAnswerTest, TellsStoredNotStoredAndUnknown) {
  EXPECT_EQ(StoreAnswer(StoreOutcome::kStored, kRetryAfter).m_status, 200);
  const HttpResponse not_stored =
      StoreAnswer(StoreOutcome::kNotStored, kRetryAfter);
  EXPECT_EQ(not_stored.m_status, 503);
  EXPECT_EQ(HeaderOr(not_stored.m_headers, "retry-after"), "3");
  EXPECT_EQ(StoreAnswer(StoreOutcome::kUnknown, kRetryAfter).m_status, 504);
}

// A relaying node answered 504 to records that the store had not taken.
TEST(StoreAnswerTest, TellsOtherNodesWhatIsCertainlyNotStored) {
  EXPECT_EQ(RelayAnswer(Offset{1}).m_status, 200);
  const auto status_of = [](ErrorCode code) {
    return RelayAnswer(Fail(code, "planted")).m_status;
  };
  EXPECT_EQ(status_of(ErrorCode::kNotSent), 503);
  EXPECT_EQ(status_of(ErrorCode::kUnavailable), 503);
  EXPECT_EQ(status_of(ErrorCode::kNotFound), 503);
  EXPECT_EQ(status_of(ErrorCode::kInvalidArgument), 400);
  EXPECT_EQ(status_of(ErrorCode::kTimeout), 504);
  EXPECT_EQ(status_of(ErrorCode::kConnectionLost), 504);
}

}  // namespace
}  // namespace hyssopspar::node
