// Messages that exceed the limits of servers and clients, or that two parsers
// could understand differently.

#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>
#include <vector>

#include "hyssopspar/connection_budget.h"
#include "hyssopspar/http_client.h"
#include "hyssopspar/http_server.h"
#include "hyssopspar/json_depth.h"

namespace hyssopspar {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Sends \p bytes to \p port, ends the sending side, and returns all answers.
std::string Exchange(std::uint16_t port, const std::string& bytes) {
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect({asio::ip::address_v4::loopback(), port});
  boost::system::error_code ec;
  asio::write(socket, asio::buffer(bytes), ec);
  socket.shutdown(tcp::socket::shutdown_send, ec);
  std::string text;
  asio::read(socket, asio::dynamic_buffer(text), ec);
  return text;
}

class HostileMessagesTest : public testing::Test {
 protected:
  HostileMessagesTest()
      : m_server(
            [this](HttpRequest request, const HttpReply& reply) {
              ++m_handled;
              m_last = std::move(request);
              reply(JsonResponse(200, "{}"));
            },
            HttpServerLimits(),
            1) {
    EXPECT_TRUE(m_server.Start("127.0.0.1:0"));
  }

  /// Status of the first answer, and checks that no handler was called.
  std::string Refused(const std::string& bytes) {
    const std::string answer = Exchange(m_server.Port(), bytes);
    EXPECT_EQ(m_handled.load(), 0) << bytes.substr(0, 200);
    return answer.substr(0, 12);
  }

  std::atomic<int> m_handled{0};
  HttpRequest m_last;
  HttpServer m_server;
};

const std::string kPost = "POST /x HTTP/1.1\r\nhost: a\r\n";

// A proxy and this server could see different ends of such a message, and so
// different requests.
TEST_F(HostileMessagesTest, AmbiguousLengthsAreRefused) {
  for (const std::string& headers :
       {std::string("content-length: 2\r\ncontent-length: 3\r\n"),
        std::string("content-length: 2\r\ntransfer-encoding: chunked\r\n"),
        std::string("transfer-encoding: chunked\r\ncontent-length: 2\r\n"),
        std::string("transfer-encoding: gzip\r\n"),
        std::string("transfer-encoding: xchunked\r\ncontent-length: 2\r\n"),
        std::string("transfer-encoding: chunked, identity\r\n"
                    "content-length: 2\r\n"),
        std::string("content-length: +2\r\n"),
        std::string("content-length: 99999999999999999999\r\n"),
        std::string("x: 1\ncontent-length: 2\r\n"),
        std::string("x: 1\rcontent-length: 2\r\n"),
        std::string("content-length : 2\r\n")}) {
    EXPECT_EQ(Refused(kPost + headers + "\r\n{}GET /y HTTP/1.1\r\n\r\n"),
              "HTTP/1.1 400")
        << headers;
  }
}

TEST_F(HostileMessagesTest, MalformedChunksAreRefused) {
  const std::string head = kPost + "transfer-encoding: chunked\r\n\r\n";
  for (const std::string& chunks :
       {std::string("2\n{}\r\n0\r\n\r\n"), std::string("z\r\n{}\r\n0\r\n\r\n"),
        std::string("2\r\n{}0\r\n\r\n"), std::string("-2\r\n{}\r\n0\r\n\r\n"),
        std::string("fffffffffffffffff\r\n{}")}) {
    EXPECT_EQ(Refused(head + chunks), "HTTP/1.1 400") << chunks;
  }
}

// Trailers and extensions without end filled the read buffer without bound.
TEST_F(HostileMessagesTest, LargeTrailersAndExtensionsAreRefused) {
  const std::string head = kPost + "transfer-encoding: chunked\r\n\r\n";
  const std::string filler(64 << 10, 'a');
  EXPECT_EQ(Refused(head + "2\r\n{}\r\n0\r\nx: " + filler), "HTTP/1.1 431");
  EXPECT_EQ(Refused(head + "2;x=" + filler), "HTTP/1.1 431");
  EXPECT_EQ(Refused(kPost + "x: " + filler), "HTTP/1.1 431");
}

// A client within the limits of the site (16,384 bytes of header, 262,144 of
// body) must not meet the defaults.
TEST_F(HostileMessagesTest, LargestRequestOfTheSiteIsServed) {
  ConnectionBudget::Process().SetLimit(4 << 20);
  const std::string start = kPost + "connection: close\r\nx: ";
  const std::string body(262144, 'b');
  std::string head_end =
      "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n";
  const std::string filler(16383 - start.size() - head_end.size(), 'a');
  EXPECT_EQ(
      Exchange(m_server.Port(), start + filler + head_end + body).substr(0, 12),
      "HTTP/1.1 200");
  EXPECT_EQ(m_last.m_body, body);
  EXPECT_EQ(m_last.m_headers["x"], filler);
  EXPECT_EQ(
      Exchange(m_server.Port(), kPost +
                                    "connection: close\r\ntransfer-encoding: "
                                    "chunked\r\n\r\n40000;x=y\r\n" +
                                    body + "\r\n0\r\nz: 1\r\n\r\n")
          .substr(0, 12),
      "HTTP/1.1 200");
  EXPECT_EQ(m_last.m_body, body);
  ConnectionBudget::Process().SetLimit(SIZE_MAX);
}

// "not-run" must be true: a request without room never reaches a handler.
// Small requests still do, so that health checks are answered.
TEST_F(HostileMessagesTest, RequestBeyondTheBudgetIsNotRun) {
  ConnectionBudget::Process().SetLimit(32 << 10);
  const std::string body(100000, 'b');
  const std::string answer = Exchange(
      m_server.Port(), kPost + "content-length: 100000\r\n\r\n" + body);
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 503");
  EXPECT_NE(answer.find("not-run"), std::string::npos);
  EXPECT_EQ(m_handled.load(), 0);
  const std::string small = Exchange(
      m_server.Port(), "GET /healthz HTTP/1.1\r\nconnection: close\r\n\r\n");
  EXPECT_EQ(small.substr(0, 12), "HTTP/1.1 200");
  ConnectionBudget::Process().SetLimit(SIZE_MAX);
}

std::string Join(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += part;
  }
  return text;
}

