/// \file
/// Internal helpers of the HTTP clients and servers.

#pragma once

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <cctype>
#include <cstdint>
#include <string>

#include "hyssopspar/http_message.h"

namespace hyssopspar::pvt {

/// Parses "ip:port"; sets \p ec when \p address has another form.
boost::asio::ip::tcp::endpoint ParseAddress(const std::string& address,
                                            boost::beast::error_code& ec);

/// Copies the header fields of a Beast message, with their names in lower case.
template <class Fields>
HttpHeaders CopyHeaders(const Fields& fields) {
  HttpHeaders headers;
  for (auto it = fields.begin(); it != fields.end(); ++it) {
    std::string name(it->name_string());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    headers[name] = std::string(it->value());
  }
  return headers;
}

}  // namespace hyssopspar::pvt
