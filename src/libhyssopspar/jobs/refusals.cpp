#include "hyssopspar/jobs/refusals.h"

#include <algorithm>

namespace hyssopspar::jobs {

void UnschedulableStepCache::Add(const std::string& service,
                                 const StepPlan& step) {
  m_entries.push_back({service, &step});
}

bool UnschedulableStepCache::IsKnownUnschedulable(const std::string& service,
                                                  const StepPlan& step) const {
  return std::any_of(
      m_entries.begin(), m_entries.end(), [&](const UnschedulableStep& entry) {
        const StepPlan& other = *entry.m_step;
        // Steps with a per-worker limit and gangs may have been unschedulable
        // because of their own tasks' spread, which does not apply to others.
        return other.m_max_tasks_per_worker == 0 && !other.m_gang &&
               entry.m_service == service &&
               other.m_is_best_effort == step.m_is_best_effort &&
               (!step.m_is_best_effort || other.m_image == step.m_image) &&
               (other.m_label.empty() || other.m_label == step.m_label) &&
               Fits(other.m_size, step.m_size);
      });
}

}  // namespace hyssopspar::jobs
