#include "hyssopspar/jobs/placement.h"

#include <algorithm>

#include "hyssopspar/jobs/task.h"

namespace hyssopspar::jobs {

namespace {

/// Worth of the rack that holds the data, and of a worker on which no run of
/// the task has failed: more than any difference in free processors.
constexpr double kRackBonus = 1e6;
constexpr double kFailurePenalty = 1e5;
/// Share of the processor that filling tasks want which counts as taken for
/// others.
constexpr double kFillShare = 0.5;
/// Tail over target beside which no more filling work is put.
constexpr double kFillTailLimit = 0.7;
constexpr double kTailPenalty = 1e5;

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
  const bool usable =
      worker.m_listed && worker.m_fenced && worker.m_reachable &&
      !worker.m_unknown_runs && !worker.m_entry.m_leaving &&
      worker.m_quarantined_until <= query.m_now &&
      worker.m_backoff_until <= query.m_now &&
      worker.m_entry.m_service == *query.m_service &&
      query.m_domains_out->count(worker.m_entry.m_failure_domain) == 0;
  if (!usable || !HasLabel(worker.m_entry, step.m_label)) {
    return false;
  }
  if (step.m_per_worker > 0 && step_tasks >= step.m_per_worker) {
    return false;
  }
  return Fits(worker.m_used + worker.m_foreign + RoomOf(step),
              worker.m_entry.m_capacity);
}

double PlacementScore(const Worker& worker, const PlacementQuery& query) {
  const StepPlan& step = *query.m_step;
  const double idle = static_cast<double>(
      worker.m_entry.m_capacity.m_cpu_milli - worker.m_used.m_cpu_milli);
  const double fill = static_cast<double>(worker.m_fill_cpu_milli);
  double score = 0;
  if (step.m_fills_idle) {
    score = idle * worker.m_pace / 100.0 - fill;
    score -= worker.m_tail_ratio > kFillTailLimit ? kTailPenalty : 0;
  } else {
    score = idle - kFillShare * fill;
  }
  const std::string& rack = worker.m_entry.m_rack;
  const bool near =
      !rack.empty() && (rack == step.m_data_rack || rack == query.m_rack);
  return score + (near ? kRackBonus : 0);
}

int ChooseWorker(const std::vector<Worker>& workers,
                 const PlacementQuery& query) {
  int best = kNoWorker;
  double best_score = 0;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    if (!IsEligible(workers[i], (*query.m_step_tasks)[i], query)) {
      continue;
    }
    const bool failed_here =
        std::find(query.m_failed_on->begin(), query.m_failed_on->end(),
                  static_cast<int>(i)) != query.m_failed_on->end();
    const double score =
        PlacementScore(workers[i], query) - (failed_here ? kFailurePenalty : 0);
    if (best == kNoWorker || score > best_score) {
      best = static_cast<int>(i);
      best_score = score;
    }
  }
  return best;
}

}  // namespace hyssopspar::jobs
