/// \file
/// The rules that a run of a fleet is judged by, from what clients and workers
/// have seen.

#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "fleet/clients.h"
#include "fleet/run_seen.h"

namespace fleet {

/// Time after the last disruption within which jobs are served again: that of
/// the rules after which jobs are asked for (finish_s).
inline constexpr milliseconds kFinishTime{14000};
/// Time without disruption after which a node is judged.
inline constexpr milliseconds kCalmTime{3000};

/// A time in which a node was disrupted.
struct DisruptedSpan {
  int m_node = 0;
  milliseconds m_from{0};
  milliseconds m_until{0};
};

/// All that was seen in a run.
struct Evidence {
  std::vector<JobSeen> m_jobs;
  std::vector<Objection> m_objections;
  std::vector<RunSeen> m_runs;
  std::vector<DisruptedSpan> m_disrupted;
  /// Least limit of failed runs of a task that was in force.
  int m_least_attempts = 1;
};

/// True if the node was disrupted between \p from, less kCalmTime, and
/// \p until.
bool WasDisrupted(const std::vector<DisruptedSpan>& spans,
                  int node,
                  milliseconds from,
                  milliseconds until);

/// Names of the lasting jobs of which a task isn't running, except for deadly
/// ones.
std::vector<std::string> FindIncompleteLasting(
    const std::vector<JobSeen>& jobs,
    const std::vector<RunSeen>& runs);

/// One text for each rule that was broken.
std::vector<std::string> FindViolations(const Evidence& evidence);

}  // namespace fleet
