/// \file
/// Blocking HTTP client adapter over Boost.Beast.

#pragma once

#include <memory>
#include <string>

#include "hyssopspar/error.h"
#include "hyssopspar/http_message.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// One kept connection to one address. For use by one thread at a time.
class HttpClient {
 public:
  /// \p address is "ip:port".
  explicit HttpClient(std::string address);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends \p request and waits for the whole answer.
  /// \returns kNotSent when no byte of the request left, kTimeout or
  /// kConnectionLost when its effect is unknown, kMalformed or kTooLarge for an
  /// answer that is not whole. After any error the connection is replaced.
  Result<HttpResponse> Send(const HttpRequest& request, TimePoint deadline);

  const std::string& Address() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// One request over a connection of its own. Errors are those of
/// HttpClient::Send.
Result<HttpResponse> CallOnce(const std::string& address,
                              const std::string& method,
                              const std::string& target,
                              const std::string& body,
                              TimePoint deadline);

}  // namespace hyssopspar
