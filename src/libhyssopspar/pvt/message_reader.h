/// \file
/// Parses HTTP messages out of a bounded buffer.

#pragma once

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>

namespace hyssopspar::pvt {

/// Largest reads, of the start of a message and of its body.
inline constexpr std::size_t kHeaderReadBytes = 4096;
inline constexpr std::size_t kBodyReadBytes = 16 << 10;
/// An idle connection keeps a buffer of at most this size.
inline constexpr std::size_t kMaxIdleBufferBytes = 4096;
/// Memory of one header field beside its text, in the parser and in the
/// HttpHeaders made of it: list and map nodes, and two strings.
inline constexpr std::size_t kFieldBytes = 240;

enum class ParseStep {
  kReadMore,  ///< The buffer has room for more bytes.
  kHeader,    ///< The header has become complete.
  kDone,      ///< The message is complete.
  kFailed     ///< The error code says why.
};

/// Parses what \p buffer holds, and stops once at the end of the header. The
/// maximum size of \p buffer limits trailers and chunk extensions, which the
/// parser takes as a whole.
template <bool is_request>
ParseStep ParseBuffered(
    boost::beast::http::parser<is_request, boost::beast::http::string_body>*
        parser,
    boost::beast::flat_buffer* buffer,
    boost::beast::error_code* ec) {
  namespace http = boost::beast::http;
  const bool had_header = parser->is_header_done();
  parser->eager(had_header);
  while (buffer->size() > 0 && !parser->is_done()) {
    *ec = {};
    buffer->consume(parser->put(buffer->data(), *ec));
    if (*ec == http::error::need_more) {
      *ec = {};
      break;
    }
    if (*ec) {
      return ParseStep::kFailed;
    }
    if (!had_header && parser->is_header_done()) {
      // The parser ignores a coding other than "chunked". Whoever forwards the
      // message may see another end of its body.
      if (parser->get().count(http::field::transfer_encoding) > 0 &&
          !parser->chunked()) {
        *ec = http::error::bad_transfer_encoding;
        return ParseStep::kFailed;
      }
      return ParseStep::kHeader;
    }
  }
  if (parser->is_done()) {
    return ParseStep::kDone;
  }
  if (buffer->size() >= buffer->max_size()) {
    *ec = http::error::buffer_overflow;
    return ParseStep::kFailed;
  }
  return ParseStep::kReadMore;
}

/// Bytes to prepare in \p buffer for the next read.
inline std::size_t NextReadBytes(const boost::beast::flat_buffer& buffer,
                                 bool in_body) {
  return std::min(in_body ? kBodyReadBytes : kHeaderReadBytes,
                  buffer.max_size() - buffer.size());
}

/// Memory of the fields of \p parser, and of the HttpHeaders made of them.
template <class Parser>
std::size_t FieldsMemory(const Parser& parser) {
  std::size_t bytes = 0;
  for (auto it = parser.get().begin(); it != parser.get().end(); ++it) {
    bytes += kFieldBytes + 2 * (it->name_string().size() + it->value().size());
  }
  return bytes;
}

/// Memory of the body of \p parser. A declared length is reserved in advance,
/// but only the part that is written is resident.
template <class Parser>
std::size_t BodyMemory(const Parser& parser) {
  const std::string& body = parser.get().body();
  return parser.chunked() ? body.capacity() : body.size();
}

}  // namespace hyssopspar::pvt
