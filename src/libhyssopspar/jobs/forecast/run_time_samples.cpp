#include "hyssopspar/jobs/forecast/run_time_samples.h"

#include <algorithm>
#include <cmath>

namespace hyssopspar::jobs {

namespace {

/// Number of run times of a queue from which on declared estimates are ignored.
constexpr std::size_t kEnoughSamples = 16;
/// Declared estimate of a task without one.
constexpr milliseconds kDefaultEstimate{2000};

/// Adds the run times that a declared estimate allows for, as far as they are
/// longer than \p elapsed, to the ascending list \p longer.
void AddAssumedRunTimes(milliseconds estimate,
                        Duration elapsed,
                        std::vector<Duration>* longer) {
  const milliseconds declared =
      estimate > milliseconds(0) ? estimate : kDefaultEstimate;
  for (const milliseconds assumed : {declared / 2, declared, declared * 2}) {
    if (assumed > elapsed) {
      longer->insert(std::upper_bound(longer->begin(), longer->end(), assumed),
                     assumed);
    }
  }
}

/// Quantile of a range of run times, all longer than \p elapsed.
template <class Iterator>
Duration TimeLeft(Iterator first, Iterator last, Duration elapsed, double q) {
  const std::ptrdiff_t count = last - first;
  if (count == 0) {
    // Longer than all known runs: as likely as not it lasts as long again.
    return std::chrono::duration_cast<Duration>(elapsed * (q / (1 - q)));
  }
  const std::ptrdiff_t rank =
      static_cast<std::ptrdiff_t>(std::ceil(q * static_cast<double>(count)));
  return first[std::clamp<std::ptrdiff_t>(rank, 1, count) - 1] - elapsed;
}

}  // namespace

void AddRunTime(RunTimeSamples* samples, Duration run_time) {
  std::vector<Duration>& sorted = samples->m_sorted;
  if (samples->m_by_arrival.size() < kMaxRunTimeSamples) {
    samples->m_by_arrival.push_back(run_time);
  } else {
    Duration& oldest = samples->m_by_arrival[samples->m_next];
    sorted.erase(std::lower_bound(sorted.begin(), sorted.end(), oldest));
    oldest = run_time;
    samples->m_next = (samples->m_next + 1) % kMaxRunTimeSamples;
  }
  sorted.insert(std::upper_bound(sorted.begin(), sorted.end(), run_time),
                run_time);
}

Duration RemainingRunTimeQuantile(const RunTimeSamples& samples,
                                  milliseconds estimate,
                                  Duration elapsed,
                                  double q) {
  const std::vector<Duration>& sorted = samples.m_sorted;
  const auto first = std::upper_bound(sorted.begin(), sorted.end(), elapsed);
  if (sorted.size() >= kEnoughSamples) {
    return TimeLeft(first, sorted.end(), elapsed, q);
  }
  std::vector<Duration> longer(first, sorted.end());
  AddAssumedRunTimes(estimate, elapsed, &longer);
  return TimeLeft(longer.begin(), longer.end(), elapsed, q);
}

const RunTimeSamples& RunTimesOf(const RunTimesByQueue& by_queue,
                                 const std::string& queue) {
  static const RunTimeSamples kNone;
  const auto it = by_queue.find(queue);
  return it == by_queue.end() ? kNone : it->second;
}

}  // namespace hyssopspar::jobs
