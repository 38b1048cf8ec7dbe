#include "pvt/exchange.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
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

/// Largest accepted response body.
constexpr std::uint64_t kMaxResponseBytes = 64ULL << 20;
/// Limits trailers and chunk extensions of a response.
constexpr std::size_t kMaxBufferBytes = 32 << 10;
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
  if (ec == http::error::body_limit || ec == http::error::header_limit ||
      ec == http::error::buffer_overflow) {
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
  beast::flat_buffer m_buffer{kMaxBufferBytes};
  http::request<http::string_body> m_request;
  std::optional<http::response_parser<http::string_body>> m_parser;
  TimePoint m_deadline;
  Callback m_callback;
  ConnectionCharge m_charge;
  bool m_connected = false;

  Impl(asio::any_io_executor executor, std::string address)
      : m_address(std::move(address)), m_stream(std::move(executor)) {
    ConnectionBudget::Process().Add(&m_charge);
  }

  ~Impl() { ConnectionBudget::Process().Remove(&m_charge); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
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

void Exchange::Send(HttpRequest request, TimePoint deadline, Callback done) {
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
  message.body() = std::move(request.m_body);
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
  m_impl->m_request = {};
  m_impl->m_parser.emplace();
  m_impl->m_parser->body_limit(kMaxResponseBytes);
  ReadMore();
}

void Exchange::ReadMore() {
  m_impl->m_stream.async_read_some(
      m_impl->m_buffer.prepare(
          NextReadBytes(m_impl->m_buffer, m_impl->m_parser->is_header_done())),
      [self = shared_from_this()](beast::error_code ec, std::size_t bytes) {
        self->m_impl->m_buffer.commit(bytes);
        if (ec == asio::error::eof) {
          self->ParseEnd();
        } else if (ec) {
          self->Finish(Fail(ErrorCodeAfterSend(ec), ec.message()));
        } else {
          self->Parse();
        }
      });
}

void Exchange::Parse() {
  beast::error_code ec;
  ParseStep step = ParseBuffered(&*m_impl->m_parser, &m_impl->m_buffer, &ec);
  if (step == ParseStep::kHeader) {
    step = ParseBuffered(&*m_impl->m_parser, &m_impl->m_buffer, &ec);
  }
  if (step == ParseStep::kFailed) {
    const ErrorCode code = ErrorCodeAfterSend(ec);
    ConnectionBudget::Process().Count(code == ErrorCode::kTooLarge
                                          ? ConnectionRefusal::kAnswerTooLarge
                                          : ConnectionRefusal::kMalformed);
    Finish(Fail(code, ec.message()));
  } else if (!ConnectionBudget::Process().TrySet(
                 &m_impl->m_charge, m_impl->m_buffer.capacity() +
                                        FieldsMemory(*m_impl->m_parser) +
                                        BodyMemory(*m_impl->m_parser))) {
    ConnectionBudget::Process().Count(ConnectionRefusal::kMemory);
    Finish(Fail(ErrorCode::kTooLarge, "no memory for the answer"));
  } else if (step == ParseStep::kDone) {
    Deliver();
  } else {
    ReadMore();
  }
}

/// The connection has ended, which may be the end of the body.
void Exchange::ParseEnd() {
  beast::error_code ec = http::error::end_of_stream;
  if (m_impl->m_parser->got_some()) {
    m_impl->m_parser->put_eof(ec);
  }
  if (ec) {
    Finish(Fail(ErrorCodeAfterSend(ec), ec.message()));
    return;
  }
  Deliver();
}

void Exchange::Deliver() {
  http::response<http::string_body> message = m_impl->m_parser->release();
  HttpResponse response;
  response.m_status = static_cast<int>(message.result_int());
  response.m_headers = CopyHeaders(message);
  response.m_body = std::move(message.body());
  if (!message.keep_alive()) {
    Close();
  }
  Finish(std::move(response));
}

void Exchange::Finish(Result<HttpResponse> result) {
  m_impl->m_stream.expires_never();
  if (!result || m_impl->m_buffer.size() > 0) {
    Close();
  }
  m_impl->m_parser.reset();
  if (m_impl->m_buffer.capacity() > kMaxIdleBufferBytes) {
    m_impl->m_buffer.clear();
    m_impl->m_buffer.shrink_to_fit();
  }
  ConnectionBudget::Process().TrySet(&m_impl->m_charge,
                                     m_impl->m_buffer.capacity());
  Callback done = std::move(m_impl->m_callback);
  m_impl->m_callback = nullptr;
  done(std::move(result));
}

}  // namespace hyssopspar::pvt
