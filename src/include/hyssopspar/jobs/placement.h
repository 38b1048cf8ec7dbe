/// \file
/// Choice of a worker for a task.

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

/// What a task asks of its worker beyond its step's plan.
struct PlacementQuery {
  const StepPlan* m_step = nullptr;
  const std::string* m_service = nullptr;
  const std::set<std::string>* m_domains_out = nullptr;
  /// Workers on which a run of this task has failed.
  const std::vector<int>* m_failed_on = nullptr;
  /// Tasks of the step on each worker.
  const std::vector<std::uint32_t>* m_step_tasks = nullptr;
  /// Effect of the task on the tails of the worker of an index. Asked for
  /// tasks that fill, on workers that could take them otherwise.
  std::function<TailEffect(std::size_t)> m_tail_effect;
  /// Unlikeness of a serving task's image to those of the worker of an index.
  /// Asked for tasks that serve, on workers with others that do.
  std::function<double(std::size_t)> m_unlikeness;
  const StepAdvice* m_advice = nullptr;  ///< Null: no ticket is needed.
  std::string m_rack;  ///< Preferred, of a gang that is best on one rack.
  TimePoint m_now;
};

/// True when the worker may take the task now, but for a ticket.
bool IsEligible(const Worker& worker,
                std::uint32_t step_tasks,
                const PlacementQuery& query);

/// Processors that idle-filling tasks of the worker may expect to find unused,
/// in thousandths; negative when they want more than that already.
double IdleCpu(const Worker& worker);

/// Index of the best eligible worker, or kNoWorker.
int ChooseWorker(const std::vector<Worker>& workers,
                 const PlacementQuery& query);

}  // namespace hyssopspar::jobs
