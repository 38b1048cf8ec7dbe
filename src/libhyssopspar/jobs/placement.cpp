#include "hyssopspar/jobs/placement.h"

#include <algorithm>

#include "hyssopspar/jobs/task.h"

namespace hyssopspar::jobs {

namespace {

/// Score term for the preferred rack. Outweighs any difference in free CPU.
constexpr double kPreferredRackBonus = 1e6;
/// Fraction of their reserved CPU that serving tasks are assumed to use.
constexpr double kServingCpuUtilization = 0.45;
/// Score of a worker whose serving tasks all have the same image as the task. A
/// worker whose serving images share none of the task's interference
/// sensitivity gets the same amount as a penalty. Outweighs any difference in
/// free CPU.
constexpr double kSameImageBonus = 2e5;
/// Penalty for placing a best-effort task on a worker without serving tasks,
/// which keeps such workers free for images that cause interference. Outweighs
/// any difference in unused CPU.
constexpr double kNoServingTasksPenalty = 2e5;
/// Cost of a predicted tail ratio of 1, in thousandths of a processor.
constexpr double kTailRatioWeight = 8000;
/// Cost of a rise of log(tail ratio) by 1, in thousandths of a processor: the
/// CPU that a worker typically has left for best-effort tasks, divided by
/// log(highest allowed / typical tail ratio).
constexpr double kLogTailIncreaseWeight = 90000;

/// Penalty for taking one of the last gaps of a waiting large task. Outweighs
/// the terms for images, but not the preferred rack.
constexpr double kLastGapPenalty = 5e5;

bool HasLabel(const WorkerEntry& entry, const std::string& label) {
  return label.empty() ||
         std::find(entry.m_labels.begin(), entry.m_labels.end(), label) !=
             entry.m_labels.end();
}

}  // namespace

bool FitsEmptyWorker(const std::vector<Worker>& workers,
                     const std::string& service,
                     const StepPlan& step) {
  const Resources size = ReservedResourcesOf(step);
  bool is_any_listed = false;
  for (const Worker& worker : workers) {
    if (!worker.m_listed || worker.m_entry.m_service != service) {
      continue;
    }
    is_any_listed = true;
    if (Fits(size, worker.m_entry.m_capacity) &&
        HasLabel(worker.m_entry, step.m_label)) {
      return true;
    }
  }
  return !is_any_listed;
}

bool IsEligible(const Worker& worker,
                std::size_t index,
                const PlacementQuery& query) {
  const StepPlan& step = *query.m_step;
  if (!Fits(worker.m_used + worker.m_unexpected_run_resources +
                ReservedResourcesOf(step),
            worker.m_entry.m_capacity)) {
    return false;
  }
  const bool usable = IsUsable(worker, *query.m_excluded_domains) &&
                      !worker.m_has_unknown_runs &&
                      worker.m_quarantined_until <= query.m_now &&
                      worker.m_backoff_until <= query.m_now &&
                      worker.m_entry.m_service == *query.m_service;
  if (!usable || !HasLabel(worker.m_entry, step.m_label)) {
    return false;
  }
  return step.m_max_tasks_per_worker == 0 ||
         (*query.m_step_tasks_by_worker)[index] < step.m_max_tasks_per_worker;
}

double UnusedCpuMilli(const Worker& worker) {
  const double capacity =
      static_cast<double>(worker.m_entry.m_capacity.m_cpu_milli);
  const double serving = static_cast<double>(worker.m_serving_cpu_milli);
  const double other_reserved =
      static_cast<double>(worker.m_used.m_cpu_milli) - serving;
  return capacity - other_reserved - kServingCpuUtilization * serving -
         static_cast<double>(worker.m_best_effort_cpu_milli);
}

namespace {

/// Score of a serving task for a worker that already runs serving tasks. Groups
/// serving images with similar interference sensitivity, so that fewer
/// best-effort images interfere with any of them.
double ServingScore(const Worker& worker,
                    std::size_t index,
                    const PlacementQuery& query) {
  const std::map<std::string, std::uint32_t>& images = worker.m_serving_images;
  if (images.empty()) {
    return 0;
  }
  const bool same_image_only =
      images.size() == 1 && images.count(query.m_step->m_image) == 1;
  return kSameImageBonus *
         (same_image_only ? 1 : 1 - 2 * query.m_image_dissimilarity(index));
}

/// Score of a worker for a task; higher is better. Tasks that reserve CPU are
/// packed, so that entire workers stay free for large tasks and for those
/// that cause interference. Best-effort tasks prefer the workers with the most
/// unused CPU.
double Score(const Worker& worker,
             std::size_t index,
             const TailEffect& effect,
             const PlacementQuery& query) {
  const StepPlan& step = *query.m_step;
  double score = 0;
  if (step.m_is_best_effort) {
    score = UnusedCpuMilli(worker) - kTailRatioWeight * effect.m_max_ratio -
            kLogTailIncreaseWeight * effect.m_max_log_increase;
    score -= worker.m_serving_images.empty() ? kNoServingTasksPenalty : 0;
  } else {
    score = static_cast<double>(worker.m_used.m_cpu_milli -
                                worker.m_entry.m_capacity.m_cpu_milli);
    score += step.m_tail_latency_target > milliseconds(0)
                 ? ServingScore(worker, index, query)
                 : 0;
  }
  const std::string& rack = worker.m_entry.m_rack;
  const bool on_preferred_rack =
      !rack.empty() && (rack == step.m_data_rack || rack == query.m_rack);
  return score + (on_preferred_rack ? kPreferredRackBonus : 0);
}

/// True if the worker has enough unused CPU for a best-effort task of the step.
bool HasEnoughUnusedCpu(const Worker& worker, const StepPlan& step) {
  return UnusedCpuMilli(worker) >=
         kMinUnusedCpuFraction * static_cast<double>(step.m_size.m_cpu_milli);
}

bool HasTicket(const Worker& worker,
               std::size_t index,
               const PlacementQuery& query) {
  return query.m_advice == nullptr ||
         TicketFor(*query.m_advice, static_cast<int>(index),
                   worker.m_incarnation_unix_ms, query.m_now);
}

}  // namespace

std::optional<double> ScoreOf(const Worker& worker,
                              std::size_t index,
                              const PlacementQuery& query) {
  const bool best_effort = query.m_step->m_is_best_effort;
  if (!IsEligible(worker, index, query) ||
      (best_effort && !HasEnoughUnusedCpu(worker, *query.m_step)) ||
      !HasTicket(worker, index, query)) {
    return std::nullopt;
  }
  const HoldVerdict hold =
      query.m_holds == nullptr
          ? HoldVerdict::kFree
          : JudgePlacement(*query.m_holds, static_cast<int>(index),
                           query.m_planned);
  if (hold == HoldVerdict::kReserved) {
    return std::nullopt;
  }
  const TailEffect effect =
      best_effort ? query.m_predict_tail_effect(index) : TailEffect();
  if (effect.m_max_ratio > worker.m_outlook.m_limits.m_place) {
    return std::nullopt;
  }
  return Score(worker, index, effect, query) -
         (hold == HoldVerdict::kLastGap ? kLastGapPenalty : 0);
}

}  // namespace hyssopspar::jobs
