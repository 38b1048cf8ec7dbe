/// \file
/// Simulated adviser: permits steps on workers by a fixed rule.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/jobs/advice_port.h"
#include "hyssopspar/jobs/worker_port.h"

namespace hyssopspar::jobs {

/// Issues and checks tickets, which name the step, the worker, its incarnation
/// and the time of expiry.
class SimulatedAdviser {
 public:
  /// \p validity is the time for which a ticket can be used.
  explicit SimulatedAdviser(milliseconds validity) : m_validity(validity) {}

  /// Tickets for those of \p workers that may run the step.
  TicketsByWorker IssueTickets(const StepName& step,
                               const std::vector<WorkerEntry>& workers,
                               TimePoint now) const;

  /// True if the order carries a ticket for its step and this incarnation of
  /// the worker that has not expired at \p now.
  bool AcceptsTicket(const StartOrder& order,
                     const WorkerEntry& worker,
                     TimePoint now) const;

  /// Permission rule: about two of three workers may run a step, by hash.
  static bool MayRun(const StepName& step, const std::string& worker);

 private:
  milliseconds m_validity;
};

}  // namespace hyssopspar::jobs
