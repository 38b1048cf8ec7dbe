/// \file
/// Policy for an owner that alone has lost the store: when to ask other nodes
/// whether they reach it, so that one of them can take the cell over at once.

#pragma once

#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Outcome of an owner's recent calls to the store.
struct StoreContact {
  /// Send time of the first of the failed calls since the last success; max():
  /// the last call succeeded.
  TimePoint m_failing_since = TimePoint::max();
  TimePoint m_next_question;  ///< Peers are not asked again before this.
};

/// Records the outcome of a call that was sent at \p sent.
void RecordStoreCall(StoreContact* contact, bool succeeded, TimePoint sent);

/// True if the owner should ask its peers now. A new owner keeps the cell until
/// \p tenure_end.
bool ShouldAskPeers(const StoreContact& contact,
                    TimePoint tenure_end,
                    TimePoint now);

/// Records that the peers are asked at \p now.
void RecordQuestion(StoreContact* contact, TimePoint now);

}  // namespace hyssopspar::jobs
