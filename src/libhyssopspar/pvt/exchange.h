/// \file
/// One client connection that carries one HTTP exchange at a time.

#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "hyssopspar/error.h"
#include "hyssopspar/http_message.h"
#include "hyssopspar/time.h"

namespace hyssopspar::pvt {

/// The first Send connects. After an error the connection is closed and not
/// reusable. All calls must come from the executor, or before it runs.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  using Callback = std::function<void(Result<HttpResponse>)>;

  Exchange(boost::asio::any_io_executor executor, std::string address);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// Sends \p request and calls \p done once, at \p deadline at the latest.
  /// Errors: kNotSent if no byte was sent, else kTimeout, kTooLarge, kMalformed
  /// or kConnectionLost. A reused connection that the server has closed before
  /// the call is replaced, since nothing was sent on it; one that is closed
  /// later gives kConnectionLost. The request is never sent again.
  void Send(HttpRequest request, TimePoint deadline, Callback done);

  /// True between exchanges while the connection is open.
  bool IsReusable() const;

  void Close();

 private:
  struct Impl;
  /// True if the connection can't be reused, as far as known here.
  bool IsClosedByPeer();
  void Connect();
  void Write();
  void Read();
  void ReadMore();
  void Parse();
  void ParseEnd();
  void Deliver();
  void Finish(Result<HttpResponse> result);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace hyssopspar::pvt
