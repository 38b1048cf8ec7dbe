#include "pvt/exchange.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "pvt/net.h"

namespace hyssopspar::pvt {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// Largest accepted response body.
constexpr std::uint64_t kMaxResponseBytes = 64ULL << 20;
/// A connect attempt that takes longer is abandoned and started again. The
/// limit is many round trips within a region, and less than the 1 s after which
/// the kernel sends a lost SYN again.
constexpr milliseconds kConnectTimeout{300};

Duration RemainingTime(TimePoint deadline) {
  return std::max(Duration::zero(), deadline - Clock::now());
}

/// The error code for a failure after at least one byte was sent.
ErrorCode ErrorCodeAfterSend(const beast::error_code& ec) {
  if (ec == beast::error::timeout) {
    return ErrorCode::kTimeout;
  }
  if (ec == http::error::body_limit || ec == http::error::header_limit) {
    return ErrorCode::kTooLarge;
  }
  const bool parse_error =
      ec.category() ==
      http::make_error_code(http::error::bad_version).category();
  const bool ended =
      ec == http::error::end_of_stream || ec == http::error::partial_message;
  return parse_error && !ended ? ErrorCode::kMalformed
                               : ErrorCode::kConnectionLost;
}

}  // namespace

struct Exchange::Impl {
  std::string m_address;
  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  http::request<http::string_body> m_request;
  std::optional<http::response_parser<http::string_body>> m_parser;
  TimePoint m_deadline;
  Callback m_callback;
  bool m_connected = false;

  Impl(asio::any_io_executor executor, std::string address)
      : m_address(std::move(address)), m_stream(std::move(executor)) {}
};

Exchange::Exchange(asio::any_io_executor executor, std::string address)
    : m_impl(std::make_unique<Impl>(std::move(executor), std::move(address))) {}

Exchange::~Exchange() = default;

bool Exchange::IsReusable() const {
  return m_impl->m_connected && !m_impl->m_callback;
}

void Exchange::Close() {
  beast::error_code ignored;
  m_impl->m_connected = false;
  m_impl->m_stream.socket().close(ignored);
}

bool Exchange::IsClosedByPeer() {
  beast::error_code ec;
  m_impl->m_stream.socket().non_blocking(true, ec);
  char byte = 0;
  m_impl->m_stream.socket().receive(asio::buffer(&byte, 1),
                                    tcp::socket::message_peek, ec);
  // An idle connection has nothing to read; an unsolicited byte could be taken
  // for the next response.
  return ec != asio::error::would_block;
}

void Exchange::Send(const HttpRequest& request,
                    TimePoint deadline,
                    Callback done) {
  m_impl->m_callback = std::move(done);
  m_impl->m_deadline = deadline;
  http::request<http::string_body>& message = m_impl->m_request;
  message = {};
  message.method_string(request.m_method);
  message.target(request.m_target);
  message.version(11);
  message.set(http::field::host, m_impl->m_address);
  for (const HttpHeaders::value_type& header : request.m_headers) {
    message.set(header.first, header.second);
  }
  message.body() = request.m_body;
  message.prepare_payload();
  if (m_impl->m_connected && IsClosedByPeer()) {
    Close();
  }
  if (m_impl->m_connected) {
    Write();
  } else {
    Connect();
  }
}

void Exchange::Connect() {
  beast::error_code ec;
  const tcp::endpoint endpoint = ParseAddress(m_impl->m_address, ec);
  if (ec) {
    Finish(Fail(ErrorCode::kNotSent, "bad address " + m_impl->m_address));
    return;
  }
  m_impl->m_stream.expires_after(
      std::min<Duration>(RemainingTime(m_impl->m_deadline), kConnectTimeout));
  m_impl->m_stream.async_connect(endpoint, [self = shared_from_this()](
                                               beast::error_code error) {
    if (error == beast::error::timeout &&
        Clock::now() < self->m_impl->m_deadline) {
      self->Connect();
      return;
    }
    if (error) {
      self->Finish(Fail(ErrorCode::kNotSent, error.message()));
      return;
    }
    beast::error_code ignored;
    self->m_impl->m_stream.socket().set_option(tcp::no_delay(true), ignored);
    self->m_impl->m_connected = true;
    self->Write();
  });
}

void Exchange::Write() {
  // The process may have been suspended since the request was made. Whatever
  // permitted it may have ended meanwhile.
  if (Clock::now() >= m_impl->m_deadline) {
    Finish(Fail(ErrorCode::kNotSent, "deadline passed before the request"));
    return;
  }
  m_impl->m_stream.expires_after(RemainingTime(m_impl->m_deadline));
  http::async_write(
      m_impl->m_stream, m_impl->m_request,
      [self = shared_from_this()](beast::error_code ec, std::size_t bytes) {
        if (ec) {
          const ErrorCode code =
              bytes == 0 ? ErrorCode::kNotSent : ErrorCodeAfterSend(ec);
          self->Finish(Fail(code, ec.message()));
          return;
        }
        self->Read();
      });
}

void Exchange::Read() {
  m_impl->m_parser.emplace();
  m_impl->m_parser->body_limit(kMaxResponseBytes);
  http::async_read(
      m_impl->m_stream, m_impl->m_buffer, *m_impl->m_parser,
      [self = shared_from_this()](beast::error_code ec, std::size_t) {
        if (ec) {
          self->Finish(Fail(ErrorCodeAfterSend(ec), ec.message()));
          return;
        }
        http::response<http::string_body> message =
            self->m_impl->m_parser->release();
        HttpResponse response;
        response.m_status = static_cast<int>(message.result_int());
        response.m_headers = CopyHeaders(message);
        response.m_body = std::move(message.body());
        if (!message.keep_alive()) {
          self->Close();
        }
        self->Finish(std::move(response));
      });
}

void Exchange::Finish(Result<HttpResponse> result) {
  m_impl->m_stream.expires_never();
  if (!result || m_impl->m_buffer.size() > 0) {
    Close();
  }
  Callback done = std::move(m_impl->m_callback);
  m_impl->m_callback = nullptr;
  done(std::move(result));
}

}  // namespace hyssopspar::pvt
