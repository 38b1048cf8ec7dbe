// Requests to the adviser, for queues whose starts require a ticket.

#include <algorithm>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/placement.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Most workers in one request; each adds to the adviser's response time.
constexpr std::size_t kMaxCandidates = 30;
/// Most requests in flight at once; the adviser handles the requests of a node
/// one after another.
constexpr std::size_t kMaxRequestsInFlight = 8;
/// Delay before the next request for a step after one that failed.
constexpr milliseconds kAdviceRetryDelay{500};
/// A ticket is not used within this time before it expires, because the start
/// order takes time to reach the worker.
constexpr milliseconds kTicketMargin{300};

}  // namespace

StepAdvice* Cell::AdviceOf(Job* job,
                           std::uint32_t occurrence,
                           std::uint32_t step) {
  if (job->m_submission.m_queue.m_ticket_validity == milliseconds(0)) {
    return nullptr;
  }
  const std::size_t steps = job->m_submission.m_plan.m_steps.size();
  return &job->m_advice[occurrence * steps + step];
}

/// Asks the adviser about workers that lack only a ticket to take a task of the
/// step.
void Cell::AskAdviser(const Job& job,
                      std::uint32_t occurrence,
                      std::uint32_t step,
                      const PlacementQuery& query,
                      StepAdvice* advice) {
  if (advice->m_request_in_flight ||
      m_advice_requests_in_flight >= kMaxRequestsInFlight) {
    return;
  }
  if (query.m_now < advice->m_next_advice_request) {
    m_next_schedule = std::min(m_next_schedule, advice->m_next_advice_request);
    return;
  }
  AdviseAction action;
  // Each job starts at a different worker, so that the jobs' tasks spread.
  const std::size_t first = job.m_number * kMaxCandidates;
  for (std::size_t n = 0;
       n < m_workers.size() && action.m_candidates.size() < kMaxCandidates;
       ++n) {
    const std::size_t i = (first + n) % m_workers.size();
    const Worker& worker = m_workers[i];
    const int index = static_cast<int>(i);
    if (IsEligible(worker, i, query) &&
        NeedsAdvice(*advice, index, worker.m_incarnation_unix_ms,
                    query.m_now)) {
      action.m_candidates.push_back(
          {index, worker.m_entry.m_id, worker.m_incarnation_unix_ms});
    }
  }
  if (action.m_candidates.empty()) {
    return;
  }
  action.m_step = {job.m_submission.m_id, occurrence, step};
  action.m_sent = query.m_now;
  advice->m_request_in_flight = true;
  ++m_advice_requests_in_flight;
  CellLog()->info("ask-adviser job={} occurrence={} step={} workers={}",
                  action.m_step.m_job, occurrence, step,
                  action.m_candidates.size());
  m_actions.emplace_back(std::move(action));
}

void Cell::OnAdvice(const AdviseAction& action,
                    const Result<TicketsByWorker>& answer,
                    TimePoint now) {
  --m_advice_requests_in_flight;
  m_schedule_needed = true;
  Job* const job = FindMutableJob(action.m_step.m_job);
  if (job == nullptr || action.m_step.m_occurrence < FirstOccurrence(*job)) {
    return;
  }
  StepAdvice* const advice =
      AdviceOf(job, action.m_step.m_occurrence, action.m_step.m_step);
  advice->m_request_in_flight = false;
  if (!answer) {
    CellLog()->warn("adviser-failed job={} step={} error={}",
                    action.m_step.m_job, action.m_step.m_step,
                    ToString(answer.error()));
    advice->m_next_advice_request = now + kAdviceRetryDelay;
    return;
  }
  CellLog()->info("advised job={} step={} asked={} good={} took_ms={}",
                  action.m_step.m_job, action.m_step.m_step,
                  action.m_candidates.size(), answer.value().size(),
                  ToMillis(now - action.m_sent));
  const milliseconds validity = job->m_submission.m_queue.m_ticket_validity;
  ApplyAdvice(action.m_candidates, answer.value(),
              action.m_sent + validity - std::min(kTicketMargin, validity / 2),
              advice);
}

}  // namespace hyssopspar::jobs
