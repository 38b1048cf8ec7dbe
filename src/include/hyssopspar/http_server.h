/// \file
/// HTTP server adapter over Boost.Beast.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "hyssopspar/error.h"
#include "hyssopspar/http_message.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// Sends the answer of one request. May be called from any thread, once.
using HttpReply = std::function<void(HttpResponse)>;

/// Handles one request. Runs on a server thread and must not block for long
/// unless the server has threads to spare.
using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

/// Limits of a server; zero connections means no limit.
struct HttpServerLimits {
  std::size_t m_body_bytes = 1 << 20;
  std::size_t m_header_bytes = 16 << 10;
  std::size_t m_connections = 0;
  /// Time a peer has to send a whole request, or take a whole answer.
  milliseconds m_io_timeout = std::chrono::seconds(30);
  /// Time a connection may stay open between requests.
  milliseconds m_idle_timeout = std::chrono::minutes(5);
};

/// Accepts HTTP/1.1 connections on one address.
class HttpServer {
 public:
  HttpServer(HttpHandler handler, HttpServerLimits limits, int threads);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens on \p address ("ip:port"; port 0 picks one).
  /// \returns kUnavailable when the address can't be bound.
  Result<void> Start(const std::string& address);

  /// Port in use.
  std::uint16_t Port() const;

  /// Refuses new connections; open ones are answered with "Connection: close".
  void StopAccepting();

  /// Requests whose answer is not yet fully sent.
  std::size_t InFlight() const;

  /// Closes everything and joins the threads.
  void Stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace hyssopspar
