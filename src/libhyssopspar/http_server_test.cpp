#include "hyssopspar/http_server.h"

#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <stdexcept>
#include <string>

namespace hyssopspar {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// One connection of a client that sends all of a request before it reads.
class Client {
 public:
  explicit Client(std::uint16_t port) : m_socket(m_io) {
    m_socket.open(tcp::v4());
    // Small, so that a large request can't wait in the client's buffer.
    m_socket.set_option(asio::socket_base::send_buffer_size(64 << 10));
    m_socket.connect({asio::ip::address_v4::loopback(), port});
  }

  /// Returns the error of the write, if any.
  boost::system::error_code Send(const std::string& bytes) {
    boost::system::error_code ec;
    asio::write(m_socket, asio::buffer(bytes), ec);
    return ec;
  }

  /// Reads until the server closes the connection.
  std::string ReadAll() {
    std::string text;
    boost::system::error_code ec;
    asio::read(m_socket, asio::dynamic_buffer(text), ec);
    return text;
  }

 private:
  asio::io_context m_io;
  tcp::socket m_socket;
};

std::string PostWithBody(std::size_t bytes) {
  return "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: " +
         std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x');
}

HttpServerLimits SmallBodies() {
  HttpServerLimits limits;
  limits.m_max_request_body_bytes = 1000;
  return limits;
}

// A server that closes a connection with unread bytes resets it, and the client
// never sees why its request was refused.
TEST(HttpServerTest, RefusalOfLargeBodyReachesClientThatIsStillSending) {
  HttpServer server([](const HttpRequest&, const HttpReply&) {}, SmallBodies(),
                    1);
  ASSERT_TRUE(server.Start("127.0.0.1:0"));
  Client client(server.Port());
  const boost::system::error_code sent = client.Send(PostWithBody(32 << 20));
  EXPECT_FALSE(sent) << sent.message();
  EXPECT_EQ(client.ReadAll().substr(0, 12), "HTTP/1.1 413");
  server.Stop();
}

std::string Get(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
}

// An error in one request's handler leaves its outcome unknown, and does not
// concern other requests.
TEST(HttpServerTest, HandlerThatThrowsFailsItsOwnRequestOnly) {
  HttpServer server(
      [](const HttpRequest& request, const HttpReply& reply) {
        if (request.m_target == "/bad") {
          throw std::runtime_error("planted");
        }
        reply(JsonResponse(200, "{}"));
      },
      HttpServerLimits(), 1);
  ASSERT_TRUE(server.Start("127.0.0.1:0"));
  Client bad(server.Port());
  bad.Send(Get("/bad"));
  EXPECT_EQ(bad.ReadAll().substr(0, 12), "HTTP/1.1 504");
  Client good(server.Port());
  good.Send(Get("/good"));
  EXPECT_EQ(good.ReadAll().substr(0, 12), "HTTP/1.1 200");
  server.Stop();
}

TEST(HttpServerTest, FirstReplyCounts) {
  int status = 0;
  HandleWithReply(
      [](const HttpRequest&, const HttpReply& reply) {
        reply(JsonResponse(200, "{}"));
        throw std::runtime_error("planted");
      },
      HttpRequest(),
      [&status](const HttpResponse& response) { status = response.m_status; });
  EXPECT_EQ(status, 200);
}

// Parsers quote the text that they reject.
TEST(HttpServerTest, ErrorResponseTakesDetailsThatAreNotUtf8) {
  EXPECT_NO_THROW(ErrorResponse(400, "malformed", "last read: '\xff\xfe'"));
}

// Of two different values the last one counted, unseen: a caller could send
// another tenant's key after its own.
TEST(HttpServerTest, NamesHeadersWithDifferentValues) {
  HttpRequest received;
  HttpServer server(
      [&received](const HttpRequest& request, const HttpReply& reply) {
        received = request;
        reply(HttpResponse());
      },
      HttpServerLimits(), 1);
  ASSERT_TRUE(server.Start("127.0.0.1:0").has_value());
  Client client(server.Port());
  client.Send(
      "GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n"
      "API-Key: one\r\nx-same: 1\r\nApi-key: two\r\nx-same: 1\r\n\r\n");
  EXPECT_NE(client.ReadAll().find("200"), std::string::npos);
  server.Stop();
  EXPECT_EQ(received.m_ambiguous_headers, std::set<std::string>{"api-key"});
  EXPECT_EQ(HeaderOr(received.m_headers, "api-key"), "two");
  EXPECT_EQ(HeaderOr(received.m_headers, "x-same"), "1");
}

}  // namespace
}  // namespace hyssopspar
