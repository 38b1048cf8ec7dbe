/// \file
/// Blocking HTTP client on top of Boost.Beast.

#pragma once

#include <memory>
#include <string>

#include "hyssopspar/error.h"
#include "hyssopspar/http_message.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// Client with one persistent connection to one address. For use by one thread
/// at a time.
class HttpClient {
 public:
  /// \p address is "ip:port".
  explicit HttpClient(std::string address);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends \p request and waits for the complete response, until \p deadline.
  /// Fails with kNotSent when no byte of the request was sent, with kTimeout or
  /// kConnectionLost when its effect is unknown, and with kMalformed or
  /// kTooLarge when no complete response could be read. After an error the next
  /// call opens a new connection.
  Result<HttpResponse> Send(const HttpRequest& request, TimePoint deadline);

  /// The address given to the constructor.
  const std::string& Address() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Sends one request over a new connection. Errors are those of
/// HttpClient::Send.
Result<HttpResponse> SendSingleRequest(const std::string& address,
                                       const std::string& method,
                                       const std::string& target,
                                       const std::string& body,
                                       TimePoint deadline);

}  // namespace hyssopspar
