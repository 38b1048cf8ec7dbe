#include "node/store_path.h"

namespace hyssopspar::node {

namespace {

/// After a failed direct append, records are relayed for this long before the
/// store is tried directly again.
constexpr milliseconds kDirectRetryInterval{1000};
/// An append that takes longer counts as slow. The store needs a small fraction
/// of this for one call, so a longer time shows that calls queue there.
constexpr milliseconds kSlowAppendThreshold{150};
/// Consecutive unanswered appends relayed by the owner after which another
/// route is tried.
constexpr std::uint32_t kMaxUnansweredOwnerRelays = 3;

}  // namespace

StoreRoute ChooseRoute(const StorePathStatus& path,
                       bool has_owner,
                       bool has_peers,
                       TimePoint now) {
  if (path.m_slow && has_owner &&
      path.m_unanswered_owner_relays < kMaxUnansweredOwnerRelays) {
    return StoreRoute::kOwner;
  }
  if (path.m_store_unreachable && now < path.m_retry_direct_at &&
      (has_owner || has_peers)) {
    // The owner and peers take turns, since the owner may be cut off from the
    // store as well.
    const bool use_owner = path.m_relayed_appends % 2 == 0 || !has_peers;
    return has_owner && use_owner ? StoreRoute::kOwner : StoreRoute::kPeer;
  }
  return StoreRoute::kDirect;
}

void RecordAppendResult(StorePathStatus* path,
                        StoreRoute route,
                        bool reached,
                        TimePoint sent,
                        TimePoint now) {
  path->m_slow = now - sent > kSlowAppendThreshold;
  path->m_unanswered_owner_relays =
      route == StoreRoute::kOwner && path->m_slow && !reached
          ? path->m_unanswered_owner_relays + 1
          : 0;
  if (route == StoreRoute::kDirect) {
    path->m_store_unreachable = !reached;
    path->m_retry_direct_at = now + kDirectRetryInterval;
    return;
  }
  ++path->m_relayed_appends;
  path->m_relay_failed = !reached;
}

}  // namespace hyssopspar::node
