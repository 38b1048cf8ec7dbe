/// \file
/// What found no worker in one pass, so that its like need not be tried.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/jobs/job_plan.h"

namespace hyssopspar::jobs {

/// Remembers steps whose tasks found no worker. Valid while no room is freed.
class Refusals {
 public:
  void Clear() { m_refused.clear(); }

  void Add(const std::string& service, const StepPlan& step);

  /// True when a task of \p step asks at least as much as one that was refused.
  bool Covers(const std::string& service, const StepPlan& step) const;

 private:
  struct Refused {
    std::string m_service;
    const StepPlan* m_step = nullptr;
  };

  std::vector<Refused> m_refused;
};

}  // namespace hyssopspar::jobs
