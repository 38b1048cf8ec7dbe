/// \file
/// Stores records by way of another node, for one that can't reach the store.

#pragma once

#include <functional>
#include <string>
#include <vector>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/http_message.h"
#include "hyssopspar/store/keyed_log.h"
#include "hyssopspar/upstream_pool.h"

namespace hyssopspar::node {

/// Path of the internal interface that takes records.
inline constexpr const char* kRecordsPath = "/v1/records";

/// All calls and callbacks on the loop's thread.
class PeerStore {
 public:
  /// \p peers are internal addresses of other nodes.
  PeerStore(std::vector<std::string> peers, DecisionLoop* loop);

  /// Asks \p first, or the next peer when it is empty. Errors are those of
  /// KeyedLog::Append.
  void Append(const std::string& first,
              const std::vector<KeyedRecord>& records,
              TimePoint deadline,
              std::function<void(Result<Offset>)> done);

  bool HasPeers() const { return !m_peers.empty(); }
  void Stop();

 private:
  std::vector<std::string> m_peers;
  std::size_t m_next = 0;
  DecisionLoop* m_loop;
  UpstreamPool m_pool;
};

}  // namespace hyssopspar::node
