/// \file
/// Selection of a worker for a task.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "hyssopspar/jobs/job_plan.h"
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
  /// Indices of workers on which a run of this task has failed.
  const std::vector<int>* m_failed_on = nullptr;
  /// Number of tasks of the step on each worker, by worker index.
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
};

/// True if the worker meets all requirements of the task except a ticket and,
/// for best-effort tasks, unused CPU and predicted tail latency.
/// \p step_tasks is the number of tasks of the step on the worker.
bool IsEligible(const Worker& worker,
                std::uint32_t step_tasks,
                const PlacementQuery& query);

/// Expected unused CPU of the worker, in thousandths of a processor, after the
/// demand of its best-effort tasks; negative if that demand exceeds it.
double UnusedCpuMilli(const Worker& worker);

/// Index of the eligible worker with the highest score, or kNoWorker.
int ChooseWorker(const std::vector<Worker>& workers,
                 const PlacementQuery& query);

}  // namespace hyssopspar::jobs
