#include "hyssopspar/http_server.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <exception>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "hyssopspar/logging.h"
#include "pvt/net.h"
#include "pvt/run_loop.h"

namespace hyssopspar {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr const char* kLogComponent = "http";

/// State that all sessions of one server share.
struct SharedState {
  HttpHandler m_handler;
  HttpServerLimits m_limits;
  std::atomic<bool> m_accepting{true};
  std::atomic<std::size_t> m_in_flight{0};
  std::atomic<std::size_t> m_open_connections{0};
};

/// One connection: reads a request, calls the handler, writes the response, and
/// repeats this.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<SharedState> shared)
      : m_stream(std::move(socket)), m_shared(std::move(shared)) {
    m_shared->m_open_connections.fetch_add(1);
  }

  ~Session() { m_shared->m_open_connections.fetch_sub(1); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Run() {
    asio::dispatch(m_stream.get_executor(),
                   [self = shared_from_this()] { self->WaitForRequest(); });
  }

 private:
  /// Waits for the first bytes of a request for up to the idle timeout. The
  /// rest is then read within the I/O timeout.
  void WaitForRequest() {
    if (m_buffer.size() > 0) {
      Read();
      return;
    }
    m_stream.expires_after(m_shared->m_limits.m_idle_timeout);
    m_stream.async_read_some(
        m_buffer.prepare(kFirstReadBytes),
        [self = shared_from_this()](beast::error_code ec, std::size_t bytes) {
          if (!ec) {
            self->m_buffer.commit(bytes);
            self->Read();
          }
        });
  }

  void Read() {
    m_parser.emplace();
    m_parser->body_limit(m_shared->m_limits.m_max_request_body_bytes);
    m_parser->header_limit(static_cast<std::uint32_t>(
        m_shared->m_limits.m_max_request_header_bytes));
    m_stream.expires_after(m_shared->m_limits.m_io_timeout);
    http::async_read(
        m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          self->OnRead(ec);
        });
  }

  void OnRead(beast::error_code ec) {
    m_stream.expires_never();
    if (ec == http::error::body_limit) {
      Reject(ErrorResponse(413, "too-large", "request body too large"));
    } else if (ec == http::error::header_limit) {
      Reject(ErrorResponse(431, "too-large", "request header too large"));
      // The next branch handles all other errors of the HTTP parser. Socket
      // errors match no branch, which ends the session.
    } else if (ec.category() ==
                   http::make_error_code(http::error::end_of_stream)
                       .category() &&
               ec != http::error::end_of_stream) {
      Reject(ErrorResponse(400, "malformed", "bad HTTP request"));
    } else if (!ec) {
      Handle();
    }
  }

  /// Answers a request that was not read to its end, and closes the connection.
  void Reject(HttpResponse response) {
    m_keep_alive = false;
    m_has_unread_request = true;
    m_shared->m_in_flight.fetch_add(1);
    Write(std::move(response));
  }

  void Handle() {
    http::request<http::string_body> message = m_parser->release();
    m_keep_alive = message.keep_alive();
    HttpRequest request;
    request.m_method = std::string(message.method_string());
    request.m_target = std::string(message.target());
    request.m_headers = pvt::CopyHeaders(message, &request.m_ambiguous_headers);
    request.m_body = std::move(message.body());
    m_shared->m_in_flight.fetch_add(1);
    HandleWithReply(m_shared->m_handler, std::move(request),
                    [self = shared_from_this()](HttpResponse response) {
                      asio::post(
                          self->m_stream.get_executor(),
                          [self, response = std::move(response)]() mutable {
                            self->Write(std::move(response));
                          });
                    });
  }

  void Write(HttpResponse response) {
    m_keep_alive = m_keep_alive && m_shared->m_accepting.load();
    m_response.emplace();
    m_response->result(static_cast<unsigned>(response.m_status));
    m_response->version(11);
    for (const HttpHeaders::value_type& header : response.m_headers) {
      m_response->set(header.first, header.second);
    }
    m_response->keep_alive(m_keep_alive);
    m_response->body() = std::move(response.m_body);
    m_response->prepare_payload();
    m_stream.expires_after(m_shared->m_limits.m_io_timeout);
    http::async_write(
        m_stream, *m_response,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          self->OnWritten(ec);
        });
  }

  void OnWritten(beast::error_code ec) {
    m_shared->m_in_flight.fetch_sub(1);
    if (ec || !m_keep_alive) {
      beast::error_code ignored;
      m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
      if (!ec && m_has_unread_request) {
        m_stream.expires_after(kMaxDiscardTime);
        DiscardUnreadRequest();
      }
      return;
    }
    WaitForRequest();
  }

  /// Reads and discards the rest of the request. Closing a connection with
  /// unread bytes resets it, and the client could lose the response.
  void DiscardUnreadRequest() {
    m_buffer.clear();
    m_stream.async_read_some(
        m_buffer.prepare(kDiscardReadBytes),
        [self = shared_from_this()](beast::error_code ec, std::size_t bytes) {
          self->m_discarded_bytes += bytes;
          if (!ec && self->m_discarded_bytes < kMaxDiscardedBytes) {
            self->DiscardUnreadRequest();
          }
        });
  }

  static constexpr std::size_t kFirstReadBytes = 4096;
  static constexpr std::size_t kDiscardReadBytes = 16 << 10;
  /// Limits of what is read from a client after its request was rejected.
  static constexpr std::size_t kMaxDiscardedBytes = 64 << 20;
  static constexpr milliseconds kMaxDiscardTime{5000};

  beast::tcp_stream m_stream;
  std::shared_ptr<SharedState> m_shared;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::optional<http::response<http::string_body>> m_response;
  bool m_keep_alive = true;
  bool m_has_unread_request = false;
  std::size_t m_discarded_bytes = 0;
};

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
  tcp::acceptor m_acceptor{m_io};
  std::shared_ptr<SharedState> m_shared = std::make_shared<SharedState>();
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
    const std::size_t limit = m_shared->m_limits.m_max_connections;
    const bool at_limit =
        limit > 0 && m_shared->m_open_connections.load() >= limit;
    if (!ec && !at_limit) {
      beast::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<Session>(std::move(socket), m_shared)->Run();
    }
    Accept();
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

std::size_t HttpServer::InFlightRequests() const {
  return m_impl->m_shared->m_in_flight.load();
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
