/// \file
/// Choice of the route on which a node's appends reach the store: directly, or
/// relayed by the cell's owner or by another node.

#pragma once

#include <cstdint>

#include "hyssopspar/time.h"

namespace hyssopspar::node {

enum class StoreRoute {
  kDirect,
  kOwner,  ///< Relayed by the cell's owner.
  kPeer,   ///< Relayed by any other node.
};

/// State of the routes to the store, as derived from a node's last appends.
struct StorePathStatus {
  bool m_store_unreachable = false;  ///< The last direct append failed.
  bool m_relay_failed = false;       ///< The last relayed append failed.
  bool m_slow = false;  ///< The last append took longer than the threshold.
  /// Consecutive slow appends that the owner relayed and that were not stored.
  std::uint32_t m_unanswered_owner_relays = 0;
  /// When an unreachable store is tried directly again.
  TimePoint m_retry_direct_at;
  std::uint64_t m_relayed_appends = 0;
};

/// Returns the route for an append at \p now. Appends to a store that this node
/// can't reach are relayed by the owner and by peers in turn. Appends to a slow
/// store are relayed by the owner, which combines the records of all nodes into
/// few calls and so takes load off the store.
StoreRoute ChooseRoute(const StorePathStatus& path,
                       bool has_owner,
                       bool has_peers,
                       TimePoint now);

/// Updates \p path with the outcome of an append that was sent at \p sent on
/// \p route and answered, or timed out, at \p now. \p reached: the store has
/// taken or refused its records.
void RecordAppendResult(StorePathStatus* path,
                        StoreRoute route,
                        bool reached,
                        TimePoint sent,
                        TimePoint now);

}  // namespace hyssopspar::node
