#include "hyssopspar/jobs/store_contact.h"

#include <algorithm>

namespace hyssopspar::jobs {

namespace {

/// Shorter series of failures are left to retries.
constexpr milliseconds kMinFailingTime{250};
/// Time between questions to the peers.
constexpr milliseconds kQuestionInterval{400};

}  // namespace

void RecordStoreCall(StoreContact* contact, bool succeeded, TimePoint sent) {
  contact->m_failing_since =
      succeeded ? TimePoint::max() : std::min(contact->m_failing_since, sent);
}

bool ShouldAskPeers(const StoreContact& contact,
                    TimePoint tenure_end,
                    TimePoint now) {
  return contact.m_failing_since < now &&
         now - contact.m_failing_since >= kMinFailingTime &&
         now >= contact.m_next_question && now >= tenure_end;
}

void RecordQuestion(StoreContact* contact, TimePoint now) {
  contact->m_next_question = now + kQuestionInterval;
}

}  // namespace hyssopspar::jobs
