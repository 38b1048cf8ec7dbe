/// \file
/// Waits of the largest tasks, and free capacity that no large task can use.

#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "hyssopspar/jobs/worker.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// How long a placed task had been ready.
struct PlacementWait {
  std::int64_t m_cpu_milli = 0;  ///< What the task reserves.
  Duration m_wait{0};
};

struct WaitQuantiles {
  std::size_t m_tasks = 0;
  Duration m_median{0};
  Duration m_p95{0};
};

/// Waits of the tenth of \p waits with the largest tasks, at least one.
WaitQuantiles LargestTenth(std::vector<PlacementWait> waits);

/// CPU from which on a task counts as large: a quarter of the largest listed
/// worker's.
std::int64_t LargeTaskCpuMilli(const std::vector<Worker>& workers);

/// Free CPU of reachable workers on which no task of \p large_cpu_milli fits.
std::int64_t StrandedCpuMilli(const std::vector<Worker>& workers,
                              std::int64_t large_cpu_milli);

}  // namespace hyssopspar::jobs
