#include "job_state/adviser_sim.h"

#include <xxhash.h>

#include <cstdlib>

namespace hyssopspar::jobs {

namespace {

std::string TicketPrefix(const StepName& step, const WorkerEntry& worker) {
  return step.m_job + "." + std::to_string(step.m_occurrence) + "." +
         std::to_string(step.m_step) + "/" + worker.m_id + "/" +
         std::to_string(worker.m_incarnation_unix_ms) + "/";
}

}  // namespace

bool SimulatedAdviser::MayRun(const StepName& step, const std::string& worker) {
  const std::string key = step.m_job + std::to_string(step.m_step) + worker;
  return XXH64(key.data(), key.size(), 0) % 3 != 0;
}

TicketsByWorker SimulatedAdviser::IssueTickets(
    const StepName& step,
    const std::vector<WorkerEntry>& workers,
    TimePoint now) const {
  TicketsByWorker tickets;
  for (const WorkerEntry& worker : workers) {
    if (MayRun(step, worker.m_id)) {
      tickets[worker.m_id] =
          TicketPrefix(step, worker) +
          std::to_string(ToMillis((now + m_validity).time_since_epoch()));
    }
  }
  return tickets;
}

bool SimulatedAdviser::AcceptsTicket(const StartOrder& order,
                                     const WorkerEntry& worker,
                                     TimePoint now) const {
  const std::string prefix = TicketPrefix(
      {order.m_task.m_job, order.m_task.m_occurrence, order.m_task.m_step},
      worker);
  return order.m_ticket.compare(0, prefix.size(), prefix) == 0 &&
         ToMillis(now.time_since_epoch()) <=
             std::strtoll(order.m_ticket.c_str() + prefix.size(), nullptr, 10);
}

}  // namespace hyssopspar::jobs
