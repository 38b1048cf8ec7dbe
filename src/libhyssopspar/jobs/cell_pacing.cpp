// Tail latencies of serving tasks, and the throttling of best-effort tasks on
// the same worker.

#include <algorithm>
#include <cmath>
#include <optional>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/pacing.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Reported tail latencies and usage cover at most this time before the report.
constexpr milliseconds kReportWindow{600};
/// Age of the middle of the time that a reported tail latency covers.
constexpr milliseconds kReportCentre{250};
/// Time until a throttle that follows the next report has taken effect.
constexpr milliseconds kThrottleHorizon{800};
/// Time for which a new best-effort task is expected to run.
constexpr milliseconds kRunHorizon{2000};
/// Tail ratios from which the load is learned. Lower ones can't be told apart
/// in whole milliseconds, higher ones come from queues that overflow.
constexpr double kMinLoadRatio = 0.05;
constexpr double kMaxLoadRatio = 1.2;
/// Weight of an observation from which the effect of best-effort tasks had to
/// be taken off.
constexpr double kInterferedWeight = 0.1;
/// When a tail stays above its target for longer, all best-effort tasks on the
/// worker are paused.
constexpr milliseconds kMaxTimeOverTarget{1800};
/// Minimum time between changes of throttling on a worker.
constexpr milliseconds kThrottleInterval{600};
/// A task without checkpoints that is paused for longer is stopped and placed
/// anew. A task with checkpoints loses no work by a stop and is moved at once:
/// its job's step waits for it.
constexpr milliseconds kMaxPauseWithoutCheckpoints{5000};

/// Returns the tail with the highest ratio of each image.
std::vector<ServingTailLatency> WorstByImage(
    const std::vector<ServingTailLatency>& tails) {
  std::vector<ServingTailLatency> worst;
  for (const ServingTailLatency& tail : tails) {
    const auto of_image = std::find_if(
        worst.begin(), worst.end(), [&tail](const ServingTailLatency& other) {
          return other.m_image == tail.m_image;
        });
    if (of_image == worst.end()) {
      worst.push_back(tail);
    } else {
      of_image->m_ratio = std::max(of_image->m_ratio, tail.m_ratio);
    }
  }
  return worst;
}

}  // namespace

void Cell::RecordTailLatencies(int worker_index,
                               const HeartbeatReport& report,
                               const std::vector<TaskRef>& refs,
                               TimePoint now) {
  Worker& worker = m_workers[static_cast<std::size_t>(worker_index)];
  std::vector<ServingTailLatency> tails;
  std::vector<ServingTailLatency> soon;
  std::vector<ServingTailLatency> ahead;
  std::vector<LoadCycle*> cycles;
  const TimePoint reported = now - kReportCentre;
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
      cycles.push_back(&m_load_cycles[ref.m_job->m_number]);
    }
  }
  worker.m_reported_tails = WorstByImage(tails);
  worker.m_has_load_forecast = !tails.empty();
  for (std::size_t i = 0; i < tails.size(); ++i) {
    const LoadCycle& cycle = *cycles[i];
    worker.m_has_load_forecast =
        worker.m_has_load_forecast && cycle.m_has_cycle;
    soon.push_back({tails[i].m_image,
                    tails[i].m_ratio *
                        std::exp(LargestLoadChange(cycle, reported, now,
                                                   now + kThrottleHorizon))});
    ahead.push_back(
        {tails[i].m_image,
         tails[i].m_ratio * std::exp(LargestLoadChange(cycle, reported, now,
                                                       now + kRunHorizon))});
  }
  worker.m_tails_soon = WorstByImage(soon);
  worker.m_tails_ahead = WorstByImage(ahead);
  const bool over_target = std::any_of(
      worker.m_reported_tails.begin(), worker.m_reported_tails.end(),
      [](const ServingTailLatency& tail) { return tail.m_ratio > 1; });
  worker.m_tail_over_target_since =
      over_target ? std::min(worker.m_tail_over_target_since, now)
                  : TimePoint::max();
  if (is_steady) {
    for (std::size_t i = 0; i < tails.size(); ++i) {
      const ServingTailLatency& tail = tails[i];
      LoadCycle* const cycle = cycles[i];
      m_interference.Observe(
          tail.m_image, tail.m_ratio, interference,
          cycle->m_has_cycle
              ? std::optional<double>(ForecastLoad(*cycle, reported))
              : std::nullopt);
      if (tail.m_ratio < kMinLoadRatio || tail.m_ratio > kMaxLoadRatio) {
        continue;
      }
      double value = std::log(tail.m_ratio);
      for (const InterferenceSource& source : interference) {
        value -= m_interference.Slope(tail.m_image, source.m_image) *
                 source.m_cpu_share;
      }
      ObserveLoad(cycle, reported, value,
                  interference.empty() ? 1 : kInterferedWeight);
    }
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
  ChooseThrottlePercents(
      m_interference, worker.m_tails_soon, pause_all, &best_effort,
      worker.m_has_load_forecast ? kForecastThrottleLimits : ThrottleLimits());
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
  m_actions.emplace_back(
      ThrottleAction{TargetOf(task.m_worker),
                     {NameOfTask(*job, ref.m_index), task.m_run, percent,
                      m_settings.m_epoch}});
  // The pause takes effect before the stop does.
  if (percent == 0 && may_move &&
      StepOf(*job, ref.m_index).m_supports_checkpoints) {
    SendStop(ref, "moved", now);
  }
}

}  // namespace hyssopspar::jobs
