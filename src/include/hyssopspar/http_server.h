/// \file
/// HTTP server on top of Boost.Beast.

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

/// Sends the response to one request. Call it once, from any thread.
using HttpReply = std::function<void(HttpResponse)>;

/// Handles one request. Runs on a server thread, so it must not block for long
/// unless other threads remain to serve the other connections.
using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

/// Calls \p handler. When it throws before it has replied, the client is told
/// that the outcome is unknown. Later replies are ignored.
void HandleWithReply(const HttpHandler& handler,
                     HttpRequest request,
                     HttpReply reply);

/// Limits of a server, on the requests it receives and on its connections.
struct HttpServerLimits {
  std::size_t m_max_request_body_bytes = 1 << 20;
  std::size_t m_max_request_header_bytes = 16 << 10;
  /// Open connections; zero means no limit. Connections above it are closed at
  /// once.
  std::size_t m_max_connections = 0;
  /// Time allowed for a client to send a complete request, and to receive a
  /// complete response.
  milliseconds m_io_timeout = std::chrono::seconds(30);
  /// Time that a connection may stay open without a request.
  milliseconds m_idle_timeout = std::chrono::minutes(5);
};

/// Accepts HTTP/1.1 connections on one address.
class HttpServer {
 public:
  /// \p threads is the number of threads that serve connections.
  HttpServer(HttpHandler handler, HttpServerLimits limits, int threads);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens on \p address ("ip:port"; port 0 selects a free port). Fails with
  /// kUnavailable when the address can't be bound.
  Result<void> Start(const std::string& address);

  /// Port that the server listens on.
  std::uint16_t Port() const;

  /// Refuses new connections. Open ones are served until Stop(), and closed
  /// after their next response, which says "Connection: close".
  void StopAccepting();

  /// After StopAccepting(), closes the open connections on which no part of a
  /// request has arrived since \p idle_since, or later.
  void CloseIdleConnections(TimePoint idle_since);

  /// Number of requests whose response is not yet completely sent.
  std::size_t InFlightRequests() const;

  /// Number of open connections, with requests or without.
  std::size_t OpenConnections() const;

  /// Ends the threads and waits for them. Requests in flight get no response.
  void Stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace hyssopspar
