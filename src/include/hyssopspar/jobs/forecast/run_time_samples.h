/// \file
/// Distribution of run times of a queue's tasks, learned from ended runs.

#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// The last run times of one queue. The empirical distribution needs no
/// assumption on its form: the run times of a queue's steps often have several
/// modes.
struct RunTimeSamples {
  std::vector<Duration> m_sorted;
  std::vector<Duration> m_by_arrival;  ///< A ring of the same run times.
  std::size_t m_next = 0;              ///< Position of the oldest in the ring.
};

using RunTimesByQueue = std::map<std::string, RunTimeSamples>;

/// Number of run times that are kept for a queue.
inline constexpr std::size_t kMaxRunTimeSamples = 64;

void AddRunTime(RunTimeSamples* samples, Duration run_time);

/// Quantile \p q (above 0 and below 1) of the time that is left of a run which
/// has lasted for \p elapsed, given that it has not ended by then. \p estimate
/// is the declared run time, which counts as little as three run times do, and
/// covers an error by a factor of two in either direction; 0: none.
Duration RemainingRunTimeQuantile(const RunTimeSamples& samples,
                                  milliseconds estimate,
                                  Duration elapsed,
                                  double q);

/// Samples of the queue, which are empty before its first ended run.
const RunTimeSamples& RunTimesOf(const RunTimesByQueue& by_queue,
                                 const std::string& queue);

}  // namespace hyssopspar::jobs
