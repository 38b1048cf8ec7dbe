// Tail latencies of serving tasks, and the throttling of best-effort tasks on
// the same worker.

#include <algorithm>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/forecast/tail_outlook.h"
#include "hyssopspar/jobs/pacing.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Reported tail latencies and usage cover at most this time before the report.
constexpr milliseconds kReportWindow{600};
/// When a tail stays above its target for longer, all best-effort tasks on the
/// worker are paused.
constexpr milliseconds kMaxTimeOverTarget{1800};
/// Minimum time between changes of throttling on a worker.
constexpr milliseconds kThrottleInterval{600};
/// A task without checkpoints that is paused for longer is stopped and placed
/// anew. A task with checkpoints loses no work by a stop and is moved at once:
/// its job's step waits for it.
constexpr milliseconds kMaxPauseWithoutCheckpoints{5000};

}  // namespace

LoadCycle* Cell::LoadCycleOf(const Job& job) {
  return m_settings.m_forecasts_load && !IsTerminal(job.m_state)
             ? &m_load_cycles[job.m_number]
             : nullptr;
}

void Cell::RecordTailLatencies(int worker_index,
                               const HeartbeatReport& report,
                               const std::vector<TaskRef>& refs,
                               TimePoint now) {
  Worker& worker = m_workers[static_cast<std::size_t>(worker_index)];
  std::vector<ReportedTail> reported;
  std::vector<ServingTailLatency> tails;
  std::vector<InterferenceSource> interference;
  // False while the report may mix figures from before and after the start or
  // the throttling of a best-effort task.
  bool is_steady = true;
  const double cpu = CpuCapacityOf(worker);
  for (std::size_t i = 0; i < refs.size(); ++i) {
    const RunningRun& run = report.m_running[i];
    const TaskRef& ref = refs[i];
    if (ref.m_job == nullptr) {
      continue;
    }
    const StepPlan& step = StepOf(*ref.m_job, ref.m_index);
    const Task& task = ref.m_job->m_tasks[ref.m_index];
    if (step.m_is_best_effort) {
      if (run.m_usage > 0) {
        interference.push_back({step.m_image, run.m_usage / cpu});
      }
      is_steady = is_steady && now - task.m_confirmed_at > kReportWindow &&
                  now - task.m_throttle_changed_at > kReportWindow;
    } else if (step.m_tail_latency_target > milliseconds(0) &&
               now - task.m_confirmed_at > kReportWindow) {
      tails.push_back({step.m_image,
                       run.m_usage / static_cast<double>(
                                         step.m_tail_latency_target.count())});
      reported.push_back({tails.back(), LoadCycleOf(*ref.m_job)});
    }
  }
  worker.m_reported_tails = WorstByImage(tails);
  worker.m_outlook = OutlookOf(reported, now);
  const bool over_target = std::any_of(
      worker.m_reported_tails.begin(), worker.m_reported_tails.end(),
      [](const ServingTailLatency& tail) { return tail.m_ratio > 1; });
  worker.m_tail_over_target_since =
      over_target ? std::min(worker.m_tail_over_target_since, now)
                  : TimePoint::max();
  if (is_steady) {
    LearnFromReport(reported, interference, now, &m_interference);
  }
}

void Cell::ThrottleBestEffortTasks(int worker_index,
                                   const HeartbeatReport& report,
                                   const std::vector<TaskRef>& refs,
                                   TimePoint now) {
  Worker& worker = m_workers[static_cast<std::size_t>(worker_index)];
  if (now - worker.m_throttle_evaluated_at < kThrottleInterval) {
    return;
  }
  worker.m_throttle_evaluated_at = now;
  std::vector<BestEffortTask> best_effort;
  std::vector<TaskRef> best_effort_refs;
  for (std::size_t i = 0; i < refs.size(); ++i) {
    const RunningRun& run = report.m_running[i];
    const TaskRef& ref = refs[i];
    Job* const job = ref.m_job;
    if (job == nullptr) {
      continue;
    }
    const StepPlan& step = StepOf(*job, ref.m_index);
    const Task& task = job->m_tasks[ref.m_index];
    if (step.m_is_best_effort && task.m_state == TaskState::kRunning &&
        task.m_worker == worker_index && task.m_run == run.m_run) {
      best_effort.push_back({step.m_image, CpuShareOf(step, worker),
                             task.m_throttle_percent, task.m_throttle_percent});
      best_effort_refs.push_back(ref);
    }
  }
  const bool pause_all =
      worker.m_tail_over_target_since < now &&
      now - worker.m_tail_over_target_since > kMaxTimeOverTarget;
  ChooseThrottlePercents(m_interference, worker.m_outlook.m_soon, pause_all,
                         &best_effort, worker.m_outlook.m_limits);
  for (std::size_t i = 0; i < best_effort.size(); ++i) {
    ApplyThrottle(best_effort_refs[i], best_effort[i].m_new_percent, now);
  }
}

void Cell::AdoptThrottle(const TaskRef& ref,
                         const RunningRun& run,
                         TimePoint now) {
  const StepPlan& step = StepOf(*ref.m_job, ref.m_index);
  if (!step.m_is_best_effort) {
    return;
  }
  Task& task = ref.m_job->m_tasks[ref.m_index];
  const int percent =
      EstimateThrottlePercent(run.m_usage, step.m_size.m_cpu_milli);
  if (run.m_usage > 0) {
    task.m_throttle_percent = percent;
    return;
  }
  // Paused, or started just before the report: an order removes the doubt.
  task.m_throttle_percent = 0;
  task.m_paused_since = now;
  ApplyThrottle(ref, percent, now);
}

void Cell::ApplyThrottle(const TaskRef& ref, int percent, TimePoint now) {
  Job* const job = ref.m_job;
  Task& task = job->m_tasks[ref.m_index];
  // A task of a job that is set aside could not be started elsewhere.
  const bool may_move = !IsSetAside(*job);
  if (percent == task.m_throttle_percent) {
    if (percent == 0 && may_move &&
        now - task.m_paused_since > kMaxPauseWithoutCheckpoints) {
      SendStop(ref, "paused-too-long", now);
    }
    return;
  }
  if (percent == 0) {
    task.m_paused_since = now;
  }
  CellLog()->debug(
      "throttle task={}.{} worker={} percent={} previous_percent={}",
      job->m_submission.m_id, ref.m_index, task.m_worker, percent,
      task.m_throttle_percent);
  task.m_throttle_percent = percent;
  task.m_throttle_changed_at = now;
  m_actions.emplace_back(ThrottleAction{
      TargetOf(task.m_worker),
      {NameOfTask(*job, ref.m_index), task.m_run, percent,
       OrderEpoch(m_settings.m_epoch,
                  m_workers[static_cast<std::size_t>(task.m_worker)])}});
  // The pause takes effect before the stop does.
  if (percent == 0 && may_move &&
      StepOf(*job, ref.m_index).m_supports_checkpoints) {
    SendStop(ref, "moved", now);
  }
}

}  // namespace hyssopspar::jobs
