/// \file
/// An adviser for tests: says which workers may run a step, by a fixed rule.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/jobs/advice_port.h"
#include "hyssopspar/jobs/worker_port.h"

namespace hyssopspar::jobs {

/// Tickets name step, worker and life, and how long they hold.
class AdviserSim {
 public:
  explicit AdviserSim(milliseconds validity) : m_validity(validity) {}

  AdvisedWorkers Ask(const StepName& step,
                     const std::vector<WorkerEntry>& workers,
                     TimePoint now) const;

  /// True when a start on that worker carries a ticket that is good at \p now.
  bool Admits(const StartOrder& order,
              const WorkerEntry& worker,
              TimePoint now) const;

  /// The rule: two of three workers may run a step.
  static bool May(const StepName& step, const std::string& worker);

 private:
  milliseconds m_validity;
};

}  // namespace hyssopspar::jobs
