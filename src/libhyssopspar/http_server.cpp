#include "hyssopspar/http_server.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/error.hpp>
#include <exception>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "hyssopspar/connection_budget.h"
#include "hyssopspar/logging.h"
#include "pvt/http_session.h"
#include "pvt/net.h"
#include "pvt/run_loop.h"

namespace hyssopspar {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr const char* kLogComponent = "http";
/// Time until an attempt to accept without a free descriptor is repeated.
constexpr milliseconds kDescriptorPause{20};

}  // namespace

void HandleWithReply(const HttpHandler& handler,
                     HttpRequest request,
                     HttpReply reply) {
  const auto has_replied = std::make_shared<std::atomic<bool>>(false);
  const HttpReply reply_once =
      [has_replied, reply = std::move(reply)](HttpResponse response) {
        if (!has_replied->exchange(true)) {
          reply(std::move(response));
        }
      };
  const std::string target = request.m_target;
  try {
    handler(std::move(request), reply_once);
  } catch (const std::exception& e) {
    Log(kLogComponent)
        ->critical("unexpected-error target={} error=\"{}\"", target, e.what());
    reply_once(ErrorResponse(504, "unknown", "internal error"));
  }
}

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  asio::io_context m_io;
  /// A session whose handler has the request is not work of m_io, nor is an
  /// acceptor that is closed.
  asio::executor_work_guard<asio::io_context::executor_type> m_work{
      m_io.get_executor()};
  tcp::acceptor m_acceptor{m_io};
  asio::steady_timer m_accept_timer{m_io};
  std::shared_ptr<pvt::ServerState> m_shared =
      std::make_shared<pvt::ServerState>();
  std::vector<std::thread> m_threads;
  int m_thread_count = 1;

  void Accept() {
    m_acceptor.async_accept(asio::make_strand(m_io),
                            [this](beast::error_code ec, tcp::socket socket) {
                              OnAccept(ec, std::move(socket));
                            });
  }

  void OnAccept(beast::error_code ec, tcp::socket socket) {
    if (!m_acceptor.is_open()) {
      return;
    }
    if (ec == asio::error::no_descriptors) {
      WaitForDescriptor();
      return;
    }
    if (!ec && HasRoom()) {
      beast::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      pvt::StartSession(std::move(socket), m_shared);
    }
    Accept();
  }

  /// At the limit of connections, closes one that waits for a request, so that
  /// silent clients don't keep others out. Returns false if there is none.
  bool HasRoom() {
    const std::size_t limit = m_shared->m_limits.m_max_connections;
    if (limit == 0 || m_shared->m_open_connections.load() < limit ||
        ConnectionBudget::Process().CloseLongestWaiting(m_shared.get())) {
      return true;
    }
    ConnectionBudget::Process().Count(ConnectionRefusal::kConnections);
    return false;
  }

  /// Accepts again after a pause. The connection stays in the queue of the
  /// listening socket, so accepting at once would fail again without end.
  void WaitForDescriptor() {
    ConnectionBudget::Process().Count(ConnectionRefusal::kDescriptors);
    ConnectionBudget::Process().CloseLongestWaiting(m_shared.get());
    m_accept_timer.expires_after(kDescriptorPause);
    m_accept_timer.async_wait([this](beast::error_code ec) {
      if (!ec && m_acceptor.is_open()) {
        Accept();
      }
    });
  }
};

HttpServer::HttpServer(HttpHandler handler,
                       HttpServerLimits limits,
                       int threads)
    : m_impl(std::make_shared<Impl>()) {
  m_impl->m_shared->m_handler = std::move(handler);
  m_impl->m_shared->m_limits = limits;
  m_impl->m_thread_count = threads;
}

HttpServer::~HttpServer() {
  Stop();
}

Result<void> HttpServer::Start(const std::string& address) {
  beast::error_code ec;
  const tcp::endpoint endpoint = pvt::ParseAddress(address, ec);
  if (!ec) {
    m_impl->m_acceptor.open(endpoint.protocol(), ec);
  }
  if (!ec) {
    m_impl->m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  }
  if (!ec) {
    m_impl->m_acceptor.bind(endpoint, ec);
  }
  if (!ec) {
    m_impl->m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return Fail(ErrorCode::kUnavailable,
                "can't listen on " + address + ": " + ec.message());
  }
  m_impl->Accept();
  for (int i = 0; i < m_impl->m_thread_count; ++i) {
    m_impl->m_threads.emplace_back(
        [impl = m_impl] { pvt::RunGuarded(&impl->m_io, "server", nullptr); });
  }
  return Ok();
}

std::uint16_t HttpServer::Port() const {
  beast::error_code ec;
  return m_impl->m_acceptor.local_endpoint(ec).port();
}

void HttpServer::StopAccepting() {
  m_impl->m_shared->m_accepting.store(false);
  // A plain pointer: the queue belongs to Impl, so a handler that owned Impl
  // and never ran would keep Impl alive for ever.
  Impl* const impl = m_impl.get();
  asio::post(impl->m_io, [impl] {
    beast::error_code ignored;
    impl->m_acceptor.close(ignored);
  });
}

void HttpServer::CloseIdleConnections(TimePoint idle_since) {
  ConnectionBudget::Process().CloseWaiting(m_impl->m_shared.get(), idle_since);
}

std::size_t HttpServer::InFlightRequests() const {
  return m_impl->m_shared->m_in_flight.load();
}

std::size_t HttpServer::OpenConnections() const {
  return m_impl->m_shared->m_open_connections.load();
}

void HttpServer::Stop() {
  m_impl->m_io.stop();
  for (std::thread& thread : m_impl->m_threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

}  // namespace hyssopspar
