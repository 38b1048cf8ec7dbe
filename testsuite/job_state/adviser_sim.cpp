#include "job_state/adviser_sim.h"

#include <xxhash.h>

#include <cstdlib>

namespace hyssopspar::jobs {

namespace {

std::string Scope(const StepName& step, const WorkerEntry& worker) {
  return step.m_job + "." + std::to_string(step.m_occurrence) + "." +
         std::to_string(step.m_step) + "/" + worker.m_id + "/" +
         std::to_string(worker.m_born_unix_ms) + "/";
}

}  // namespace

bool AdviserSim::May(const StepName& step, const std::string& worker) {
  const std::string text = step.m_job + std::to_string(step.m_step) + worker;
  return XXH64(text.data(), text.size(), 0) % 3 != 0;
}

AdvisedWorkers AdviserSim::Ask(const StepName& step,
                               const std::vector<WorkerEntry>& workers,
                               TimePoint now) const {
  AdvisedWorkers good;
  for (const WorkerEntry& worker : workers) {
    if (May(step, worker.m_id)) {
      good[worker.m_id] =
          Scope(step, worker) +
          std::to_string(ToMillis((now + m_validity).time_since_epoch()));
    }
  }
  return good;
}

bool AdviserSim::Admits(const StartOrder& order,
                        const WorkerEntry& worker,
                        TimePoint now) const {
  const std::string scope = Scope(
      {order.m_task.m_job, order.m_task.m_occurrence, order.m_task.m_step},
      worker);
  return order.m_ticket.compare(0, scope.size(), scope) == 0 &&
         ToMillis(now.time_since_epoch()) <=
             std::strtoll(order.m_ticket.c_str() + scope.size(), nullptr, 10);
}

}  // namespace hyssopspar::jobs
