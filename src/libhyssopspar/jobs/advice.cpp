#include "hyssopspar/jobs/advice.h"

namespace hyssopspar::jobs {

std::optional<std::string> TicketFor(const StepAdvice& advice,
                                     int worker,
                                     std::int64_t born_unix_ms,
                                     TimePoint now) {
  const auto it = advice.m_tickets.find(worker);
  const bool good = it != advice.m_tickets.end() &&
                    it->second.m_born_unix_ms == born_unix_ms &&
                    now < it->second.m_expires;
  return good ? std::optional<std::string>(it->second.m_text) : std::nullopt;
}

bool IsUnadvised(const StepAdvice& advice,
                 int worker,
                 std::int64_t born_unix_ms,
                 TimePoint now) {
  const auto denied = advice.m_denied.find(worker);
  const bool is_denied =
      denied != advice.m_denied.end() && denied->second == born_unix_ms;
  return !is_denied && !TicketFor(advice, worker, born_unix_ms, now);
}

void EnterAdvice(const std::vector<AdviceCandidate>& candidates,
                 const AdvisedWorkers& advised,
                 TimePoint expires,
                 StepAdvice* advice) {
  for (const AdviceCandidate& candidate : candidates) {
    const auto ticket = advised.find(candidate.m_id);
    if (ticket == advised.end()) {
      advice->m_denied[candidate.m_worker] = candidate.m_born_unix_ms;
      advice->m_tickets.erase(candidate.m_worker);
    } else {
      advice->m_denied.erase(candidate.m_worker);
      advice->m_tickets[candidate.m_worker] = {
          ticket->second, candidate.m_born_unix_ms, expires};
    }
  }
}

}  // namespace hyssopspar::jobs
