#include "hyssopspar/jobs/refusals.h"

#include <algorithm>

namespace hyssopspar::jobs {

void Refusals::Add(const std::string& service, const StepPlan& step) {
  m_refused.push_back({service, &step});
}

bool Refusals::Covers(const std::string& service, const StepPlan& step) const {
  return std::any_of(
      m_refused.begin(), m_refused.end(), [&](const Refused& refused) {
        const StepPlan& other = *refused.m_step;
        // A refusal that rests on the spread of a step's own tasks says nothing
        // of others.
        return other.m_per_worker == 0 && !other.m_gang &&
               refused.m_service == service &&
               other.m_fills_idle == step.m_fills_idle &&
               (!step.m_fills_idle || other.m_image == step.m_image) &&
               (other.m_label.empty() || other.m_label == step.m_label) &&
               Fits(other.m_size, step.m_size);
      });
}

}  // namespace hyssopspar::jobs
