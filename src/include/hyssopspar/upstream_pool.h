/// \file
/// Pool of asynchronous HTTP client connections, kept per address.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "hyssopspar/error.h"
#include "hyssopspar/http_message.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// A connection carries one exchange at a time. It is closed when its exchange
/// fails or times out, so that a late answer never reaches another caller.
class UpstreamPool {
 public:
  using Callback = std::function<void(Result<HttpResponse>)>;

  /// Starts \p threads threads. At most \p max_idle idle connections are kept
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

  /// Number of open connections to \p address, idle ones included.
  std::size_t Connections(const std::string& address) const;

  /// Closes all connections and joins the threads.
  void Stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace hyssopspar
