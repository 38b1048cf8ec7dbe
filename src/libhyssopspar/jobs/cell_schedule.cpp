// Placement of ready tasks.

#include <algorithm>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/placement.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

void Cell::Schedule(TimePoint now) {
  m_schedule_needed = false;
  m_next_schedule = TimePoint::max();
  const TimePoint oldest = now - m_settings.m_view_limit;
  if (now > m_authority || m_operators_verified < oldest ||
      m_workers_verified < oldest) {
    return;
  }
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

bool Cell::IsDue(const Job& job, std::uint32_t occurrence, TimePoint now) {
  const JobPlan& plan = job.m_submission.m_plan;
  if (plan.m_occurrences == 0) {
    return true;
  }
  const std::int64_t due = plan.m_first_due_unix_ms +
                           std::int64_t{occurrence} * plan.m_interval.count();
  const milliseconds wait =
      milliseconds(due) -
      (m_unix_offset +
       std::chrono::duration_cast<milliseconds>(now.time_since_epoch()));
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

void Cell::ScheduleStep(Job* job,
                        std::uint32_t occurrence,
                        std::uint32_t step,
                        TimePoint now) {
  const StepPlan& plan = job->m_submission.m_plan.m_steps[step];
  const std::size_t first =
      std::size_t{occurrence} * job->m_tasks_per_occurrence +
      job->m_step_offset[step];
  std::vector<std::size_t> pending;
  std::vector<std::uint32_t> step_tasks(m_workers.size());
  std::uint32_t run = 0;
  for (std::size_t i = first; i < first + plan.m_tasks; ++i) {
    const Task& task = job->m_tasks[i];
    run = std::max(run, task.m_run);
    if (IsPlaced(task)) {
      ++step_tasks[static_cast<std::size_t>(task.m_worker)];
    } else if (task.m_state == TaskState::kPending && task.m_not_before > now) {
      m_next_schedule = std::min(m_next_schedule, task.m_not_before);
    } else if (task.m_state == TaskState::kPending) {
      pending.push_back(i);
    }
  }
  if (pending.empty() || (plan.m_gang && pending.size() < plan.m_tasks)) {
    return;
  }
  PlacementQuery query;
  query.m_step = &plan;
  query.m_service = &job->m_submission.m_queue.m_service;
  query.m_domains_out = &m_domains_out;
  query.m_step_tasks = &step_tasks;
  query.m_now = now;
  std::vector<std::size_t> placed;
  for (const std::size_t i : pending) {
    query.m_failed_on = &job->m_tasks[i].m_failed_on;
    const int worker = ChooseWorker(m_workers, query);
    if (worker == kNoWorker) {
      break;
    }
    const TaskRef ref{job->m_submission.m_id, i};
    Occupy(ref, job, worker);
    ++step_tasks[static_cast<std::size_t>(worker)];
    if (plan.m_same_rack && query.m_rack.empty()) {
      query.m_rack = m_workers[static_cast<std::size_t>(worker)].m_entry.m_rack;
    }
    placed.push_back(i);
  }
  const bool whole = placed.size() == pending.size();
  for (const std::size_t i : placed) {
    Task& task = job->m_tasks[i];
    if (plan.m_gang && !whole) {
      Vacate({job->m_submission.m_id, i}, job);
      continue;
    }
    // Members of a gang share a run number.
    task.m_run = plan.m_gang ? run + 1 : task.m_run + 1;
    SetTaskState(job, i, TaskState::kRecording);
    MarkDirty(job);
  }
  if (plan.m_gang && !whole) {
    m_schedule_needed = false;
  }
}

}  // namespace hyssopspar::jobs
