// Served tails, and the pace of the tasks beside them.

#include <algorithm>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/pacing.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Workers report tails and usage over this time.
constexpr milliseconds kTailWindow{600};
/// A tail that stays above its target longer pauses all that might press it.
constexpr milliseconds kOverLimit{1800};
/// Pause between changes of pace on a worker.
constexpr milliseconds kPacePause{600};
/// Tasks that are paused longer are tried elsewhere; sooner those that lose
/// nothing by it.
constexpr milliseconds kPauseLimit{1200};
constexpr milliseconds kLongPauseLimit{5000};

std::vector<ServedTail> WorstByImage(const std::vector<ServedTail>& tails) {
  std::vector<ServedTail> worst;
  for (const ServedTail& tail : tails) {
    const auto known = std::find_if(worst.begin(), worst.end(),
                                    [&tail](const ServedTail& other) {
                                      return other.m_image == tail.m_image;
                                    });
    if (known == worst.end()) {
      worst.push_back(tail);
    } else {
      known->m_ratio = std::max(known->m_ratio, tail.m_ratio);
    }
  }
  return worst;
}

}  // namespace

void Cell::EnterTails(int worker,
                      const HoldReport& report,
                      const std::vector<TaskRef>& refs,
                      TimePoint now) {
  Worker& w = m_workers[static_cast<std::size_t>(worker)];
  std::vector<ServedTail> tails;
  std::vector<Pressure> beside;
  bool settled = true;
  const double cpu = static_cast<double>(w.m_entry.m_capacity.m_cpu_milli);
  for (std::size_t i = 0; i < refs.size(); ++i) {
    const RunningRow& row = report.m_running[i];
    const TaskRef& ref = refs[i];
    if (ref.m_job == nullptr) {
      continue;
    }
    const StepPlan& step = StepOf(*ref.m_job, ref.m_index);
    const Task& task = ref.m_job->m_tasks[ref.m_index];
    if (step.m_fills_idle) {
      if (row.m_usage > 0) {
        beside.push_back({step.m_image, row.m_usage / cpu});
      }
      settled = settled && now - task.m_confirmed > kTailWindow &&
                now - task.m_paced_at > kTailWindow;
    } else if (step.m_tail_target > milliseconds(0) &&
               now - task.m_confirmed > kTailWindow) {
      tails.push_back(
          {step.m_image,
           row.m_usage / static_cast<double>(step.m_tail_target.count())});
    }
  }
  w.m_tails = WorstByImage(tails);
  const bool over =
      std::any_of(w.m_tails.begin(), w.m_tails.end(),
                  [](const ServedTail& tail) { return tail.m_ratio > 1; });
  w.m_over_since = over ? std::min(w.m_over_since, now) : TimePoint::max();
  if (settled) {
    for (const ServedTail& tail : tails) {
      m_interference.Observe(tail.m_image, tail.m_ratio, beside);
    }
  }
}

void Cell::PaceFills(int worker,
                     const HoldReport& report,
                     const std::vector<TaskRef>& refs,
                     TimePoint now) {
  Worker& w = m_workers[static_cast<std::size_t>(worker)];
  if (now - w.m_paced_at < kPacePause) {
    return;
  }
  w.m_paced_at = now;
  std::vector<FillTask> fills;
  std::vector<TaskRef> paced;
  for (std::size_t i = 0; i < refs.size(); ++i) {
    const RunningRow& row = report.m_running[i];
    const TaskRef& ref = refs[i];
    Job* const job = ref.m_job;
    if (job == nullptr) {
      continue;
    }
    const StepPlan& step = StepOf(*job, ref.m_index);
    const Task& task = job->m_tasks[ref.m_index];
    if (step.m_fills_idle && task.m_state == TaskState::kRunning &&
        task.m_worker == worker && task.m_run == row.m_run) {
      fills.push_back(
          {step.m_image, ShareOf(step, w), task.m_pace, task.m_pace});
      paced.push_back(ref);
    }
  }
  const bool pause_all =
      w.m_over_since < now && now - w.m_over_since > kOverLimit;
  ChoosePaces(m_interference, w.m_tails, pause_all, &fills);
  for (std::size_t i = 0; i < fills.size(); ++i) {
    OrderPace(paced[i], fills[i].m_wanted, now);
  }
}

void Cell::OrderPace(const TaskRef& ref, int percent, TimePoint now) {
  Job* const job = ref.m_job;
  Task& task = job->m_tasks[ref.m_index];
  if (percent == 0 && task.m_pace == 0) {
    const bool kept = StepOf(*job, ref.m_index).m_checkpoints;
    if (now - task.m_paused_since > (kept ? kPauseLimit : kLongPauseLimit)) {
      SendStop(ref, "paused-too-long", now);
    }
    return;
  }
  if (percent == task.m_pace) {
    return;
  }
  if (percent == 0) {
    task.m_paused_since = now;
  }
  CellLog()->debug("pace task={}.{} worker={} percent={} was={}",
                   job->m_submission.m_id, ref.m_index, task.m_worker, percent,
                   task.m_pace);
  task.m_pace = percent;
  task.m_paced_at = now;
  m_actions.emplace_back(PaceAction{TargetOf(task.m_worker),
                                    {NameOfTask(*job, ref.m_index), task.m_run,
                                     percent, m_settings.m_epoch}});
}

}  // namespace hyssopspar::jobs
