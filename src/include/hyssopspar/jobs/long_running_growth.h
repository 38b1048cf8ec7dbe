/// \file
/// Policy for long-running jobs that arrive faster than they end. Long-running
/// tasks never return their CPU to short jobs, so the policy keeps head-room
/// for the measured demand of short jobs when long-running tasks are added.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "hyssopspar/jobs/job_plan.h"
#include "hyssopspar/jobs/urgency.h"
#include "hyssopspar/jobs/worker.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Arrivals of short jobs of one queue within one second. A job is short if it
/// reserves CPU and ends by itself.
struct ShortJobArrivals {
  std::string m_service;        ///< Worker pool of the queue.
  std::int64_t m_priority = 0;  ///< Of the queue; lower is more urgent.
  std::uint64_t m_tasks = 0;
  std::int64_t m_cpu_milli = 0;  ///< Sum over the tasks.
};

/// Recent arrivals of short jobs, by second of acceptance.
struct ShortJobDemand {
  struct Second {
    std::int64_t m_unix_second = 0;
    std::map<std::string, ShortJobArrivals> m_by_queue;
  };
  std::deque<Second> m_seconds;  ///< Oldest first; seconds without any omitted.
};

/// CPU to be kept free for short jobs.
struct Headroom {
  std::int64_t m_cpu_milli = 0;       ///< 0: no short jobs were seen.
  std::int64_t m_task_cpu_milli = 0;  ///< Mean CPU of one of their tasks.
};

/// Adds an accepted job. Long-running jobs and jobs with occurrences are
/// ignored, and so are jobs accepted long before the latest one, and steps that
/// fit none of \p workers: head-room would not help them.
void RecordArrival(ShortJobDemand* demand,
                   const Submission& job,
                   const std::vector<Worker>& workers);

/// Head-room towards long-running tasks of \p queue: CPU for the highest demand
/// of recent seconds by short jobs of the same pool and the same or a more
/// urgent priority, with a margin for bursts. \p pool_cpu_milli is the CPU of
/// all workers of the pool, and \p unix_now the time in milliseconds.
Headroom HeadroomFor(const ShortJobDemand& demand,
                     const RunTimeEstimates& run_times,
                     const QueuePolicy& queue,
                     std::int64_t pool_cpu_milli,
                     std::int64_t unix_now);

/// Free CPU of a pool of workers.
struct PoolCpu {
  std::int64_t m_total_milli = 0;
  std::int64_t m_free_milli = 0;
  /// The part of it in which whole tasks of the size that the head-room names
  /// fit.
  std::int64_t m_usable_milli = 0;
};

/// Adds a worker to the pool.
void AddWorkerCpu(const Worker& worker,
                  const Headroom& headroom,
                  PoolCpu* pool);

/// CPU that first runs of long-running tasks may take. They leave the head-room
/// usable, but are never held back while the free CPU exceeds the upper bound
/// of the head-room: what is too fragmented for the short tasks that arrived
/// isn't kept from those that fit.
std::int64_t GrowthBudget(const PoolCpu& pool, const Headroom& headroom);

/// True for a task that never ran and, once started, keeps its CPU until its
/// job is cancelled. Only such tasks are subject to the head-room: a task that
/// ran before is restarted wherever it fits.
bool IsLongRunningGrowth(const StepPlan& step, const Task& task);

}  // namespace hyssopspar::jobs
