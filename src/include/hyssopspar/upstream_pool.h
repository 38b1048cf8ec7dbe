/// \file
/// Asynchronous HTTP connections to endpoints, within a limit for each.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "hyssopspar/error.h"
#include "hyssopspar/http_message.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// Connections to many addresses. Each exchange has a connection to itself; one
/// whose exchange failed or was abandoned is closed, so that a late answer can
/// reach no other caller.
class UpstreamPool {
 public:
  using Callback = std::function<void(Result<HttpResponse>)>;

  /// Runs \p threads threads. At most \p max_idle unused connections are kept
  /// for each address.
  UpstreamPool(int threads, std::size_t max_idle);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /// Sends \p request to \p address and calls \p done once, on a pool thread.
  /// Errors are those of HttpClient::Send.
  void Send(const std::string& address,
            HttpRequest request,
            TimePoint deadline,
            Callback done);

  /// Open connections to \p address, idle or not.
  std::size_t Connections(const std::string& address) const;

  /// Closes all connections and joins the threads.
  void Stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace hyssopspar
