#include "node/store_path.h"

namespace hyssopspar::node {

namespace {

/// How long records go by way of other nodes before the store is tried again.
constexpr milliseconds kStoreRetry{1000};
/// An append that takes longer, many times what the store needs, means that
/// calls queue there.
constexpr milliseconds kSlowAppend{150};
/// Appends by way of an owner that went unanswered, before another way is
/// tried.
constexpr std::uint32_t kSlowOwners = 3;

}  // namespace

StoreRoute ChooseRoute(const StorePath& path,
                       bool has_owner,
                       bool has_peers,
                       TimePoint now) {
  if (path.m_slow && has_owner && path.m_slow_owners < kSlowOwners) {
    return StoreRoute::kOwner;
  }
  if (path.m_lost && now < path.m_try_direct_at && (has_owner || has_peers)) {
    // In turn, since the owner may be as cut off as this node.
    const bool ask_owner = path.m_detours % 2 == 0 || !has_peers;
    return has_owner && ask_owner ? StoreRoute::kOwner : StoreRoute::kPeer;
  }
  return StoreRoute::kDirect;
}

void NoteAnswer(StorePath* path,
                StoreRoute route,
                bool stored,
                TimePoint sent,
                TimePoint now) {
  path->m_slow = now - sent > kSlowAppend;
  path->m_slow_owners = route == StoreRoute::kOwner && path->m_slow && !stored
                            ? path->m_slow_owners + 1
                            : 0;
  if (route == StoreRoute::kDirect) {
    path->m_lost = !stored;
    path->m_try_direct_at = now + kStoreRetry;
    return;
  }
  ++path->m_detours;
  path->m_peers_lost = !stored;
}

}  // namespace hyssopspar::node
