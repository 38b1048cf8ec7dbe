// Scheduling passes: placement of ready tasks on workers.

#include <algorithm>
#include <optional>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/placement.h"
#include "hyssopspar/jobs/tail_forecast.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Time after its confirmed start from which a run is fully reflected in the
/// figures that its worker reports.
constexpr milliseconds kFullyReportedAge{1000};
/// Delay before a pass is repeated for tasks that found no worker, when no
/// event triggers one earlier.
constexpr milliseconds kPlacementRetryDelay{250};
/// Minimum time between passes, so that one pass handles many events.
constexpr milliseconds kMinPassInterval{20};

}  // namespace

void Cell::Schedule(TimePoint now) {
  if (now < m_last_schedule + kMinPassInterval) {
    m_next_schedule = m_last_schedule + kMinPassInterval;
    return;
  }
  m_last_schedule = now;
  m_schedule_needed = false;
  m_next_schedule = TimePoint::max();
  if (!MayPlaceTasks(now)) {
    return;
  }
  m_unschedulable_steps.Clear();
  m_forecasts.clear();
  m_growth_budgets.clear();
  m_headroom_cpu_milli = 0;
  m_held_back_tasks = 0;
  ++m_work.m_passes;
  m_work.m_jobs_ordered += m_open_jobs.size();
  m_work.m_worker_visits += m_workers.size();
  AddUnreportedInterference(now);
  SortByUrgency(now);
  for (Job* const job : m_open_jobs) {
    if (job->m_pending > 0) {
      ScheduleJob(job, now);
    }
  }
  m_work.m_worker_visits += m_workers.size();
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
  order.reserve(m_open_jobs.size());
  const std::int64_t unix_now = UnixMillis(now);
  for (Job* const job : m_open_jobs) {
    order.emplace_back(UrgencyOf(*job, m_run_times, unix_now), job);
  }
  std::sort(order.begin(), order.end());
  std::transform(
      order.begin(), order.end(), m_open_jobs.begin(),
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
  for (std::uint32_t occurrence = 0; occurrence < OccurrenceCount(*job);
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

const TailForecast& Cell::ForecastOf(const std::string& image) {
  return m_forecasts.try_emplace(image, m_interference, image).first->second;
}

/// Sets m_expected_tails of all workers: the reported tails plus the expected
/// interference of recently placed best-effort tasks, which the reports do not
/// reflect yet.
void Cell::AddUnreportedInterference(TimePoint now) {
  for (Worker& worker : m_workers) {
    worker.m_expected_tails = worker.m_reported_tails;
    for (const TaskRef& ref : worker.m_tasks) {
      const Task& task = ref.m_job->m_tasks[ref.m_index];
      const bool reported = task.m_state == TaskState::kRunning &&
                            now - task.m_confirmed_at > kFullyReportedAge;
      const StepPlan& step = StepOf(*ref.m_job, ref.m_index);
      if (!reported && step.m_is_best_effort) {
        ForecastOf(step.m_image)
            .Apply(CpuShareOf(step, worker), &worker.m_expected_tails);
      }
    }
  }
}

/// Returns the indexes of the step's tasks that may be placed now. Fills
/// \p placement with the number of the step's placed tasks on each worker and
/// the step's highest run number.
std::vector<std::size_t> Cell::PlaceableTasks(const Job& job,
                                              std::size_t first,
                                              const StepPlan& plan,
                                              TimePoint now,
                                              StepPlacement* placement) {
  std::vector<std::size_t> pending;
  m_work.m_worker_visits += m_workers.size();
  placement->m_tasks_on_worker.resize(m_workers.size());
  for (std::size_t i = first; i < first + plan.m_tasks; ++i) {
    const Task& task = job.m_tasks[i];
    placement->m_highest_run = std::max(placement->m_highest_run, task.m_run);
    if (IsPlaced(task)) {
      ++placement->m_tasks_on_worker[static_cast<std::size_t>(task.m_worker)];
    } else if (task.m_state == TaskState::kPending && task.m_not_before > now) {
      m_next_schedule = std::min(m_next_schedule, task.m_not_before);
    } else if (task.m_state == TaskState::kPending) {
      pending.push_back(i);
    }
  }
  return pending;
}

void Cell::EndStage(const TaskRef& ref, Stage stage, TimePoint now) {
  Task& task = ref.m_job->m_tasks[ref.m_index];
  AddStageTime(&m_stage_times, ref.m_job->m_submission.m_queue.m_name, stage,
               now - task.m_stage_since);
  task.m_stage_since = now;
}

std::int64_t& Cell::GrowthBudgetOf(const QueuePolicy& queue, TimePoint now) {
  const auto inserted = m_growth_budgets.emplace(queue.m_name, 0);
  std::int64_t& budget = inserted.first->second;
  if (!inserted.second) {
    return budget;
  }
  m_work.m_worker_visits += m_workers.size();
  std::vector<const Worker*> pool;
  std::int64_t pool_cpu = 0;
  for (const Worker& worker : m_workers) {
    if (worker.m_entry.m_service == queue.m_service &&
        IsUsable(worker, m_excluded_domains)) {
      pool.push_back(&worker);
      pool_cpu += worker.m_entry.m_capacity.m_cpu_milli;
    }
  }
  const Headroom headroom = HeadroomFor(m_short_job_demand, m_run_times, queue,
                                        pool_cpu, UnixMillis(now));
  for (const Worker* const worker : pool) {
    budget += UsableCpuMilli(*worker, headroom);
  }
  budget -= headroom.m_cpu_milli;
  m_headroom_cpu_milli = std::max(m_headroom_cpu_milli, headroom.m_cpu_milli);
  return budget;
}

void Cell::HoldBackGrowth(const Job& job,
                          const StepPlan& plan,
                          TimePoint now,
                          std::vector<std::size_t>* pending) {
  const auto growth = std::stable_partition(
      pending->begin(), pending->end(), [&](std::size_t i) {
        return !IsLongRunningGrowth(plan, job.m_tasks[i]);
      });
  const std::int64_t cpu = plan.m_size.m_cpu_milli;
  if (growth == pending->end() || cpu == 0) {
    return;
  }
  std::int64_t& budget = GrowthBudgetOf(job.m_submission.m_queue, now);
  // Rounded up: a task that is larger than the budget must not wait for ever.
  const std::int64_t allowed = std::clamp<std::int64_t>(
      (budget + cpu - 1) / cpu, 0, pending->end() - growth);
  budget -= allowed * cpu;
  const auto held_back = growth + allowed;
  if (held_back != pending->end()) {
    m_held_back_tasks += static_cast<std::size_t>(pending->end() - held_back);
    pending->erase(held_back, pending->end());
    m_next_schedule = std::min(m_next_schedule, now + kPlacementRetryDelay);
  }
}

void Cell::ScheduleStep(Job* job,
                        std::uint32_t occurrence,
                        std::uint32_t step,
                        TimePoint now) {
  const StepPlan& plan = job->m_submission.m_plan.m_steps[step];
  const std::string& service = job->m_submission.m_queue.m_service;
  if (m_unschedulable_steps.IsKnownUnschedulable(service, plan)) {
    m_next_schedule = std::min(m_next_schedule, now + kPlacementRetryDelay);
    return;
  }
  const std::size_t first =
      std::size_t{occurrence} * job->m_tasks_per_occurrence +
      job->m_first_task_of_step[step];
  TimePoint& ready_since =
      job->m_ready_since_of_step[occurrence *
                                     job->m_submission.m_plan.m_steps.size() +
                                 step];
  if (ready_since == TimePoint()) {
    ready_since = now;
  }
  StepPlacement placement;
  std::vector<std::size_t> pending =
      PlaceableTasks(*job, first, plan, now, &placement);
  HoldBackGrowth(*job, plan, now, &pending);
  if (pending.empty() || (plan.m_gang && pending.size() < plan.m_tasks)) {
    return;
  }
  for (const std::size_t i : pending) {
    Task& task = job->m_tasks[i];
    task.m_stage_since = std::max(task.m_stage_since, ready_since);
  }
  StepAdvice* const advice = AdviceOf(job, occurrence, step);
  PlacementQuery query;
  query.m_step = &plan;
  query.m_service = &service;
  query.m_excluded_domains = &m_excluded_domains;
  query.m_step_tasks_by_worker = &placement.m_tasks_on_worker;
  query.m_now = now;
  query.m_advice = advice;
  const std::vector<std::size_t> placed =
      PlaceTasks(job, pending, query, &placement);
  if (placed.size() < pending.size()) {
    m_next_schedule = std::min(m_next_schedule, now + kPlacementRetryDelay);
    if (advice == nullptr) {
      m_unschedulable_steps.Add(service, plan);
    } else {
      AskAdviser(*job, occurrence, step, query, advice);
    }
  }
  RecordPlacements(job, plan, placed, placed.size() == pending.size(),
                   placement.m_highest_run, now);
}

/// Assigns workers to the tasks of \p pending in order, up to the first that
/// finds none. Returns the indexes of the placed tasks.
std::vector<std::size_t> Cell::PlaceTasks(
    Job* job,
    const std::vector<std::size_t>& pending,
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
  for (const std::size_t i : pending) {
    query.m_failed_on = &job->m_tasks[i].m_failed_on;
    m_work.m_worker_visits += m_workers.size();
    const int worker = ChooseWorker(m_workers, query);
    if (worker == kNoWorker) {
      break;
    }
    const std::size_t worker_index = static_cast<std::size_t>(worker);
    AssignWorker({job, i}, worker);
    if (forecast != nullptr) {
      forecast->Apply(CpuShareOf(plan, m_workers[worker_index]),
                      &m_workers[worker_index].m_expected_tails);
      effects[worker_index].reset();
    }
    ++placement->m_tasks_on_worker[worker_index];
    if (plan.m_same_rack && query.m_rack.empty()) {
      query.m_rack = m_workers[worker_index].m_entry.m_rack;
    }
    placed.push_back(i);
  }
  return placed;
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
