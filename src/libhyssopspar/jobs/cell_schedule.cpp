// Scheduling passes: which steps are tried, in which order and how far.

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/tail_forecast.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Minimum time between passes, so that one pass handles many events.
constexpr milliseconds kMinPassInterval{20};
/// Longest time until a pass looks again whether an occurrence is due: the time
/// of day may be set forward.
constexpr milliseconds kMaxDueWait{1000};
/// A job with this many tasks, ended or not, in the occurrences that are kept
/// waits with the next one, however many are due.
constexpr std::size_t kMaxKeptTasks = 10000;

}  // namespace

void Cell::Schedule(TimePoint now) {
  if (!MayPlaceTasks(now)) {
    // The views and the ownership lease are renewed without an event of the
    // cell.
    m_schedule_needed = true;
    m_next_schedule = now + kPlacementRetryDelay;
    return;
  }
  if (now < m_last_schedule + kMinPassInterval) {
    m_next_schedule = m_last_schedule + kMinPassInterval;
    return;
  }
  m_last_schedule = now;
  m_schedule_needed = false;
  m_next_schedule = TimePoint::max();
  m_window_was_full = false;
  m_usable_pools.clear();
  m_forecasts.clear();
  m_growth_budgets.clear();
  m_headroom_cpu_milli = 0;
  m_held_back_tasks = 0;
  for (TenantAccount& account : m_tenants.m_accounts) {
    account.m_waiting_tasks = 0;
    account.m_is_kept_for_task = false;
  }
  ++m_work.m_passes;
  ApplyTimedChanges(now);
  PlanAhead(now);
  UpdateExpectedTails(now);
  const std::vector<Job*> jobs = PendingJobsByUrgency(now);
  m_work.m_jobs_ordered += jobs.size();
  for (Job* const job : jobs) {
    ScheduleJob(job, now);
  }
  UpdateTouchedWorkers(now);
  if (!m_agenda.m_resumptions.empty()) {
    m_next_schedule =
        std::min(m_next_schedule, m_agenda.m_resumptions.begin()->first);
  }
}

void Cell::ApplyTimedChanges(TimePoint now) {
  for (const std::set<std::pair<TimePoint, int>>* const changes :
       {&m_agenda.m_resumptions, &m_agenda.m_tail_changes}) {
    for (const std::pair<TimePoint, int>& change : *changes) {
      if (change.first > now) {
        break;
      }
      ++m_work.m_worker_visits;
      TouchImprovedWorker(change.second);
    }
  }
  UpdateTouchedWorkers(now);
}

std::int64_t Cell::UnixMillis(TimePoint now) const {
  return ToMillis(now.time_since_epoch()) + m_unix_offset.count();
}

std::vector<Job*> Cell::PendingJobsByUrgency(TimePoint now) {
  // Under saturation a tenant with more than its share yields to the others of
  // the same priority.
  using Order = std::tuple<std::int64_t, bool, Urgency>;
  const std::vector<bool> over_share = TenantsOverShare();
  std::vector<std::pair<Order, Job*>> order;
  const std::int64_t unix_now = UnixMillis(now);
  m_starts_in_progress = m_unanswered_starts;
  m_highest_priority = std::numeric_limits<std::int64_t>::max();
  for (Job* const job : m_open_jobs) {
    m_starts_in_progress += job->m_recording;
    m_highest_priority =
        std::min(m_highest_priority, job->m_submission.m_queue.m_priority);
    if (HasPendingTasks(*job) && !IsSetAside(*job)) {
      order.emplace_back(Order{job->m_submission.m_queue.m_priority,
                               job->m_account && over_share[*job->m_account],
                               UrgencyOf(*job, m_run_times, unix_now)},
                         job);
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<Job*> jobs;
  jobs.reserve(order.size());
  std::transform(
      order.begin(), order.end(), std::back_inserter(jobs),
      [](const std::pair<Order, Job*>& entry) { return entry.second; });
  return jobs;
}

const std::vector<int>& Cell::UsablePool(const std::string& service) {
  const auto inserted = m_usable_pools.try_emplace(service);
  std::vector<int>& pool = inserted.first->second;
  if (inserted.second) {
    m_work.m_worker_visits += m_workers.size();
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
      if (m_workers[i].m_entry.m_service == service &&
          IsUsable(m_workers[i], m_excluded_domains)) {
        pool.push_back(static_cast<int>(i));
      }
    }
  }
  return pool;
}

std::vector<int> Cell::ChangedSince(const std::string& service,
                                    std::uint64_t change) {
  std::vector<int> changed;
  for (const int index : UsablePool(service)) {
    if (m_workers[static_cast<std::size_t>(index)].m_last_change > change) {
      changed.push_back(index);
    }
  }
  return changed;
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
    m_next_schedule =
        std::min(m_next_schedule, now + std::min(wait, kMaxDueWait));
    return false;
  }
  return true;
}

