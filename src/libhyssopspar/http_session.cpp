#include "pvt/http_session.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "hyssopspar/connection_budget.h"
#include "pvt/message_reader.h"
#include "pvt/net.h"

namespace hyssopspar::pvt {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// One connection: reads a request, calls the handler, writes the response, and
/// repeats this.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<ServerState> shared)
      : m_stream(std::move(socket)),
        m_shared(std::move(shared)),
        m_buffer(m_shared->m_limits.m_max_request_header_bytes +
                 kBodyReadBytes) {
    m_shared->m_open_connections.fetch_add(1);
    m_charge.m_server = m_shared.get();
  }

  ~Session() {
    ConnectionBudget::Process().Remove(&m_charge);
    m_shared->m_open_connections.fetch_sub(1);
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Run() {
    m_charge.m_close = [weak = weak_from_this()] {
      if (const std::shared_ptr<Session> self = weak.lock()) {
        asio::post(self->m_stream.get_executor(),
                   [self] { self->CloseForOthers(); });
      }
    };
    ConnectionBudget::Process().Add(&m_charge);
    asio::dispatch(m_stream.get_executor(),
                   [self = shared_from_this()] { self->WaitForRequest(); });
  }

 private:
  /// Waits for the first bytes of a request for up to the idle timeout. The
  /// rest is then read within the I/O timeout.
  void WaitForRequest() {
    m_charge.m_waiting_since.store(Clock::now().time_since_epoch().count());
    if (m_buffer.size() > 0) {
      Read();
      return;
    }
    if (m_buffer.capacity() > kMaxIdleBufferBytes) {
      m_buffer.shrink_to_fit();
    }
    SetHeldBytes(0);
    m_stream.expires_after(m_shared->m_limits.m_idle_timeout);
    m_stream.async_read_some(
        m_buffer.prepare(kHeaderReadBytes),
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
    m_charge.m_is_closable.store(true);
    m_stream.expires_after(m_shared->m_limits.m_io_timeout);
    Parse();
  }

  void Parse() {
    beast::error_code ec;
    ParseStep step = ParseBuffered(&*m_parser, &m_buffer, &ec);
    if (step == ParseStep::kHeader) {
      step = ParseBuffered(&*m_parser, &m_buffer, &ec);
    }
    if (step == ParseStep::kFailed) {
      RejectUnparsable(ec);
    } else if (!SetHeldBytes(FieldsMemory(*m_parser) + BodyMemory(*m_parser))) {
      RejectForMemory();
    } else if (step == ParseStep::kDone) {
      Handle();
    } else {
      ReadMore();
    }
  }

  void ReadMore() {
    m_stream.async_read_some(
        m_buffer.prepare(NextReadBytes(m_buffer, m_parser->is_header_done())),
        [self = shared_from_this()](beast::error_code ec, std::size_t bytes) {
          self->m_buffer.commit(bytes);
          if (!ec) {
            self->Parse();
          } else if (ec == asio::error::eof) {
            self->RejectUnparsable(http::error::partial_message);
          } else if (ec == beast::error::timeout) {
            ConnectionBudget::Process().Count(ConnectionRefusal::kSlowSender);
          }
        });
  }

  void RejectUnparsable(beast::error_code ec) {
    if (ec == http::error::body_limit) {
      Reject(ConnectionRefusal::kBody,
             ErrorResponse(413, "too-large", "request body too large"));
    } else if (ec == http::error::header_limit ||
               ec == http::error::buffer_overflow) {
      Reject(ConnectionRefusal::kHeader,
             ErrorResponse(431, "too-large", "request header too large"));
    } else {
      Reject(ConnectionRefusal::kMalformed,
             ErrorResponse(400, "malformed", "bad HTTP request"));
    }
  }

  void RejectForMemory() {
    HttpResponse response =
        ErrorResponse(503, "not-run", "too much memory in use");
    response.m_headers["retry-after"] = "1";
    Reject(ConnectionRefusal::kMemory, std::move(response));
  }

  /// Answers a request that was not read to its end, or that no handler has
  /// received, and closes the connection.
  void Reject(ConnectionRefusal reason, HttpResponse response) {
    ConnectionBudget::Process().Count(reason);
    m_parser.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_keep_alive = false;
    m_has_unread_request = true;
    m_shared->m_in_flight.fetch_add(1);
    Write(std::move(response));
  }

  void Handle() {
    const std::size_t body_bytes = m_parser->get().body().size();
    if (!SetHeldBytes(FieldsMemory(*m_parser) + kHandlerCopies * body_bytes)) {
      RejectForMemory();
      return;
    }
    // Until here the connection may be closed in favour of another one: no
    // handler has its request.
    m_charge.m_waiting_since.store(0);
    m_charge.m_is_closable.store(false);
    m_stream.expires_never();
    http::request<http::string_body> message = m_parser->release();
    m_parser.reset();
    m_keep_alive = message.keep_alive();
    HttpRequest request;
    request.m_method = std::string(message.method_string());
    request.m_target = std::string(message.target());
    request.m_headers = CopyHeaders(message, &request.m_ambiguous_headers);
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
    m_charge.m_is_closable.store(true);
    if (!SetHeldBytes(response.m_body.size())) {
      ConnectionBudget::Process().Count(ConnectionRefusal::kMemory);
      m_shared->m_in_flight.fetch_sub(1);
      m_stream.close();
      return;
    }
    m_keep_alive =
        m_keep_alive && !m_is_unwanted && m_shared->m_accepting.load();
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
    m_charge.m_is_closable.store(false);
    m_response.reset();
    if (ec == beast::error::timeout) {
      ConnectionBudget::Process().Count(ConnectionRefusal::kSlowReader);
    }
    if (ec || !m_keep_alive) {
      beast::error_code ignored;
      m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
      if (!ec && m_has_unread_request) {
        SetHeldBytes(kDiscardReadBytes);
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

  /// Tells the budget that the session holds \p bytes beside its buffer.
  bool SetHeldBytes(std::size_t bytes) {
    return ConnectionBudget::Process().TrySet(
        &m_charge, kSessionBytes + m_buffer.capacity() + bytes);
  }

  /// Closes the connection, to make room for others or because the server
  /// stops. A request that a handler received in the meantime is still
  /// answered, as is one that has reached a stopping server.
  void CloseForOthers() {
    const bool is_waiting = m_charge.m_waiting_since.load() > 0;
    const bool has_request_to_answer =
        is_waiting && !m_shared->m_accepting.load() && HasReceivedBytes();
    if ((m_charge.m_is_closable.load() || is_waiting) &&
        !has_request_to_answer) {
      m_stream.close();
    } else {
      m_is_unwanted = true;
    }
  }

  /// True if bytes of the next request have arrived, read or not.
  bool HasReceivedBytes() {
    beast::error_code ignored;
    return m_buffer.size() > 0 || m_stream.socket().available(ignored) > 0;
  }

  static constexpr std::size_t kDiscardReadBytes = 4096;
  /// Limits of what is read from a client after its request was rejected.
  static constexpr std::size_t kMaxDiscardedBytes = 64 << 20;
  static constexpr milliseconds kMaxDiscardTime{5000};
  /// Memory of a session, its socket and its timer.
  static constexpr std::size_t kSessionBytes = 2048;
  /// A handler keeps a request, a copy that it sends on, and its answer.
  static constexpr std::size_t kHandlerCopies = 3;

  beast::tcp_stream m_stream;
  std::shared_ptr<ServerState> m_shared;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::optional<http::response<http::string_body>> m_response;
  ConnectionCharge m_charge;
  bool m_keep_alive = true;
  bool m_is_unwanted = false;
  bool m_has_unread_request = false;
  std::size_t m_discarded_bytes = 0;
};

}  // namespace

void StartSession(tcp::socket socket, std::shared_ptr<ServerState> state) {
  std::make_shared<Session>(std::move(socket), std::move(state))->Run();
}

}  // namespace hyssopspar::pvt
