#include "hyssopspar/jobs/reservation/placement_waits.h"

#include <algorithm>

namespace hyssopspar::jobs {

namespace {

/// Divisor of the largest worker's CPU from which on a task is large.
constexpr std::int64_t kLargeTaskDivisor = 4;

}  // namespace

WaitQuantiles LargestTenth(std::vector<PlacementWait> waits) {
  if (waits.empty()) {
    return {};
  }
  std::sort(waits.begin(), waits.end(),
            [](const PlacementWait& a, const PlacementWait& b) {
              return a.m_cpu_milli > b.m_cpu_milli;
            });
  // All tasks of the size at the border count, so that the result does not
  // depend on the order of equal ones.
  const std::int64_t border =
      waits[std::max<std::size_t>(waits.size() / 10, 1) - 1].m_cpu_milli;
  std::vector<Duration> largest;
  for (const PlacementWait& wait : waits) {
    if (wait.m_cpu_milli >= border) {
      largest.push_back(wait.m_wait);
    }
  }
  std::sort(largest.begin(), largest.end());
  return {largest.size(), largest[(largest.size() - 1) / 2],
          largest[(largest.size() - 1) * 95 / 100]};
}

std::int64_t LargeTaskCpuMilli(const std::vector<Worker>& workers) {
  std::int64_t largest = 0;
  for (const Worker& worker : workers) {
    if (worker.m_listed) {
      largest = std::max(largest, worker.m_entry.m_capacity.m_cpu_milli);
    }
  }
  return std::max<std::int64_t>(1, largest / kLargeTaskDivisor);
}

std::int64_t StrandedCpuMilli(const std::vector<Worker>& workers,
                              std::int64_t large_cpu_milli) {
  std::int64_t stranded = 0;
  for (const Worker& worker : workers) {
    const std::int64_t free = worker.m_entry.m_capacity.m_cpu_milli -
                              worker.m_used.m_cpu_milli -
                              worker.m_unexpected_run_resources.m_cpu_milli;
    if (worker.m_listed && worker.m_reachable && free > 0 &&
        free < large_cpu_milli) {
      stranded += free;
    }
  }
  return stranded;
}

}  // namespace hyssopspar::jobs
