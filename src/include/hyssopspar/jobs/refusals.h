/// \file
/// Negative cache of steps for which scheduling passes found no worker.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "hyssopspar/jobs/job_plan.h"
#include "hyssopspar/resources.h"

namespace hyssopspar::jobs {

/// Steps whose tasks could not be placed, with the number of the last change of
/// a worker at that time. For a step with at least the same requirements, only
/// the workers that have changed since have to be examined.
class UnschedulableStepCache {
 public:
  void Clear() { m_entries.clear(); }

  /// Caches \p step, which found no worker in the pool \p service among the
  /// workers as they are at the change number \p change.
  void Add(const std::string& service,
           const StepPlan& step,
           std::uint64_t change);

  /// Number of the last change at which no worker of the pool could take a task
  /// of \p step; 0 if that is not known.
  std::uint64_t UnschedulableAt(const std::string& service,
                                const StepPlan& step) const;

 private:
  struct UnschedulableStep {
    std::string m_label;
    Resources m_size;
    std::uint64_t m_change = 0;
  };
  /// Pool, and the image of a best-effort step or "" for other steps.
  using Key = std::pair<std::string, std::string>;

  static Key KeyOf(const std::string& service, const StepPlan& step);

  std::map<Key, std::vector<UnschedulableStep>> m_entries;
};

}  // namespace hyssopspar::jobs
