// Placement of ready tasks.

#include <algorithm>
#include <optional>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/placement.h"
#include "hyssopspar/jobs/tail_forecast.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Age from which a run is fully seen in its worker's reports.
constexpr milliseconds kUnshownTime{1000};
/// Pause before tasks that found no worker are tried again unasked.
constexpr milliseconds kRetryPause{250};
/// Between passes, so that one pass serves many events.
constexpr milliseconds kPassPause{20};

}  // namespace

void Cell::Schedule(TimePoint now) {
  if (now < m_last_schedule + kPassPause) {
    m_next_schedule = m_last_schedule + kPassPause;
    return;
  }
  m_last_schedule = now;
  m_schedule_needed = false;
  m_next_schedule = TimePoint::max();
  if (!MayAct(now)) {
    return;
  }
  m_refusals.Clear();
  m_forecasts.clear();
  AddUnshownPressure(now);
  SortByUrgency(now);
  for (Job* const job : m_open) {
    if (job->m_pending > 0) {
      ScheduleJob(job, now);
    }
  }
  for (const Worker& worker : m_workers) {
    for (const TimePoint until :
         {worker.m_quarantined_until, worker.m_backoff_until}) {
      if (until > now) {
        m_next_schedule = std::min(m_next_schedule, until);
      }
    }
  }
}

std::int64_t Cell::UnixMillis(TimePoint now) const {
  return ToMillis(now.time_since_epoch()) + m_unix_offset.count();
}

void Cell::SortByUrgency(TimePoint now) {
  std::vector<std::pair<Urgency, Job*>> order;
  order.reserve(m_open.size());
  const std::int64_t unix_now = UnixMillis(now);
  for (Job* const job : m_open) {
    order.emplace_back(UrgencyOf(*job, m_run_times, unix_now), job);
  }
  std::sort(order.begin(), order.end());
  std::transform(
      order.begin(), order.end(), m_open.begin(),
      [](const std::pair<Urgency, Job*>& entry) { return entry.second; });
}

bool Cell::IsDue(const Job& job, std::uint32_t occurrence, TimePoint now) {
  const JobPlan& plan = job.m_submission.m_plan;
  if (plan.m_occurrences == 0) {
    return true;
  }
  const std::int64_t due = plan.m_first_due_unix_ms +
                           std::int64_t{occurrence} * plan.m_interval.count();
  const milliseconds wait(due - UnixMillis(now));
  if (wait > milliseconds(0)) {
    m_next_schedule = std::min(m_next_schedule, now + wait);
    return false;
  }
  return true;
}

void Cell::ScheduleJob(Job* job, TimePoint now) {
  const std::uint32_t steps =
      static_cast<std::uint32_t>(job->m_submission.m_plan.m_steps.size());
  for (std::uint32_t occurrence = 0; occurrence < Occurrences(*job);
       ++occurrence) {
    if (!IsDue(*job, occurrence, now)) {
      return;
    }
    for (std::uint32_t step = 0; step < steps; ++step) {
      if (IsStepReady(*job, occurrence, step)) {
        ScheduleStep(job, occurrence, step, now);
      }
    }
  }
}

const TailForecast& Cell::ForecastOf(const std::string& filling) {
  return m_forecasts.try_emplace(filling, m_interference, filling)
      .first->second;
}

/// Reports do not yet show the tasks that were placed lately; adds what they
/// press to the tails of their workers.
void Cell::AddUnshownPressure(TimePoint now) {
  for (Worker& worker : m_workers) {
    worker.m_expected_tails = worker.m_tails;
    for (const TaskRef& ref : worker.m_tasks) {
      const Task& task = ref.m_job->m_tasks[ref.m_index];
      const bool shown = task.m_state == TaskState::kRunning &&
                         now - task.m_confirmed > kUnshownTime;
      const StepPlan& step = StepOf(*ref.m_job, ref.m_index);
      if (!shown && step.m_fills_idle) {
        ForecastOf(step.m_image)
            .Apply(ShareOf(step, worker), &worker.m_expected_tails);
      }
    }
  }
}

/// Tasks of the step that may be placed now. Counts the step's placed tasks on
/// each worker, and its highest run.
std::vector<std::size_t> Cell::PlaceableTasks(const Job& job,
                                              std::size_t first,
                                              const StepPlan& plan,
                                              TimePoint now,
                                              StepPlacement* placement) {
  std::vector<std::size_t> pending;
  placement->m_on_worker.resize(m_workers.size());
  for (std::size_t i = first; i < first + plan.m_tasks; ++i) {
    const Task& task = job.m_tasks[i];
    placement->m_highest_run = std::max(placement->m_highest_run, task.m_run);
    if (IsPlaced(task)) {
      ++placement->m_on_worker[static_cast<std::size_t>(task.m_worker)];
    } else if (task.m_state == TaskState::kPending && task.m_not_before > now) {
      m_next_schedule = std::min(m_next_schedule, task.m_not_before);
    } else if (task.m_state == TaskState::kPending) {
      pending.push_back(i);
    }
  }
  return pending;
}

