/// \file
/// The way on which a node's records reach the store.

#pragma once

#include <cstdint>

#include "hyssopspar/time.h"

namespace hyssopspar::node {

enum class StoreRoute {
  kDirect,
  kOwner,  ///< By way of the cell's owner.
  kPeer,   ///< By way of any other node.
};

/// What a node's last appends have shown.
struct StorePath {
  bool m_lost = false;        ///< The last direct append had no answer.
  bool m_peers_lost = false;  ///< Nor did the last one by way of another node.
  bool m_slow = false;        ///< The last append took long, or too long.
  std::uint32_t m_slow_owners = 0;  ///< Owners in a row that did not answer.
  TimePoint m_try_direct_at;        ///< When a lost store is tried again.
  std::uint64_t m_detours = 0;
};

/// Other nodes stand in for a store that can't be reached from here. One that
/// is slow is left to the owner, which stores the records of all in few calls.
StoreRoute ChooseRoute(const StorePath& path,
                       bool has_owner,
                       bool has_peers,
                       TimePoint now);

/// Enters the answer to an append that was sent at \p sent on \p route.
void NoteAnswer(StorePath* path,
                StoreRoute route,
                bool stored,
                TimePoint sent,
                TimePoint now);

}  // namespace hyssopspar::node
