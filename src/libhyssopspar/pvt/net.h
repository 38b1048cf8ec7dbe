/// \file
/// Helpers shared by the HTTP adapters. Not for other code.

#pragma once

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <cctype>
#include <cstdint>
#include <string>

#include "hyssopspar/http_message.h"

namespace hyssopspar::pvt {

/// Endpoint of "ip:port". Sets \p ec when the text is not one.
boost::asio::ip::tcp::endpoint ParseAddress(const std::string& address,
                                            boost::beast::error_code& ec);

/// Header fields of a Beast message under lower-case names.
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
