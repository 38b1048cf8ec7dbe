#include "hyssopspar/jobs/store_contact.h"

#include <algorithm>

namespace hyssopspar::jobs {

namespace {

/// Shorter series of failures are left to retries.
constexpr milliseconds kMinFailingTime{250};
/// Time between questions to the peers.
constexpr milliseconds kQuestionInterval{400};
/// A node that has just become the owner keeps the cell, so that a store that
/// refuses calls of all nodes now and then does not move the cell around.
constexpr milliseconds kMinTenure{3000};

}  // namespace

void RecordStoreCall(StoreContact* contact, bool succeeded, TimePoint sent) {
  contact->m_failing_since =
      succeeded ? TimePoint::max() : std::min(contact->m_failing_since, sent);
}

bool ShouldAskPeers(const StoreContact& contact,
                    TimePoint owning_since,
                    TimePoint now) {
  return contact.m_failing_since < now &&
         now - contact.m_failing_since >= kMinFailingTime &&
         now >= contact.m_next_question && now - owning_since >= kMinTenure;
}

void RecordQuestion(StoreContact* contact, TimePoint now) {
  contact->m_next_question = now + kQuestionInterval;
}

}  // namespace hyssopspar::jobs
