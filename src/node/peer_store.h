/// \file
/// Appends records to the store through another node, for a node that can't
/// reach the store or finds it slow.

#pragma once

#include <functional>
#include <string>
#include <vector>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/http_message.h"
#include "hyssopspar/store/keyed_log.h"
#include "hyssopspar/upstream_pool.h"

namespace hyssopspar::node {

/// Path of the internal interface on which a node accepts records of others.
inline constexpr const char* kRecordsPath = "/v1/records";

/// Client of other nodes' kRecordsPath. All calls and callbacks on the loop's
/// thread.
class PeerStore {
 public:
  /// \p peer_addresses are internal addresses ("ip:port") of other nodes.
  PeerStore(std::vector<std::string> peer_addresses, DecisionLoop* loop);

  /// Sends \p records to the node at \p preferred or, when that is empty, to
  /// the peers in turn. On success the offset is 0, since the relaying node
  /// doesn't return the end of the stream. Errors are those of
  /// KeyedLog::Append; kNotSent without any peer.
  void Append(const std::string& preferred,
              const std::vector<KeyedRecord>& records,
              TimePoint deadline,
              std::function<void(Result<Offset>)> done);

  bool HasPeers() const { return !m_peer_addresses.empty(); }
  void Stop();

 private:
  std::vector<std::string> m_peer_addresses;
  std::size_t m_next_peer = 0;  ///< Counts up; index modulo the peers.
  DecisionLoop* m_loop;
  UpstreamPool m_pool;
};

}  // namespace hyssopspar::node