void Cell::ScheduleJob(Job* job, TimePoint now) {
  const std::uint32_t steps =
      static_cast<std::uint32_t>(job->m_submission.m_plan.m_steps.size());
  for (std::uint32_t occurrence = FirstOccurrence(*job);
       occurrence < OccurrenceCount(*job); ++occurrence) {
    if (!IsDue(*job, occurrence, now)) {
      return;
    }
    if (occurrence >= MadeOccurrences(*job)) {
      if (job->m_tasks.size() - job->m_tasks.First() >= kMaxKeptTasks) {
        return;
      }
      MakeOccurrences(job, occurrence + 1);
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

/// The expected tails are the reported ones plus the expected interference of
/// recently placed best-effort tasks, which the reports do not reflect yet.
void Cell::UpdateExpectedTails(TimePoint now) {
  m_work.m_worker_visits += m_outdated_tails.size();
  for (const int index : std::exchange(m_outdated_tails, {})) {
    Worker& worker = m_workers[static_cast<std::size_t>(index)];
    worker.m_expected_tails_outdated = false;
    worker.m_expected_tails = worker.m_outlook.m_ahead;
    worker.m_expected_tails_until = TimePoint::max();
    for (const TaskRef& ref : worker.m_tasks) {
      const Task& task = ref.m_job->m_tasks[ref.m_index];
      const StepPlan& step = StepOf(*ref.m_job, ref.m_index);
      const TimePoint reported_at = task.m_confirmed_at + kFullyReportedAge;
      const bool running = task.m_state == TaskState::kRunning;
      if (!step.m_is_best_effort || (running && now > reported_at)) {
        continue;
      }
      ForecastOf(step.m_image)
          .Apply(CpuShareOf(step, worker), &worker.m_expected_tails);
      if (running) {
        LimitExpectedTails(reported_at, &worker);
      }
    }
    TouchWorker(index);
  }
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
  const std::vector<int>& pool = UsablePool(queue.m_service);
  std::int64_t pool_cpu = 0;
  m_work.m_worker_visits += pool.size();
  for (const int index : pool) {
    pool_cpu += m_workers[static_cast<std::size_t>(index)]
                    .m_entry.m_capacity.m_cpu_milli;
  }
  const Headroom headroom = HeadroomFor(m_short_job_demand, m_run_times, queue,
                                        pool_cpu, UnixMillis(now));
  PoolCpu cpu;
  for (const int index : pool) {
    AddWorkerCpu(m_workers[static_cast<std::size_t>(index)], headroom, &cpu);
  }
  budget = GrowthBudget(cpu, headroom);
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
  // A gang is placed as a whole or not at all.
  const std::int64_t unit = plan.m_gang ? pending->end() - growth : 1;
  const std::int64_t unit_cpu = unit * cpu;
  // Rounded up: what is larger than the budget must not wait for ever.
  const std::int64_t allowed =
      unit * std::clamp<std::int64_t>((budget + unit_cpu - 1) / unit_cpu, 0,
                                      (pending->end() - growth) / unit);
  budget -= allowed * cpu;
  const auto held_back = growth + allowed;
  if (held_back != pending->end()) {
    m_held_back_tasks += static_cast<std::size_t>(pending->end() - held_back);
    pending->erase(held_back, pending->end());
    m_next_schedule = std::min(m_next_schedule, now + kPlacementRetryDelay);
  }
}

std::size_t Cell::AllowedStarts(const Job& job, TimePoint now) {
  if (job.m_submission.m_queue.m_priority == m_highest_priority) {
    return std::numeric_limits<std::size_t>::max();
  }
  const std::size_t allowed =
      RemainingStarts(&m_start_window, m_starts_in_progress);
  if (allowed == 0) {
    m_window_was_full = true;
    m_next_schedule = std::min(m_next_schedule, now + kPlacementRetryDelay);
  }
  return allowed;
}

void Cell::ScheduleStep(Job* job,
                        std::uint32_t occurrence,
                        std::uint32_t step,
                        TimePoint now) {
  const StepPlan& plan = job->m_submission.m_plan.m_steps[step];
  const std::string& service = job->m_submission.m_queue.m_service;
  // A gang is placed as a whole even if the window has less room.
  const std::size_t allowed = AllowedStarts(*job, now);
  if (allowed == 0) {
    return;
  }
  const std::uint64_t unschedulable_at =
      m_unschedulable_steps.UnschedulableAt(service, plan);
  const StepKey key{job->m_number, occurrence, step};
  if (unschedulable_at == m_last_worker_change && unschedulable_at > 0 &&
      !MustBeTried(*job, key, plan)) {
    MarkStillWaiting(key, now);
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
      PlaceableTasks(job, first, plan, now, &placement);
  HoldBackOverQuota(job, plan, now, &pending);
  HoldBackGrowth(*job, plan, now, &pending);
  if (!plan.m_gang && pending.size() > allowed) {
    pending.resize(allowed);
  }
  if (pending.empty() || (plan.m_gang && pending.size() < plan.m_tasks)) {
    return;
  }
  for (const std::size_t i : pending) {
    Task& task = job->m_tasks[i];
    task.m_stage_since = std::max(task.m_stage_since, ready_since);
  }
  PlaceStep(job, {occurrence, step}, std::move(pending), unschedulable_at,
            &placement, now);
}

}  // namespace hyssopspar::jobs