void Cell::ScheduleStep(Job* job,
                        std::uint32_t occurrence,
                        std::uint32_t step,
                        TimePoint now) {
  const StepPlan& plan = job->m_submission.m_plan.m_steps[step];
  const std::string& service = job->m_submission.m_queue.m_service;
  if (m_refusals.Covers(service, plan)) {
    m_next_schedule = std::min(m_next_schedule, now + kRetryPause);
    return;
  }
  const std::size_t first =
      std::size_t{occurrence} * job->m_tasks_per_occurrence +
      job->m_step_offset[step];
  StepPlacement placement;
  const std::vector<std::size_t> pending =
      PlaceableTasks(*job, first, plan, now, &placement);
  if (pending.empty() || (plan.m_gang && pending.size() < plan.m_tasks)) {
    return;
  }
  StepAdvice* const advice = AdviceOf(job, occurrence, step);
  PlacementQuery query;
  query.m_step = &plan;
  query.m_service = &service;
  query.m_domains_out = &m_domains_out;
  query.m_step_tasks = &placement.m_on_worker;
  query.m_now = now;
  query.m_advice = advice;
  const std::vector<std::size_t> placed =
      PlaceTasks(job, pending, query, &placement);
  if (placed.size() < pending.size()) {
    m_next_schedule = std::min(m_next_schedule, now + kRetryPause);
    if (advice == nullptr) {
      m_refusals.Add(service, plan);
    } else {
      AskAdviser(*job, occurrence, step, query, advice);
    }
  }
  RecordPlacements(job, plan, placed, placed.size() == pending.size(),
                   placement.m_highest_run);
}

/// Gives workers to tasks out of \p pending, up to the first that finds none.
std::vector<std::size_t> Cell::PlaceTasks(
    Job* job,
    const std::vector<std::size_t>& pending,
    PlacementQuery query,
    StepPlacement* placement) {
  const StepPlan& plan = *query.m_step;
  const TailForecast* const forecast =
      plan.m_fills_idle ? &ForecastOf(plan.m_image) : nullptr;
  std::vector<std::optional<TailEffect>> effects(
      plan.m_fills_idle ? m_workers.size() : 0);
  query.m_tail_effect = [&](std::size_t i) {
    if (!effects[i]) {
      effects[i] = forecast->EffectOn(m_workers[i].m_expected_tails,
                                      ShareOf(plan, m_workers[i]));
    }
    return *effects[i];
  };
  query.m_unlikeness = [&](std::size_t i) {
    return m_interference.Unlikeness(plan.m_image,
                                     m_workers[i].m_serving_images);
  };
  std::vector<std::size_t> placed;
  for (const std::size_t i : pending) {
    query.m_failed_on = &job->m_tasks[i].m_failed_on;
    const int worker = ChooseWorker(m_workers, query);
    if (worker == kNoWorker) {
      break;
    }
    const std::size_t chosen = static_cast<std::size_t>(worker);
    Occupy({job, i}, worker);
    if (forecast != nullptr) {
      forecast->Apply(ShareOf(plan, m_workers[chosen]),
                      &m_workers[chosen].m_expected_tails);
      effects[chosen].reset();
    }
    ++placement->m_on_worker[chosen];
    if (plan.m_same_rack && query.m_rack.empty()) {
      query.m_rack = m_workers[chosen].m_entry.m_rack;
    }
    placed.push_back(i);
  }
  return placed;
}

/// Takes the placements to the store, those of a gang only when it is \p whole.
void Cell::RecordPlacements(Job* job,
                            const StepPlan& plan,
                            const std::vector<std::size_t>& placed,
                            bool whole,
                            std::uint32_t highest_run) {
  for (const std::size_t i : placed) {
    Task& task = job->m_tasks[i];
    if (plan.m_gang && !whole) {
      Vacate({job, i});
      continue;
    }
    // Members of a gang share a run number.
    task.m_run = plan.m_gang ? highest_run + 1 : task.m_run + 1;
    SetTaskState(job, i, TaskState::kRecording);
    MarkDirty(job);
  }
  if (plan.m_gang && !whole) {
    m_schedule_needed = false;
  }
}

}  // namespace hyssopspar::jobs
