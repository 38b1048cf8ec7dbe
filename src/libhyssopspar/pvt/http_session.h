/// \file
/// One connection of an HttpServer.

#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>

#include "hyssopspar/http_server.h"

namespace hyssopspar::pvt {

/// State that all sessions of one server share.
struct ServerState {
  HttpHandler m_handler;
  HttpServerLimits m_limits;
  std::atomic<bool> m_accepting{true};
  std::atomic<std::size_t> m_in_flight{0};
  std::atomic<std::size_t> m_open_connections{0};
};

/// Serves \p socket until its connection ends: reads a request, calls the
/// handler, writes the response, and repeats this.
void StartSession(boost::asio::ip::tcp::socket socket,
                  std::shared_ptr<ServerState> state);

}  // namespace hyssopspar::pvt
