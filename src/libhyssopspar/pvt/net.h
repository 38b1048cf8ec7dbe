/// \file
/// Internal helpers of the HTTP clients and servers.

#pragma once

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <cctype>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "hyssopspar/http_message.h"

namespace hyssopspar::pvt {

/// Parses "ip:port"; sets \p ec when \p address has another form.
boost::asio::ip::tcp::endpoint ParseAddress(const std::string& address,
                                            boost::beast::error_code& ec);

/// Copies the header fields of a Beast message, with their names in lower case.
/// Of fields with equal names the last one is kept; \p ambiguous, which may be
/// null, receives the names of those whose values differ.
template <class Fields>
HttpHeaders CopyHeaders(const Fields& fields,
                        std::set<std::string>* ambiguous = nullptr) {
  HttpHeaders headers;
  for (auto it = fields.begin(); it != fields.end(); ++it) {
    std::string name(it->name_string());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    std::string value(it->value());
    const auto inserted = headers.emplace(name, value);
    if (!inserted.second && inserted.first->second != value) {
      inserted.first->second = std::move(value);
      if (ambiguous != nullptr) {
        ambiguous->insert(name);
      }
    }
  }
  return headers;
}

}  // namespace hyssopspar::pvt
