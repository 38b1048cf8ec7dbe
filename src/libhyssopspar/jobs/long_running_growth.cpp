#include "hyssopspar/jobs/long_running_growth.h"

#include <algorithm>

#include "hyssopspar/jobs/placement.h"

namespace hyssopspar::jobs {

namespace {

/// Arrivals are kept for this many seconds, so that the head-room outlasts the
/// pause between two bursts.
constexpr std::int64_t kWindowSeconds = 20;
/// Length of the spans whose demand is compared, in seconds: about the time in
/// which a caller of a short job still gets a timely result.
constexpr std::int64_t kSpanSeconds = 2;
/// Head-room relative to the highest demand seen, for bursts that exceed it.
constexpr double kBurstMargin = 1.5;
/// Upper bound of the head-room as a share of the pool's CPU. Short jobs that
/// need more are overload, for which no long-running task has to wait.
constexpr double kMaxHeadroomShare = 0.3;

bool IsShort(const JobPlan& plan) {
  return plan.m_occurrences == 0 &&
         std::none_of(plan.m_steps.begin(), plan.m_steps.end(),
                      [](const StepPlan& step) { return step.m_long_running; });
}

bool CompetesWith(const ShortJobArrivals& arrivals, const QueuePolicy& queue) {
  return arrivals.m_service == queue.m_service &&
         arrivals.m_priority <= queue.m_priority;
}

/// Demand of the arrivals in [\p first, \p first + kSpanSeconds), in
/// processor-seconds / 1000 per second.
double DemandOfSpan(const ShortJobDemand& demand,
                    const RunTimeEstimates& run_times,
                    const QueuePolicy& queue,
                    std::int64_t first) {
  double total = 0;
  for (const ShortJobDemand::Second& second : demand.m_seconds) {
    if (second.m_unix_second < first ||
        second.m_unix_second >= first + kSpanSeconds) {
      continue;
    }
    for (const auto& entry : second.m_by_queue) {
      if (CompetesWith(entry.second, queue)) {
        const double run_seconds =
            std::chrono::duration<double>(run_times.MeanRunTime(entry.first))
                .count();
        total += static_cast<double>(entry.second.m_cpu_milli) * run_seconds;
      }
    }
  }
  return total / kSpanSeconds;
}

}  // namespace

void RecordArrival(ShortJobDemand* demand,
                   const Submission& job,
                   const std::vector<Worker>& workers) {
  if (!IsShort(job.m_plan)) {
    return;
  }
  ShortJobArrivals arrivals;
  for (const StepPlan& step : job.m_plan.m_steps) {
    const Resources reserved = ReservedResourcesOf(step);
    if (reserved.m_cpu_milli > 0 &&
        FitsEmptyWorker(workers, job.m_queue.m_service, step)) {
      arrivals.m_tasks += step.m_tasks;
      arrivals.m_cpu_milli += reserved.m_cpu_milli * step.m_tasks;
    }
  }
  if (arrivals.m_tasks == 0) {
    return;
  }
  std::deque<ShortJobDemand::Second>& seconds = demand->m_seconds;
  const std::int64_t second = job.m_accepted_unix_ms / 1000;
  if (!seconds.empty() &&
      second <= seconds.back().m_unix_second - kWindowSeconds) {
    return;
  }
  const auto at = std::lower_bound(
      seconds.begin(), seconds.end(), second,
      [](const ShortJobDemand::Second& entry, std::int64_t value) {
        return entry.m_unix_second < value;
      });
  const bool exists = at != seconds.end() && at->m_unix_second == second;
  ShortJobDemand::Second& entry =
      exists ? *at : *seconds.insert(at, ShortJobDemand::Second{second, {}});
  ShortJobArrivals& total = entry.m_by_queue[job.m_queue.m_name];
  total.m_service = job.m_queue.m_service;
  total.m_priority = job.m_queue.m_priority;
  total.m_tasks += arrivals.m_tasks;
  total.m_cpu_milli += arrivals.m_cpu_milli;
  while (seconds.front().m_unix_second <=
         seconds.back().m_unix_second - kWindowSeconds) {
    seconds.pop_front();
  }
}

Headroom HeadroomFor(const ShortJobDemand& demand,
                     const RunTimeEstimates& run_times,
                     const QueuePolicy& queue,
                     std::int64_t pool_cpu_milli,
                     std::int64_t unix_now) {
  Headroom headroom;
  const std::int64_t oldest = unix_now / 1000 - kWindowSeconds;
  double highest = 0;
  std::int64_t cpu = 0;
  std::uint64_t tasks = 0;
  for (const ShortJobDemand::Second& second : demand.m_seconds) {
    if (second.m_unix_second <= oldest) {
      continue;
    }
    highest = std::max(
        highest, DemandOfSpan(demand, run_times, queue, second.m_unix_second));
    for (const auto& entry : second.m_by_queue) {
      if (CompetesWith(entry.second, queue)) {
        cpu += entry.second.m_cpu_milli;
        tasks += entry.second.m_tasks;
      }
    }
  }
  if (tasks == 0) {
    return headroom;
  }
  headroom.m_cpu_milli = static_cast<std::int64_t>(
      std::min(kBurstMargin * highest,
               kMaxHeadroomShare * static_cast<double>(pool_cpu_milli)));
  headroom.m_task_cpu_milli = cpu / static_cast<std::int64_t>(tasks);
  return headroom;
}

void AddWorkerCpu(const Worker& worker,
                  const Headroom& headroom,
                  PoolCpu* pool) {
  const std::int64_t capacity = worker.m_entry.m_capacity.m_cpu_milli;
  const std::int64_t free =
      std::max<std::int64_t>(0, capacity - worker.m_used.m_cpu_milli);
  const std::int64_t size =
      std::max<std::int64_t>(1, headroom.m_task_cpu_milli);
  pool->m_total_milli += capacity;
  pool->m_free_milli += free;
  pool->m_usable_milli += free / size * size;
}

std::int64_t GrowthBudget(const PoolCpu& pool, const Headroom& headroom) {
  const std::int64_t most_kept = static_cast<std::int64_t>(
      kMaxHeadroomShare * static_cast<double>(pool.m_total_milli));
  return std::max(pool.m_usable_milli - headroom.m_cpu_milli,
                  pool.m_free_milli - most_kept);
}

bool IsLongRunningGrowth(const StepPlan& step, const Task& task) {
  return step.m_long_running && !step.m_is_best_effort && task.m_run == 0;
}

}  // namespace hyssopspar::jobs
