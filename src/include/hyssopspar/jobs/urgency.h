/// \file
/// Order in which jobs get workers.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "hyssopspar/jobs/job.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Run times of tasks by queue, as seen; declared ones are far off.
class RunTimes {
 public:
  void Add(const std::string& queue, Duration run_time);
  /// Time that the slowest of a step's tasks may take.
  Duration StepTime(const std::string& queue) const;

 private:
  std::map<std::string, Duration> m_means;
};

/// How a job stands to its objective.
enum class Prospect {
  kInTime,   ///< The objective can still be met.
  kLate,     ///< It can't, but a late end is still worth something.
  kOverdue,  ///< Later than that.
};

/// Smaller goes first: priority, prospect, deadline, age.
using Urgency = std::tuple<std::int64_t, Prospect, std::int64_t, std::uint64_t>;

/// \p unix_now is in milliseconds.
Urgency UrgencyOf(const Job& job,
                  const RunTimes& run_times,
                  std::int64_t unix_now);

}  // namespace hyssopspar::jobs
