// Placement of the tasks of one step within a scheduling pass.

#include <algorithm>
#include <optional>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/crash_blame.h"
#include "hyssopspar/jobs/placement.h"
#include "hyssopspar/jobs/placement_candidates.h"
#include "hyssopspar/jobs/tail_forecast.h"

namespace hyssopspar::jobs {

namespace {

/// Time for which a worker gets no other task after a suspect was placed on it:
/// until its start is stored and confirmed and the run is proven.
constexpr milliseconds kSuspectIsolation{2000};
/// At most one worker in this many is kept free for suspects at a time.
constexpr std::size_t kIsolationDivisor = 4;

/// Moves the indexes for which \p matches is true out of \p indexes.
template <class Predicate>
std::vector<std::size_t> MoveMatching(std::vector<std::size_t>* indexes,
                                      Predicate matches) {
  const auto first =
      std::stable_partition(indexes->begin(), indexes->end(),
                            [&matches](std::size_t i) { return !matches(i); });
  std::vector<std::size_t> matching(first, indexes->end());
  indexes->erase(first, indexes->end());
  return matching;
}

/// The workers of \p pool that may take the task.
std::vector<int> PoolOf(const Task& task, const std::vector<int>& pool) {
  if (task.m_only_worker == kNoWorker) {
    return pool;
  }
  const bool is_usable =
      std::find(pool.begin(), pool.end(), task.m_only_worker) != pool.end();
  return is_usable ? std::vector<int>{task.m_only_worker} : std::vector<int>();
}

}  // namespace

void Cell::CountTaskOnWorker(int worker, StepPlacement* placement) {
  if (!placement->m_tasks_on_worker.empty()) {
    ++placement->m_tasks_on_worker[static_cast<std::size_t>(worker)];
  }
}

/// Returns the indexes of the step's tasks that may be placed now. Fills
/// \p placement with the number of the step's placed tasks on each worker and
/// the step's highest run number.
std::vector<std::size_t> Cell::PlaceableTasks(Job* job,
                                              std::size_t first,
                                              const StepPlan& plan,
                                              TimePoint now,
                                              StepPlacement* placement) {
  std::vector<std::size_t> pending;
  if (plan.m_max_tasks_per_worker > 0) {
    placement->m_tasks_on_worker.resize(m_workers.size());
  }
  for (std::size_t i = first; i < first + plan.m_tasks; ++i) {
    Task& task = job->m_tasks[i];
    placement->m_highest_run = std::max(placement->m_highest_run, task.m_run);
    if (IsPlaced(task)) {
      CountTaskOnWorker(task.m_worker, placement);
    } else if (task.m_state == TaskState::kPending && task.m_not_before > now) {
      m_next_schedule = std::min(m_next_schedule, task.m_not_before);
    } else if (task.m_state == TaskState::kPending) {
      const StartConstraint constraint =
          ConstrainNextStart(NameOfTask(*job, i), m_workers,
                             m_settings.m_order_limits, now, &task);
      task.m_only_worker = constraint.m_only_worker;
      if (constraint.m_must_wait) {
        m_next_schedule = std::min(m_next_schedule, now + kPlacementRetryDelay);
      } else {
        pending.push_back(i);
      }
    }
  }
  return pending;
}

void Cell::PlaceStep(Job* job,
                     const StepPosition& at,
                     std::vector<std::size_t> pending,
                     std::uint64_t unschedulable_at,
                     StepPlacement* placement,
                     TimePoint now) {
  const StepPlan& plan = job->m_submission.m_plan.m_steps[at.m_step];
  const std::string& service = job->m_submission.m_queue.m_service;
  StepAdvice* const advice = AdviceOf(job, at.m_occurrence, at.m_step);
  PlacementQuery query;
  query.m_step = &plan;
  query.m_service = &service;
  query.m_excluded_domains = &m_excluded_domains;
  query.m_step_tasks_by_worker = &placement->m_tasks_on_worker;
  query.m_now = now;
  query.m_advice = advice;
  const StepKey key{job->m_number, at.m_occurrence, at.m_step};
  LookAheadFor(*job, key, &query);
  std::vector<std::size_t> suspects;
  std::vector<std::size_t> repeated_suspects;
  std::vector<std::size_t> delayed;
  if (!plan.m_gang) {
    delayed = MoveMatching(&pending, [this, job, now](std::size_t i) {
      return AwaitsCalm(job->m_tasks[i], now);
    });
    suspects = MoveMatching(&pending, [job, now](std::size_t i) {
      return job->m_tasks[i].m_isolate_until > now;
    });
    repeated_suspects = MoveMatching(&pending, [job](std::size_t i) {
      return IsRepeatedSuspect(job->m_tasks[i]);
    });
  }
  const std::vector<std::size_t> constrained =
      MoveMatching(&pending, [job](std::size_t i) {
        return job->m_tasks[i].m_only_worker != kNoWorker;
      });
  const std::vector<std::size_t> placed_constrained =
      PlaceConstrained(job, constrained, &query, placement);
  std::vector<std::size_t> placed = PlaceTasks(
      job, pending,
      unschedulable_at == 0 ? UsablePool(service)
                            : CandidatesSince(service, unschedulable_at, key),
      query, placement);
  const bool complete = placed.size() == pending.size();
  if (!complete && advice == nullptr) {
    m_unschedulable_steps.Add(service, plan, m_last_worker_change);
  }
  UpdateWaiting(*job, query, pending, placed);
  placed.insert(placed.end(), placed_constrained.begin(),
                placed_constrained.end());
  if (!suspects.empty()) {
    const std::vector<std::size_t> placed_suspects =
        PlaceSuspects(job, suspects, query, placement);
    placed.insert(placed.end(), placed_suspects.begin(), placed_suspects.end());
  }
  if (!repeated_suspects.empty()) {
    const std::vector<std::size_t> placed_apart =
        PlaceApart(job, repeated_suspects, query, placement);
    placed.insert(placed.end(), placed_apart.begin(), placed_apart.end());
  }
  if (placed.size() < pending.size() + constrained.size() + suspects.size() +
                          repeated_suspects.size() + delayed.size()) {
    m_next_schedule = std::min(m_next_schedule, now + kPlacementRetryDelay);
    if (advice != nullptr) {
      AskAdviser(*job, at.m_occurrence, at.m_step, query, advice);
    }
  }
  RecordPlacements(job, plan, placed,
                   complete && placed_constrained.size() == constrained.size(),
                   placement->m_highest_run, now);
}

std::vector<std::size_t> Cell::PlaceConstrained(
    Job* job,
    const std::vector<std::size_t>& constrained,
    PlacementQuery* query,
    StepPlacement* placement) {
  const std::vector<int>& pool = UsablePool(*query->m_service);
  std::vector<std::size_t> placed;
  for (const std::size_t i : constrained) {
    const std::vector<std::size_t> placed_here =
        PlaceTasks(job, {i}, PoolOf(job->m_tasks[i], pool), *query, placement);
    if (placed_here.empty()) {
      continue;
    }
    placed.push_back(i);
    if (query->m_step->m_same_rack && query->m_rack.empty()) {
      const int worker = job->m_tasks[i].m_worker;
      query->m_rack =
          m_workers[static_cast<std::size_t>(worker)].m_entry.m_rack;
    }
  }
  return placed;
}

/// Assigns workers to the tasks of \p pending in order, up to the first that
/// finds none. Returns the indexes of the placed tasks.
std::vector<std::size_t> Cell::PlaceTasks(
    Job* job,
    const std::vector<std::size_t>& pending,
    const std::vector<int>& pool,
    PlacementQuery query,
    StepPlacement* placement) {
  const StepPlan& plan = *query.m_step;
  const TailForecast* const forecast =
      plan.m_is_best_effort ? &ForecastOf(plan.m_image) : nullptr;
  std::vector<std::optional<TailEffect>> effects(
      plan.m_is_best_effort ? m_workers.size() : 0);
  query.m_predict_tail_effect = [&](std::size_t i) {
    if (!effects[i]) {
      effects[i] = forecast->EffectOn(m_workers[i].m_expected_tails,
                                      CpuShareOf(plan, m_workers[i]));
    }
    return *effects[i];
  };
  query.m_image_dissimilarity = [&](std::size_t i) {
    return m_interference.SensitivityDissimilarity(
        plan.m_image, m_workers[i].m_serving_images);
  };
  std::vector<std::size_t> placed;
  PlacementCandidates candidates(&m_workers, pool, &query);
  for (const std::size_t i : pending) {
    const int worker = candidates.Best(job->m_tasks[i].m_failed_on);
    if (worker == kNoWorker) {
      break;
    }
    const std::size_t worker_index = static_cast<std::size_t>(worker);
    AssignWorker({job, i}, worker);
    SubtractPlaced(worker, query.m_planned,
                   &m_look_ahead.m_reservations.m_holds);
    if (forecast != nullptr) {
      forecast->Apply(CpuShareOf(plan, m_workers[worker_index]),
                      &m_workers[worker_index].m_expected_tails);
      effects[worker_index].reset();
    }
    CountTaskOnWorker(worker, placement);
    if (plan.m_same_rack && query.m_rack.empty()) {
      query.m_rack = m_workers[worker_index].m_entry.m_rack;
      candidates.UpdateAll();
    } else {
      candidates.Update(worker);
    }
    placed.push_back(i);
  }
  m_work.m_worker_visits += candidates.Evaluations();
  return placed;
}

std::vector<std::size_t> Cell::PlaceSuspects(
    Job* job,
    const std::vector<std::size_t>& suspects,
    const PlacementQuery& query,
    StepPlacement* placement) {
  const TimePoint now = query.m_now;
  const std::vector<int>& pool = UsablePool(*query.m_service);
  UpdateTouchedWorkers(now);
  if (m_agenda.m_resumptions.size() * kIsolationDivisor >= pool.size()) {
    return {};
  }
  std::vector<int> proven_pool;
  for (const int index : pool) {
    if (!HasUnprovenTask(m_workers[static_cast<std::size_t>(index)], now)) {
      proven_pool.push_back(index);
    }
  }
  std::vector<std::size_t> placed;
  for (const std::size_t i : suspects) {
    const Task& task = job->m_tasks[i];
    const std::vector<std::size_t> placed_here =
        PlaceTasks(job, {i}, PoolOf(task, proven_pool), query, placement);
    if (placed_here.empty()) {
      ReserveForSuspect(job, i, PoolOf(task, pool), query);
      continue;
    }
    TouchWorker(task.m_worker).m_backoff_until = now + kSuspectIsolation;
    placed.push_back(i);
  }
  return placed;
}

std::vector<std::size_t> Cell::PlaceApart(
    Job* job,
    const std::vector<std::size_t>& suspects,
    const PlacementQuery& query,
    StepPlacement* placement) {
  std::vector<int> pool;
  for (const int index : UsablePool(*query.m_service)) {
    if (!HasUnprovenRepeatedSuspect(m_workers[static_cast<std::size_t>(index)],
                                    query.m_now)) {
      pool.push_back(index);
    }
  }
  std::vector<std::size_t> placed;
  for (const std::size_t i : suspects) {
    if (!PlaceTasks(job, {i}, PoolOf(job->m_tasks[i], pool), query, placement)
             .empty()) {
      pool.erase(std::find(pool.begin(), pool.end(), job->m_tasks[i].m_worker));
      placed.push_back(i);
    }
  }
  return placed;
}

void Cell::ReserveForSuspect(Job* job,
                             std::size_t index,
                             const std::vector<int>& pool,
                             const PlacementQuery& query) {
  const TimePoint now = query.m_now;
  for (const int candidate : pool) {
    const Worker& worker = m_workers[static_cast<std::size_t>(candidate)];
    if (HasUnprovenTask(worker, now) &&
        IsEligible(worker, static_cast<std::size_t>(candidate), query)) {
      TouchWorker(candidate).m_backoff_until = now + kUnprovenRunAge;
      job->m_tasks[index].m_not_before = now + kUnprovenRunAge;
      m_next_schedule = std::min(m_next_schedule, now + kUnprovenRunAge);
      return;
    }
  }
  m_next_schedule = std::min(m_next_schedule, now + kPlacementRetryDelay);
}

/// Marks the placements to be stored. Those of a gang are undone unless it is
/// \p complete.
void Cell::RecordPlacements(Job* job,
                            const StepPlan& plan,
                            const std::vector<std::size_t>& placed,
                            bool complete,
                            std::uint32_t highest_run,
                            TimePoint now) {
  for (const std::size_t i : placed) {
    Task& task = job->m_tasks[i];
    if (plan.m_gang && !complete) {
      UnassignWorker({job, i});
      continue;
    }
    // Members of a gang share a run number.
    task.m_run = plan.m_gang ? highest_run + 1 : task.m_run + 1;
    SetTaskState(job, i, TaskState::kRecording);
    ++m_work.m_tasks_placed;
    ++m_starts_in_progress;
    if (m_look_ahead.m_waits.size() < kMaxPlacementWaits) {
      m_look_ahead.m_waits.push_back(
          {ReservedResourcesOf(plan).m_cpu_milli, now - task.m_stage_since});
    }
    EndStage({job, i}, Stage::kPlace, now);
    MarkDirty(job);
  }
  if (plan.m_gang && !complete) {
    // Undoing the placements freed only resources that were free before this
    // pass, so no further pass is needed.
    m_schedule_needed = false;
  }
}

}  // namespace hyssopspar::jobs
