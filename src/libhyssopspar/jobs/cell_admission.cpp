// Measures the load of the queues for admission control.

#include <algorithm>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/placement.h"

namespace hyssopspar::jobs {

namespace {

/// A task that waits for longer finds no room. A placement takes less.
constexpr milliseconds kPlacementTime{500};

/// What waits in a queue.
struct Backlog {
  std::string m_service;
  /// CPU of the pending tasks, in thousandths of a processor, of tenants within
  /// and over their share.
  std::int64_t m_cpu = 0;
  std::int64_t m_cpu_over_share = 0;
  bool m_has_waiting_task = false;  ///< For longer than kPlacementTime.
  bool m_has_best_effort = false;
};

/// For each step of the job, whether its tasks fit a worker.
std::vector<bool> StepsThatFit(const std::vector<Worker>& workers,
                               const Submission& job) {
  std::vector<bool> fits;
  for (const StepPlan& step : job.m_plan.m_steps) {
    fits.push_back(FitsEmptyWorker(workers, job.m_queue.m_service, step));
  }
  return fits;
}

/// Adds the job's pending tasks, also those of steps that are not ready: they
/// run before the tasks of later jobs. Those that fit no worker never do. \p
/// cpu is null for a job that runs after later ones.
void AddPendingTasks(const Job& job,
                     const std::vector<bool>& fits,
                     TimePoint now,
                     std::int64_t* cpu,
                     Backlog* backlog) {
  for (std::size_t i = job.m_tasks.First(); i < job.m_tasks.size(); ++i) {
    if (job.m_tasks[i].m_state != TaskState::kPending) {
      continue;
    }
    const StepPlan& step = StepOf(job, i);
    const TaskName name = NameOfTask(job, i);
    if (!fits[name.m_step]) {
      continue;
    }
    if (cpu != nullptr) {
      *cpu += step.m_size.m_cpu_milli;
    }
    backlog->m_has_best_effort |= step.m_is_best_effort;
    const TimePoint ready_since = job.m_ready_since_of_step[name.m_step];
    backlog->m_has_waiting_task |=
        IsStepReady(job, name.m_occurrence, name.m_step) &&
        ready_since != TimePoint() && now - ready_since > kPlacementTime;
  }
}

/// Raises each amount of \p most to what is free on the worker. Best-effort
/// tasks need unused CPU instead of CPU that is not reserved.
void RaiseToFree(const Worker& worker, bool best_effort, Resources* most) {
  const Resources free = worker.m_entry.m_capacity - worker.m_used -
                         worker.m_unexpected_run_resources;
  std::int64_t cpu = free.m_cpu_milli;
  if (best_effort) {
    cpu = std::max(cpu, static_cast<std::int64_t>(UnusedCpuMilli(worker) /
                                                  kMinUnusedCpuFraction));
  }
  most->m_cpu_milli = std::max(most->m_cpu_milli, cpu);
  most->m_memory_mib = std::max(most->m_memory_mib, free.m_memory_mib);
  most->m_accelerators = std::max(most->m_accelerators, free.m_accelerators);
}

QueueLoad MakeQueueLoad(const std::string& queue,
                        const Backlog& backlog,
                        const RunTimeEstimates& run_times,
                        const DrainMeter& meter) {
  QueueLoad load;
  load.m_queue = NameHash(queue);
  load.m_step_time = std::chrono::duration_cast<milliseconds>(
      run_times.EstimateStepTime(queue));
  load.m_task_time =
      std::chrono::duration_cast<milliseconds>(run_times.MeanRunTime(queue));
  load.m_backlog = backlog.m_cpu * load.m_task_time.count() / 1000;
  load.m_backlog_over_share =
      backlog.m_cpu_over_share * load.m_task_time.count() / 1000;
  load.m_drain_rate = DrainRate(meter);
  return load;
}

/// For each resource, the most that is free on any usable worker of the
/// service.
Resources MostFree(const std::vector<Worker>& workers,
                   const std::set<std::string>& excluded_domains,
                   const Backlog& backlog) {
  Resources most;
  for (const Worker& worker : workers) {
    if (worker.m_entry.m_service == backlog.m_service &&
        !worker.m_has_unknown_runs && IsUsable(worker, excluded_domains)) {
      RaiseToFree(worker, backlog.m_has_best_effort, &most);
    }
  }
  return most;
}

}  // namespace

void Cell::RecordRunTime(const TaskRef& ref, TimePoint now) {
  Job* const job = ref.m_job;
  const std::string& queue = job->m_submission.m_queue.m_name;
  const Duration run_time = now - job->m_tasks[ref.m_index].m_confirmed_at;
  const StepPlan& step = StepOf(*job, ref.m_index);
  m_run_times.Add(queue, run_time);
  if (m_settings.m_measures_load) {
    AddEndedTask(&m_drain_meters[queue], step.m_size.m_cpu_milli, run_time);
  }
  if (m_settings.m_look_ahead) {
    AddRunTime(&m_look_ahead.m_run_times[queue], run_time);
  }
  const TaskName name = NameOfTask(*job, ref.m_index);
  const std::size_t step_index =
      name.m_occurrence * job->m_submission.m_plan.m_steps.size() + name.m_step;
  Duration& slowest = job->m_slowest_run_of_step[step_index];
  slowest = std::max(slowest, run_time);
  if (job->m_done_tasks_of_step[step_index] + 1 == step.m_tasks) {
    m_run_times.AddSlowestOfStep(queue, slowest);
  }
}

LoadSummary Cell::SummarizeLoad(TimePoint now) {
  const std::int64_t unix_now = UnixMillis(now);
  const std::vector<bool> over_share = TenantsOverShare();
  std::map<std::string, Backlog> backlogs;
  for (const Job* const job : m_open_jobs) {
    const Submission& submission = job->m_submission;
    if (job->m_pending == 0 || IsSetAside(*job) ||
        submission.m_plan.m_occurrences > 0 ||
        IsLongRunning(submission.m_plan)) {
      continue;
    }
    Backlog& backlog = backlogs[submission.m_queue.m_name];
    backlog.m_service = submission.m_queue.m_service;
    // A new job goes ahead of jobs beyond the late limit. Their tasks show that
    // the queue lacks room all the same.
    const bool is_ahead =
        std::get<DeadlineStatus>(UrgencyOf(*job, m_run_times, unix_now)) !=
        DeadlineStatus::kBeyondLateLimit;
    const bool is_over_share = job->m_account && over_share[*job->m_account];
    m_work.m_worker_visits += m_workers.size();
    AddPendingTasks(*job, StepsThatFit(m_workers, submission), now,
                    !is_ahead       ? nullptr
                    : is_over_share ? &backlog.m_cpu_over_share
                                    : &backlog.m_cpu,
                    &backlog);
  }
  for (auto& meter : m_drain_meters) {
    const auto backlog = backlogs.find(meter.first);
    TakeSample(&meter.second,
               backlog != backlogs.end() && backlog->second.m_has_waiting_task,
               m_run_times.MeanRunTime(meter.first), now);
  }
  LoadSummary summary;
  summary.m_as_of_unix_ms = unix_now;
  for (const auto& entry : backlogs) {
    const Backlog& backlog = entry.second;
    const auto meter = m_drain_meters.find(entry.first);
    if (meter == m_drain_meters.end() ||
        (!backlog.m_has_waiting_task && DrainRate(meter->second) == 0)) {
      continue;
    }
    QueueLoad load =
        MakeQueueLoad(entry.first, backlog, m_run_times, meter->second);
    m_work.m_worker_visits += m_workers.size();
    load.m_free = MostFree(m_workers, m_excluded_domains, backlog);
    summary.m_queues.push_back(load);
  }
  for (std::size_t i = 0; i < over_share.size(); ++i) {
    if (over_share[i]) {
      summary.m_tenants_over_share.push_back(
          NameHash(m_tenants.m_accounts[i].m_policy.m_name));
    }
  }
  return summary;
}

}  // namespace hyssopspar::jobs
