// Tests of the client of the platform's log against a server that answers with
// a given status.

#include "platform/http_log.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <string>

#include "hyssopspar/http_server.h"

namespace platform {
namespace {

namespace hs = hyssopspar;

class HttpLogTest : public testing::Test {
 protected:
  HttpLogTest()
      : m_server(
            [this](const hs::HttpRequest& /*request*/,
                   const hs::HttpReply& reply) {
              hs::HttpResponse response;
              response.m_status = m_status;
              response.m_body = "{}";
              reply(response);
            },
            hs::HttpServerLimits(),
            1),
        m_pool(1, 1) {}

  void SetUp() override { ASSERT_TRUE(m_server.Start("127.0.0.1:0")); }

  ~HttpLogTest() override {
    m_pool.Stop();
    m_server.Stop();
  }

  /// Error of an append that is answered with \p status.
  hs::ErrorCode AppendError(int status) {
    m_status = status;
    HttpLog log("127.0.0.1:" + std::to_string(m_server.Port()), &m_pool);
    std::promise<hs::Result<hs::Offset>> answer;
    log.Append({"jobs", 0}, {{"key", "value"}}, hs::AppendGuard(),
               hs::Clock::now() + std::chrono::seconds(20),
               [&answer](hs::Result<hs::Offset> end) {
                 answer.set_value(std::move(end));
               });
    const hs::Result<hs::Offset> end = answer.get_future().get();
    EXPECT_FALSE(end);
    return end ? hs::ErrorCode::kInvariant : end.error().m_code;
  }

  std::atomic<int> m_status{200};
  hs::HttpServer m_server;
  hs::UpstreamPool m_pool;
};

// A store that refused this node's access for a while was taken for one that
// refuses the record: jobs and requests were given up.
TEST_F(HttpLogTest, RefusedAccessIsNotARefusalOfTheRecord) {
  EXPECT_EQ(AppendError(401), hs::ErrorCode::kUnavailable);
  EXPECT_EQ(AppendError(403), hs::ErrorCode::kUnavailable);
}

TEST_F(HttpLogTest, TellsRefusalsOfTheRecordFromAStoreThatCannotServeNow) {
  EXPECT_EQ(AppendError(400), hs::ErrorCode::kInvalidArgument);
  EXPECT_EQ(AppendError(413), hs::ErrorCode::kInvalidArgument);
  EXPECT_EQ(AppendError(429), hs::ErrorCode::kUnavailable);
  EXPECT_EQ(AppendError(503), hs::ErrorCode::kUnavailable);
  EXPECT_EQ(AppendError(507), hs::ErrorCode::kUnavailable);
}

TEST_F(HttpLogTest, TellsFencesAndConflictsFromUnknownOutcomes) {
  EXPECT_EQ(AppendError(409), hs::ErrorCode::kFenced);
  EXPECT_EQ(AppendError(412), hs::ErrorCode::kConflict);
  EXPECT_EQ(AppendError(500), hs::ErrorCode::kTimeout);
  EXPECT_EQ(AppendError(502), hs::ErrorCode::kTimeout);
  EXPECT_EQ(AppendError(504), hs::ErrorCode::kTimeout);
}

}  // namespace
}  // namespace platform
