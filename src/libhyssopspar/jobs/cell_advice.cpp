// Questions to the adviser, for queues whose starts need a ticket.

#include <algorithm>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/placement.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Workers named in one question: each adds to the time of the answer.
constexpr std::size_t kCandidates = 30;
/// Questions under way at once; the adviser takes a node's in turn.
constexpr std::size_t kMostAsking = 8;
/// Pause after a question without an answer.
constexpr milliseconds kAskRetry{500};
/// A ticket is not used so shortly before its end: the start takes time.
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

/// Asks about workers that could take a task of the step but for the ticket.
void Cell::AskAdviser(const Job& job,
                      std::uint32_t occurrence,
                      std::uint32_t step,
                      const PlacementQuery& query,
                      StepAdvice* advice) {
  if (advice->m_asking || m_asking >= kMostAsking) {
    return;
  }
  if (query.m_now < advice->m_ask_after) {
    m_next_schedule = std::min(m_next_schedule, advice->m_ask_after);
    return;
  }
  AdviseAction action;
  // Jobs begin at different workers, so that their tasks spread.
  const std::size_t first = job.m_number * kCandidates;
  for (std::size_t n = 0;
       n < m_workers.size() && action.m_candidates.size() < kCandidates; ++n) {
    const std::size_t i = (first + n) % m_workers.size();
    const Worker& worker = m_workers[i];
    const int index = static_cast<int>(i);
    if (IsEligible(worker, (*query.m_step_tasks)[i], query) &&
        IsUnadvised(*advice, index, worker.m_born_unix_ms, query.m_now)) {
      action.m_candidates.push_back(
          {index, worker.m_entry.m_id, worker.m_born_unix_ms});
    }
  }
  if (action.m_candidates.empty()) {
    return;
  }
  action.m_step = {job.m_submission.m_id, occurrence, step};
  action.m_sent = query.m_now;
  advice->m_asking = true;
  ++m_asking;
  CellLog()->info("ask-adviser job={} occurrence={} step={} workers={}",
                  action.m_step.m_job, occurrence, step,
                  action.m_candidates.size());
  m_actions.emplace_back(std::move(action));
}

void Cell::OnAdvice(const AdviseAction& action,
                    const Result<AdvisedWorkers>& answer,
                    TimePoint now) {
  --m_asking;
  m_schedule_needed = true;
  Job* const job = Find(action.m_step.m_job);
  if (job == nullptr) {
    return;
  }
  StepAdvice* const advice =
      AdviceOf(job, action.m_step.m_occurrence, action.m_step.m_step);
  advice->m_asking = false;
  if (!answer) {
    CellLog()->warn("adviser-failed job={} step={} error={}",
                    action.m_step.m_job, action.m_step.m_step,
                    ToString(answer.error()));
    advice->m_ask_after = now + kAskRetry;
    return;
  }
  CellLog()->info("advised job={} step={} asked={} good={} took_ms={}",
                  action.m_step.m_job, action.m_step.m_step,
                  action.m_candidates.size(), answer.value().size(),
                  ToMillis(now - action.m_sent));
  const milliseconds validity = job->m_submission.m_queue.m_ticket_validity;
  EnterAdvice(action.m_candidates, answer.value(),
              action.m_sent + validity - std::min(kTicketMargin, validity / 2),
              advice);
}

}  // namespace hyssopspar::jobs
