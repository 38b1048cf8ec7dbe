// Placement that considers waiting large tasks and expected completions: what
// the cell passes to jobs/forecast/ and jobs/reservation/. All of it without
// effect unless CellSettings::m_look_ahead is set.

#include <algorithm>
#include <iterator>

#include "hyssopspar/jobs/cell.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Forecast of the worker's free capacity, by the end of its placed tasks.
WorkerForecast CapacityForecastOf(const Worker& worker,
                                  int index,
                                  const RunTimesByQueue& run_times,
                                  TimePoint now) {
  WorkerForecast forecast;
  forecast.m_service = worker.m_entry.m_service;
  forecast.m_labels = worker.m_entry.m_labels;
  forecast.m_capacity.m_worker = index;
  forecast.m_capacity.m_capacity = worker.m_entry.m_capacity;
  forecast.m_capacity.m_free = worker.m_entry.m_capacity - worker.m_used -
                               worker.m_unexpected_run_resources;
  for (const TaskRef& ref : worker.m_tasks) {
    const StepPlan& step = StepOf(*ref.m_job, ref.m_index);
    if (step.m_long_running) {
      continue;
    }
    const Task& task = ref.m_job->m_tasks[ref.m_index];
    const Duration elapsed =
        task.m_is_confirmed ? now - task.m_confirmed_at : Duration(0);
    const Duration left = RemainingRunTimeQuantile(
        RunTimesOf(run_times, ref.m_job->m_submission.m_queue.m_name),
        step.m_estimate, elapsed, kReleaseQuantile);
    forecast.m_capacity.m_releases.push_back(
        {now + left, ReservedResourcesOf(step)});
  }
  SortReleases(&forecast.m_capacity);
  return forecast;
}

}  // namespace

void Cell::PlanAhead(TimePoint now) {
  ReservationState& state = m_look_ahead.m_reservations;
  if (!m_settings.m_look_ahead || now < m_look_ahead.m_next_plan) {
    return;
  }
  m_look_ahead.m_next_plan = now + kPlanInterval;
  m_look_ahead.m_large_cpu_milli = LargeTaskCpuMilli(m_workers);
  m_work.m_worker_visits += m_workers.size();
  if (state.m_waiting.empty() && state.m_holds.empty()) {
    return;
  }
  std::vector<WorkerForecast> forecasts;
  for (std::size_t i = 0; i < m_workers.size(); ++i) {
    const Worker& worker = m_workers[i];
    if (IsUsable(worker, m_excluded_domains) && !worker.m_has_unknown_runs &&
        worker.m_quarantined_until <= now && worker.m_backoff_until <= now) {
      forecasts.push_back(CapacityForecastOf(worker, static_cast<int>(i),
                                             m_look_ahead.m_run_times, now));
    }
  }
  m_work.m_worker_visits += forecasts.size();
  // A worker whose reservation has changed may take a task that it could not
  // take before.
  for (const int worker : PlanReservations(forecasts, now, &state)) {
    TouchImprovedWorker(worker);
  }
  UpdateTouchedWorkers(now);
}

std::vector<int> Cell::ReservedWorkers(const StepKey& step) const {
  std::vector<int> workers;
  const ReservationState& state = m_look_ahead.m_reservations;
  if (state.m_waiting.count(step) > 0) {
    for (const std::pair<const int, Hold>& hold : state.m_holds) {
      if (hold.second.m_is_reservation && hold.second.m_step == step) {
        workers.push_back(hold.first);
      }
    }
  }
  return workers;
}

std::vector<int> Cell::CandidatesSince(const std::string& service,
                                       std::uint64_t change,
                                       const StepKey& step) {
  std::vector<int> changed = ChangedSince(service, change);
  const std::vector<int> reserved = ReservedWorkers(step);
  if (reserved.empty()) {
    return changed;
  }
  std::vector<int> candidates;
  std::set_union(changed.begin(), changed.end(), reserved.begin(),
                 reserved.end(), std::back_inserter(candidates));
  return candidates;
}

