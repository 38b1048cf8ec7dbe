#include "node/request_deadline.h"

#include <gtest/gtest.h>

namespace hyssopspar::node {
namespace {

const TimePoint kReceived{std::chrono::hours(1)};

HttpRequest RequestWith(const std::string& timeout) {
  HttpRequest request;
  request.m_headers[kTimeoutHeader] = timeout;
  return request;
}

// The deadline was counted from the handling of the request, so that a caller
// whose request had waited for the loop was answered after it had gone.
TEST(RequestDeadlineTest, CountsFromTheReceiptOfTheRequest) {
  EXPECT_EQ(DeadlineOf(RequestWith("1000"), kReceived),
            kReceived + milliseconds(700));
  EXPECT_EQ(DeadlineOf(RequestWith("99999"), kReceived),
            kReceived + milliseconds(2700));
  EXPECT_EQ(DeadlineOf(RequestWith("1"), kReceived),
            kReceived + milliseconds(300));
}

TEST(RequestDeadlineTest, IgnoresTimeoutsThatAreNoPositiveNumber) {
  for (const char* const text : {"", "-5", "0", "soon"}) {
    EXPECT_FALSE(TimeoutOf(RequestWith(text))) << text;
  }
  EXPECT_EQ(DeadlineOf(HttpRequest(), kReceived),
            kReceived + milliseconds(2700));
}

}  // namespace
}  // namespace hyssopspar::node
