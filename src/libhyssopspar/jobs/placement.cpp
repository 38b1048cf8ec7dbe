#include "hyssopspar/jobs/placement.h"

#include <algorithm>

#include "hyssopspar/jobs/task.h"

namespace hyssopspar::jobs {

namespace {

/// Worth of the rack that holds the data, and of a worker on which no run of
/// the task has failed: more than any difference in free processors.
constexpr double kRackBonus = 1e6;
constexpr double kFailurePenalty = 1e5;
/// Part of their reserved processors that serving tasks use.
constexpr double kServingLoad = 0.45;
/// Part of its processors that a filling task has to find idle.
constexpr double kLeastIdle = 0.6;
/// Expected tail over target beyond which no filling task is added.
constexpr double kExpectedTailLimit = 0.7;
/// Worth of a worker whose serving tasks are all of the same image, and cost of
/// one whose serving tasks feel nothing that those of the image feel; more than
/// any difference in free processors.
constexpr double kLikeBonus = 2e5;
/// Worth of keeping a worker without serving tasks for images that disturb
/// them; more than any difference in idle processors.
constexpr double kQuietWorth = 2e5;
/// Worth of a tail ratio of one, in thousandths of a processor.
constexpr double kTailWeight = 8000;
/// Worth of a rise by one of a tail's logarithm, in thousandths of a
/// processor: what a worker has left for filling tasks, over the logarithm of
/// kExpectedTailLimit against a usual tail.
constexpr double kRiseWeight = 90000;

bool HasLabel(const WorkerEntry& entry, const std::string& label) {
  return label.empty() ||
         std::find(entry.m_labels.begin(), entry.m_labels.end(), label) !=
             entry.m_labels.end();
}

}  // namespace

bool IsEligible(const Worker& worker,
                std::uint32_t step_tasks,
                const PlacementQuery& query) {
  const StepPlan& step = *query.m_step;
  const bool usable = IsUsable(worker, *query.m_domains_out) &&
                      !worker.m_unknown_runs &&
                      worker.m_quarantined_until <= query.m_now &&
                      worker.m_backoff_until <= query.m_now &&
                      worker.m_entry.m_service == *query.m_service;
  if (!usable || !HasLabel(worker.m_entry, step.m_label)) {
    return false;
  }
  if (step.m_per_worker > 0 && step_tasks >= step.m_per_worker) {
    return false;
  }
  return Fits(worker.m_used + worker.m_foreign + RoomOf(step),
              worker.m_entry.m_capacity);
}

double IdleCpu(const Worker& worker) {
  const double capacity =
      static_cast<double>(worker.m_entry.m_capacity.m_cpu_milli);
  const double serving = static_cast<double>(worker.m_serve_cpu_milli);
  const double working =
      static_cast<double>(worker.m_used.m_cpu_milli) - serving;
  return capacity - working - kServingLoad * serving -
         static_cast<double>(worker.m_fill_cpu_milli);
}

namespace {

/// Tasks that serve keep to workers whose serving images feel the same, so that
/// fewer images of filling tasks disturb somebody there.
double ServingScore(const Worker& worker,
                    std::size_t index,
                    const PlacementQuery& query) {
  const std::map<std::string, std::uint32_t>& images = worker.m_serving_images;
  if (images.empty()) {
    return 0;
  }
  const bool only_like =
      images.size() == 1 && images.count(query.m_step->m_image) == 1;
  return kLikeBonus * (only_like ? 1 : 1 - 2 * query.m_unlikeness(index));
}

/// Higher is better. Tasks that reserve processors are packed, so that whole
/// workers stay free for large tasks and for those that disturb others; tasks
/// that fill go where most is idle.
double Score(const Worker& worker,
             std::size_t index,
             const TailEffect& effect,
             const PlacementQuery& query) {
  const StepPlan& step = *query.m_step;
  double score = 0;
  if (step.m_fills_idle) {
    score = IdleCpu(worker) - kTailWeight * effect.m_ratio -
            kRiseWeight * effect.m_rise;
    score -= worker.m_serving_images.empty() ? kQuietWorth : 0;
  } else {
    score = static_cast<double>(worker.m_used.m_cpu_milli -
                                worker.m_entry.m_capacity.m_cpu_milli);
    score += step.m_tail_target > milliseconds(0)
                 ? ServingScore(worker, index, query)
                 : 0;
  }
  const std::string& rack = worker.m_entry.m_rack;
  const bool near =
      !rack.empty() && (rack == step.m_data_rack || rack == query.m_rack);
  const bool failed_here =
      std::find(query.m_failed_on->begin(), query.m_failed_on->end(),
                static_cast<int>(index)) != query.m_failed_on->end();
  return score + (near ? kRackBonus : 0) - (failed_here ? kFailurePenalty : 0);
}

/// True when a filling task would find enough idle on the worker.
bool HasIdleCpu(const Worker& worker, const StepPlan& step) {
  return IdleCpu(worker) >=
         kLeastIdle * static_cast<double>(step.m_size.m_cpu_milli);
}

bool HasTicket(const Worker& worker,
               std::size_t index,
               const PlacementQuery& query) {
  return query.m_advice == nullptr ||
         TicketFor(*query.m_advice, static_cast<int>(index),
                   worker.m_born_unix_ms, query.m_now);
}

}  // namespace

int ChooseWorker(const std::vector<Worker>& workers,
                 const PlacementQuery& query) {
  int best = kNoWorker;
  double best_score = 0;
  const bool fills = query.m_step->m_fills_idle;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    if (!IsEligible(workers[i], (*query.m_step_tasks)[i], query) ||
        (fills && !HasIdleCpu(workers[i], *query.m_step)) ||
        !HasTicket(workers[i], i, query)) {
      continue;
    }
    const TailEffect effect = fills ? query.m_tail_effect(i) : TailEffect();
    if (effect.m_ratio > kExpectedTailLimit) {
      continue;
    }
    const double score = Score(workers[i], i, effect, query);
    if (best == kNoWorker || score > best_score) {
      best = static_cast<int>(i);
      best_score = score;
    }
  }
  return best;
}

}  // namespace hyssopspar::jobs
