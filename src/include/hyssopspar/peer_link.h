/// \file
/// WebSocket connections between processes of this project, by websocketpp.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "hyssopspar/error.h"

namespace hyssopspar {

/// Receives binary messages from peers, and keeps one outgoing connection to
/// each peer set by SetPeers. A connection that closes is opened again.
class PeerLink {
 public:
  using Handler = std::function<void(std::string)>;

  /// \p on_message is called with each complete message, on the link's thread.
  explicit PeerLink(Handler on_message);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// Listens on \p address ("ip:port"; port 0 picks a free port) and starts the
  /// link's thread. Fails with kUnavailable if it can't listen.
  Result<void> Start(const std::string& address);

  /// The port listened on.
  std::uint16_t Port() const;

  /// Opens connections to \p addresses ("ip:port") and closes all others.
  void SetPeers(const std::set<std::string>& addresses);

  /// Sends \p message to every connected peer. The connection to a peer that
  /// does not read is closed, so that unsent data does not accumulate.
  void Broadcast(const std::string& message);

  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace hyssopspar
