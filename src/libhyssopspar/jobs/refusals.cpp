#include "hyssopspar/jobs/refusals.h"

#include <algorithm>

namespace hyssopspar::jobs {

namespace {

/// Prefix of the image in the key of a best-effort step, whose image may be
/// empty.
constexpr const char* kBestEffortPrefix = "best-effort/";

}  // namespace

UnschedulableStepCache::Key UnschedulableStepCache::KeyOf(
    const std::string& service,
    const StepPlan& step) {
  return {service,
          step.m_is_best_effort ? kBestEffortPrefix + step.m_image : ""};
}

void UnschedulableStepCache::Add(const std::string& service,
                                 const StepPlan& step,
                                 std::uint64_t change) {
  // Steps with a per-worker limit and gangs may have been unschedulable because
  // of their own tasks' spread, which does not apply to others.
  if (step.m_max_tasks_per_worker > 0 || step.m_gang) {
    return;
  }
  std::vector<UnschedulableStep>& entries = m_entries[KeyOf(service, step)];
  // The new entry says at least as much as an older one for a larger step.
  entries.erase(std::remove_if(entries.begin(), entries.end(),
                               [&step](const UnschedulableStep& entry) {
                                 return entry.m_label == step.m_label &&
                                        Fits(step.m_size, entry.m_size);
                               }),
                entries.end());
  entries.push_back({step.m_label, step.m_size, change});
}

std::uint64_t UnschedulableStepCache::UnschedulableAt(
    const std::string& service,
    const StepPlan& step) const {
  const auto it = m_entries.find(KeyOf(service, step));
  if (it == m_entries.end()) {
    return 0;
  }
  std::uint64_t change = 0;
  for (const UnschedulableStep& entry : it->second) {
    if ((entry.m_label.empty() || entry.m_label == step.m_label) &&
        Fits(entry.m_size, step.m_size)) {
      change = std::max(change, entry.m_change);
    }
  }
  return change;
}

}  // namespace hyssopspar::jobs
