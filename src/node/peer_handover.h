/// \file
/// Hand-over of a cell through another node, for an owner that has lost the
/// store.

#pragma once

#include <functional>
#include <string>
#include <vector>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/error.h"
#include "hyssopspar/http_message.h"
#include "hyssopspar/jobs/records.h"
#include "hyssopspar/upstream_pool.h"

namespace hyssopspar::node {

/// Path of the internal interface for hand-overs. GET with an epoch appended
/// asks whether the node reaches the store and sees the cell owned in that
/// epoch. POST stores the release in the body.
inline constexpr const char* kHandoverPath = "/v1/handovers/";

/// Client of other nodes' kHandoverPath. All calls and callbacks on the loop's
/// thread.
class PeerHandover {
 public:
  /// \p peer_addresses are internal addresses ("ip:port") of other nodes.
  PeerHandover(std::vector<std::string> peer_addresses, DecisionLoop* loop);

  /// Asks all peers at once and yields the address of the first that can store
  /// the release of \p epoch. Not called when no peer can.
  void FindPeer(std::uint64_t epoch,
                std::function<void(const std::string&)> found);
  /// Stores \p release through the peer. After an error it may be stored.
  void StoreRelease(const std::string& peer,
                    const jobs::OwnerRecord& release,
                    std::function<void(Result<void>)> done);

  void Stop();

 private:
  std::vector<std::string> m_peer_addresses;
  DecisionLoop* m_loop;
  UpstreamPool m_pool;
};

}  // namespace hyssopspar::node
