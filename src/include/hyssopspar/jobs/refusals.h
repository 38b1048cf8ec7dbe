/// \file
/// Negative cache of steps for which a scheduling pass found no worker.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/jobs/job_plan.h"

namespace hyssopspar::jobs {

/// Steps whose tasks could not be placed. Later steps with at least the same
/// requirements are skipped. Entries hold pointers to plans and must be cleared
/// when a worker releases resources.
class UnschedulableStepCache {
 public:
  void Clear() { m_entries.clear(); }

  /// Caches \p step, which found no worker in the pool \p service. The plan
  /// must outlive the entry.
  void Add(const std::string& service, const StepPlan& step);

  /// True if \p step requires at least as much as a cached step.
  bool IsKnownUnschedulable(const std::string& service,
                            const StepPlan& step) const;

 private:
  struct UnschedulableStep {
    std::string m_service;
    const StepPlan* m_step = nullptr;
  };

  std::vector<UnschedulableStep> m_entries;
};

}  // namespace hyssopspar::jobs