/// Result of a call to a server that answers with \p bytes and then closes.
Result<HttpResponse> CallServerThatAnswers(const std::string& bytes) {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  std::thread server([&acceptor, &bytes] {
    tcp::socket socket = acceptor.accept();
    char request[4096];
    boost::system::error_code ec;
    socket.read_some(asio::buffer(request), ec);
    asio::write(socket, asio::buffer(bytes), ec);
    socket.shutdown(tcp::socket::shutdown_send, ec);
    socket.read_some(asio::buffer(request), ec);
  });
  Result<HttpResponse> result = SendSingleRequest(
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), "GET",
      "/", "", Clock::now() + std::chrono::seconds(20));
  server.join();
  return result;
}

TEST(HostileAnswersTest, LimitsOfAnswersHold) {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
  const std::string filler(64 << 10, 'a');
  for (const std::string& answer :
       {Join({chunked, "0\r\nx: ", filler}), Join({chunked, "2;x=", filler}),
        Join({"HTTP/1.1 200 OK\r\nx: ", filler}),
        std::string(
            "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n")}) {
    const Result<HttpResponse> result = CallServerThatAnswers(answer);
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().m_code, ErrorCode::kTooLarge)
        << answer.substr(0, 90);
  }
  for (const char* lengths :
       {"content-length: 2\r\ncontent-length: 3\r\n",
        "content-length: 2\r\ntransfer-encoding: chunked\r\n"}) {
    const Result<HttpResponse> result =
        CallServerThatAnswers(Join({"HTTP/1.1 200 OK\r\n", lengths, "\r\n{}"}));
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().m_code, ErrorCode::kMalformed) << lengths;
  }
}

// The store's answers have up to 2 MB, and workers may end an answer by closing
// the connection.
TEST(HostileAnswersTest, LargestAnswersAreTaken) {
  ConnectionBudget::Process().SetLimit(8 << 20);
  const std::string body(2 << 20, 'b');
  for (const std::string& length :
       {"content-length: " + std::to_string(body.size()) + "\r\n",
        std::string()}) {
    const Result<HttpResponse> result = CallServerThatAnswers(
        Join({"HTTP/1.1 200 OK\r\n", length, "\r\n", body}));
    ASSERT_TRUE(result);
    EXPECT_EQ(result.value().m_body, body);
  }
  ConnectionBudget::Process().SetLimit(SIZE_MAX);
}

TEST(JsonDepthTest, CountsBracketsOutsideOfStrings) {
  EXPECT_FALSE(IsNestedDeeperThan(R"({"a":["[[[[\"[["],"b":{}})", 2));
  EXPECT_TRUE(IsNestedDeeperThan(R"({"a":[[]]})", 2));
  EXPECT_FALSE(IsNestedDeeperThan("[][][]]]]", 1));
}

}  // namespace
}  // namespace hyssopspar
