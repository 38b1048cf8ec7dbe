/// \file
/// Links between processes of ours: websocketpp adapter.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "hyssopspar/error.h"

namespace hyssopspar {

/// Accepts binary messages from peers, and keeps one outgoing connection to
/// each peer it was told of, opened again when it breaks.
class PeerLink {
 public:
  using Handler = std::function<void(std::string)>;

  /// \p on_message gets each whole message, on the link's thread.
  explicit PeerLink(Handler on_message);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// Listens on \p address ("ip:port"; port 0 picks one).
  Result<void> Start(const std::string& address);

  std::uint16_t Port() const;

  /// Keeps connections to exactly these peers.
  void SetPeers(const std::set<std::string>& addresses);

  /// Sends \p message to every peer connected now. A peer that takes nothing
  /// off its connection is dropped rather than waited for.
  void Broadcast(const std::string& message);

  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace hyssopspar