void Cell::LookAheadFor(const Job& job,
                        const StepKey& step,
                        PlacementQuery* query) const {
  if (!m_settings.m_look_ahead) {
    return;
  }
  const StepPlan& plan = *query->m_step;
  query->m_holds = &m_look_ahead.m_reservations.m_holds;
  query->m_planned.m_step = step;
  query->m_planned.m_size = ReservedResourcesOf(plan);
  query->m_planned.m_ends_at =
      plan.m_long_running
          ? TimePoint::max()
          : query->m_now + RemainingRunTimeQuantile(
                               RunTimesOf(m_look_ahead.m_run_times,
                                          job.m_submission.m_queue.m_name),
                               plan.m_estimate, Duration(0), kBackfillQuantile);
}

bool Cell::IsLarge(const StepPlan& plan) const {
  return m_settings.m_look_ahead && ReservedResourcesOf(plan).m_cpu_milli >=
                                        m_look_ahead.m_large_cpu_milli;
}

bool Cell::MustBeTried(const Job& job,
                       const StepKey& step,
                       const StepPlan& plan) const {
  // A step that needs tickets is never reserved for.
  if (!IsLarge(plan) ||
      job.m_submission.m_queue.m_ticket_validity > milliseconds(0)) {
    return false;
  }
  const bool known = m_look_ahead.m_reservations.m_waiting.count(step) > 0;
  return !known || !ReservedWorkers(step).empty();
}

void Cell::MarkStillWaiting(const StepKey& step, TimePoint now) {
  const auto it = m_look_ahead.m_reservations.m_waiting.find(step);
  if (it != m_look_ahead.m_reservations.m_waiting.end()) {
    it->second.m_seen_at = now;
  }
}

void Cell::UpdateWaiting(const Job& job,
                         const PlacementQuery& query,
                         const std::vector<std::size_t>& pending,
                         const std::vector<std::size_t>& placed) {
  const StepPlan& plan = *query.m_step;
  if (!IsLarge(plan) || query.m_advice != nullptr) {
    return;
  }
  const bool complete = placed.size() == pending.size();
  std::vector<int> placed_on;
  for (const std::size_t i : placed) {
    if (complete || !plan.m_gang) {
      placed_on.push_back(job.m_tasks[i].m_worker);
    }
  }
  ReservationState& state = m_look_ahead.m_reservations;
  const StepKey& key = query.m_planned.m_step;
  for (const int worker : UseReservations(key, placed_on, !complete, &state)) {
    TouchImprovedWorker(worker);
  }
  if (complete) {
    return;
  }
  WaitingStep& waiting = state.m_waiting[key];
  waiting.m_service = *query.m_service;
  waiting.m_label = plan.m_label;
  waiting.m_need = ReservedResourcesOf(plan);
  waiting.m_gang = plan.m_gang;
  waiting.m_max_per_worker = plan.m_max_tasks_per_worker;
  // Members of a gang that were placed are taken back, so that none counts.
  waiting.m_on_worker = plan.m_gang ? std::vector<std::uint32_t>()
                                    : *query.m_step_tasks_by_worker;
  waiting.m_tasks =
      static_cast<std::uint32_t>(pending.size() - placed_on.size());
  waiting.m_seen_at = query.m_now;
  waiting.m_since = TimePoint::max();
  for (const std::size_t i : pending) {
    if (plan.m_gang || job.m_tasks[i].m_worker == kNoWorker) {
      waiting.m_since = std::min(waiting.m_since, job.m_tasks[i].m_stage_since);
    }
  }
}

void Cell::ReportReservations(TimePoint now) const {
  if (!m_settings.m_look_ahead) {
    return;
  }
  const ReservationState& state = m_look_ahead.m_reservations;
  const ReservationSummary summary = Summarize(state.m_holds);
  const ReservationCounts& counts = state.m_counts;
  CellLog()->info(
      "reservations count={} cpu={} oldest_ms={} waiting_steps={} "
      "idle_core_ms={:.0f} granted={} used={} expired={} lost={} "
      "uneconomic={} superseded={}",
      summary.m_count, summary.m_reserved_cpu_milli / 1000,
      summary.m_count == 0 ? 0 : ToMillis(now - summary.m_oldest),
      state.m_waiting.size(), state.m_idle_core_ms, counts.m_granted,
      counts.m_used, counts.m_expired, counts.m_lost, counts.m_uneconomic,
      counts.m_superseded);
}

}  // namespace hyssopspar::jobs
