/// \file
/// What the serving tasks of one worker are expected to show next, from its
/// report and the load cycles of their jobs.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/jobs/forecast/load_cycle.h"
#include "hyssopspar/jobs/interference.h"
#include "hyssopspar/jobs/pacing.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// A serving task of a report.
struct ReportedTail {
  ServingTailLatency m_tail;
  LoadCycle* m_cycle = nullptr;  ///< Of its job; null: not forecast.
};

struct TailOutlook {
  /// Highest tail latency of each serving image until a throttle that follows
  /// the next report has taken effect.
  std::vector<ServingTailLatency> m_soon;
  /// Same while a new best-effort task runs.
  std::vector<ServingTailLatency> m_ahead;
  TailLimits m_limits;
};

/// Returns the tail with the highest ratio of each image.
std::vector<ServingTailLatency> WorstByImage(
    const std::vector<ServingTailLatency>& tails);

/// Outlook of a worker for a report that was received at \p now. Tails without
/// a known cycle are expected to stay as they are.
TailOutlook OutlookOf(const std::vector<ReportedTail>& tails, TimePoint now);

/// Adds the report to the load cycles and to \p model. \p sources are the
/// best-effort tasks on the worker. Call it only for a report whose figures
/// cover no change of them.
void LearnFromReport(const std::vector<ReportedTail>& tails,
                     const std::vector<InterferenceSource>& sources,
                     TimePoint now,
                     InterferenceModel* model);

}  // namespace hyssopspar::jobs
