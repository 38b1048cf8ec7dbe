/// \file
/// Hand-over of a cell over the internal interfaces of other nodes.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/upstream_pool.h"
#include "node/handover_port.h"

namespace hyssopspar::node {

/// Path of the internal interface for hand-overs. GET with an epoch appended
/// asks whether the node reaches the store and sees the cell owned in that
/// epoch. POST stores the release in the body.
inline constexpr const char* kHandoverPath = "/v1/handovers/";

/// Client of other nodes' kHandoverPath.
class PeerHandover : public HandoverPort {
 public:
  /// \p peer_addresses are internal addresses ("ip:port") of other nodes.
  PeerHandover(std::vector<std::string> peer_addresses, DecisionLoop* loop);

  void FindPeer(std::uint64_t epoch,
                std::function<void(const std::string&)> found) override;
  void StoreRelease(const std::string& peer,
                    const jobs::OwnerRecord& release,
                    std::function<void(Result<void>)> done) override;

  void Stop();

 private:
  std::vector<std::string> m_peer_addresses;
  DecisionLoop* m_loop;
  UpstreamPool m_pool;
};

}  // namespace hyssopspar::node
