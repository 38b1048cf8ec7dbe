/// \file
/// Selection of a worker for a task.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hyssopspar/jobs/job_plan.h"
#include "hyssopspar/jobs/reservation/hold.h"
#include "hyssopspar/jobs/tail_forecast.h"
#include "hyssopspar/jobs/worker.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Input for the placement of one task.
struct PlacementQuery {
  const StepPlan* m_step = nullptr;
  const std::string* m_service = nullptr;  ///< Required worker pool.
  /// Failure domains taken out of service by operators.
  const std::set<std::string>* m_excluded_domains = nullptr;
  /// Number of tasks of the step on each worker, by worker index; empty for a
  /// step without a limit per worker.
  const std::vector<std::uint32_t>* m_step_tasks_by_worker = nullptr;
  /// Predicts the effect of the task on tail latencies on the worker with the
  /// given index. Called only for best-effort tasks, and only for workers that
  /// meet all other requirements.
  std::function<TailEffect(std::size_t)> m_predict_tail_effect;
  /// Dissimilarity, from 0 to 1, between the interference sensitivity of a
  /// serving task's image and that of the serving images on the worker with the
  /// given index. Called only for serving tasks, and only for workers that
  /// already run serving tasks.
  std::function<double(std::size_t)> m_image_dissimilarity;
  const StepAdvice* m_advice = nullptr;  ///< Null: no ticket required.
  std::string m_rack;  ///< Preferred rack of a gang; "": none.
  TimePoint m_now;
  const Holds* m_holds = nullptr;  ///< Null: nothing is held for other tasks.
  PlannedTask m_planned;           ///< The task, as m_holds judge it.
};

/// True if some worker of the pool could run a task of the step beside nothing
/// else, by its capacity and its labels. True as well while no worker of the
/// pool is listed: their sizes aren't known then.
bool FitsEmptyWorker(const std::vector<Worker>& workers,
                     const std::string& service,
                     const StepPlan& step);

/// True if the worker with the index \p index meets all requirements of the
/// task except a ticket and, for best-effort tasks, unused CPU and predicted
/// tail latency.
bool IsEligible(const Worker& worker,
                std::size_t index,
                const PlacementQuery& query);

/// Expected unused CPU of the worker, in thousandths of a processor, after the
/// demand of its best-effort tasks; negative if that demand exceeds it.
double UnusedCpuMilli(const Worker& worker);

/// Fraction of its demand that a best-effort task must find as unused CPU.
inline constexpr double kMinUnusedCpuFraction = 0.6;

/// Score term for a worker on which a run of the task has failed. Outweighs any
/// difference in free CPU.
inline constexpr double kFailurePenalty = 1e5;

/// Score of the worker with the index \p index for a task of the step; higher
/// is better. Nothing if it can't take one.
std::optional<double> ScoreOf(const Worker& worker,
                              std::size_t index,
                              const PlacementQuery& query);

}  // namespace hyssopspar::jobs
