#include "hyssopspar/jobs/advice.h"

namespace hyssopspar::jobs {

std::optional<std::string> TicketFor(const StepAdvice& advice,
                                     int worker_index,
                                     std::int64_t incarnation_unix_ms,
                                     TimePoint now) {
  const auto it = advice.m_tickets.find(worker_index);
  const bool valid = it != advice.m_tickets.end() &&
                     it->second.m_incarnation_unix_ms == incarnation_unix_ms &&
                     now < it->second.m_expires;
  return valid ? std::optional<std::string>(it->second.m_token) : std::nullopt;
}

bool NeedsAdvice(const StepAdvice& advice,
                 int worker_index,
                 std::int64_t incarnation_unix_ms,
                 TimePoint now) {
  const auto denied = advice.m_denied_incarnations.find(worker_index);
  const bool is_denied = denied != advice.m_denied_incarnations.end() &&
                         denied->second == incarnation_unix_ms;
  return !is_denied &&
         !TicketFor(advice, worker_index, incarnation_unix_ms, now);
}

void ApplyAdvice(const std::vector<AdviceCandidate>& candidates,
                 const TicketsByWorker& advised,
                 TimePoint expires,
                 StepAdvice* advice) {
  for (const AdviceCandidate& candidate : candidates) {
    const auto ticket = advised.find(candidate.m_id);
    if (ticket == advised.end()) {
      advice->m_denied_incarnations[candidate.m_worker] =
          candidate.m_incarnation_unix_ms;
      advice->m_tickets.erase(candidate.m_worker);
    } else {
      advice->m_denied_incarnations.erase(candidate.m_worker);
      advice->m_tickets[candidate.m_worker] = {
          ticket->second, candidate.m_incarnation_unix_ms, expires};
    }
  }
}

}  // namespace hyssopspar::jobs
