// Invariants that the simulation checks, and tasks that crash their workers.

#include <algorithm>
#include <functional>
#include <utility>

#include "job_state/job_world_internal.h"

namespace hyssopspar::jobs {

namespace {

/// Without faults, no task of a job may start later than this after the job was
/// cancelled.
constexpr milliseconds kMaxStartAfterCancel{3000};
/// Time after which a shrunk capacity counts for new runs.
constexpr milliseconds kShrinkNotice{3000};
/// A task under which this many workers have crashed may be given up.
constexpr std::uint32_t kCrashesToGiveUp = 2;
/// A task that has crashed this many workers must not be started as often as
/// kMaxStartsAfterLimit again.
constexpr std::uint32_t kCrashesBeforeLimit = 3;
constexpr std::uint32_t kMaxStartsAfterLimit = 3;

bool IsLasting(const Submission& job) {
  return job.m_plan.m_steps.front().m_long_running;
}

bool HasLongRunningStep(const Submission& job) {
  return std::any_of(job.m_plan.m_steps.begin(), job.m_plan.m_steps.end(),
                     [](const StepPlan& step) { return step.m_long_running; });
}

bool IsTaskOf(const std::string& task, const std::string& job_id) {
  return task.compare(0, job_id.size() + 1, job_id + ".") == 0;
}

}  // namespace

bool JobSimulation::IsCrashing(const std::string& task) const {
  if (m_crashing_lasting_tasks.count(task) > 0) {
    return true;
  }
  const std::size_t hash =
      std::hash<std::string>()(task + "/" + std::to_string(m_options.m_seed));
  return static_cast<double>(hash % 10000) <
         10000 * m_options.m_crashing_task_share;
}

void JobSimulation::CrashUnder(SimulatedWorker* worker,
                               const StartOrder& order) {
  const std::string name = ToString(order.m_task);
  const std::uint32_t crashes = m_crashes[name];
  if (crashes >= kCrashesBeforeLimit &&
      ++m_starts_after_third_crash[name] >= kMaxStartsAfterLimit) {
    ReportViolation("task started again after it crashed three workers: " +
                    name);
  }
  ScheduleAfter(milliseconds(m_random() % 300),
                [this, worker, name, run = order.m_run] {
                  worker->Advance(m_now);
                  const auto it = worker->Runs().find(name);
                  if (it == worker->Runs().end() || it->second.m_run != run) {
                    return;
                  }
                  CrashWorker(std::stoi(worker->Entry().m_id.substr(1)),
                              milliseconds(500 + m_random() % 4000));
                });
}

bool JobSimulation::HasUsedAllAttempts(const std::string& job_id) const {
  return std::any_of(
      m_failures.begin(), m_failures.end(), [&](const auto& entry) {
        return IsTaskOf(entry.first, job_id) && entry.second >= kMaxAttempts;
      });
}

bool JobSimulation::MayHaveFailed(const std::string& job_id) const {
  return HasUsedAllAttempts(job_id) ||
         std::any_of(m_crashes.begin(), m_crashes.end(),
                     [&](const auto& entry) {
                       return IsTaskOf(entry.first, job_id) &&
                              entry.second >= kCrashesToGiveUp;
                     });
}

std::vector<std::string> JobSimulation::JobsFailedWithoutCrashingTask() const {
  std::vector<std::string> failed;
  for (const auto& job : m_jobs) {
    const bool has_crashing_task =
        std::any_of(m_crashes.begin(), m_crashes.end(), [&](const auto& entry) {
          return IsTaskOf(entry.first, job.first) && IsCrashing(entry.first);
        });
    if (m_current_owner->m_cell->StateOf(job.first) == JobState::kFailed &&
        !has_crashing_task && !HasUsedAllAttempts(job.first)) {
      failed.push_back(job.first);
    }
  }
  return failed;
}

void JobSimulation::CheckNewRun(SimulatedWorker* worker,
                                const StartOrder& order) {
  ++m_starts;
  const std::string name = ToString(order.m_task);
  if (IsCrashing(name)) {
    CrashUnder(worker, order);
  }
  CheckCapacity(*worker);
  CheckQuota(m_jobs.at(order.m_task.m_job).m_tenant);
  for (const std::unique_ptr<SimulatedWorker>& other : m_workers) {
    other->Advance(m_now);
    if (other.get() != worker && other->IsUp() &&
        other->Runs().count(name) > 0) {
      ReportViolation("task runs on two workers at once: " + name);
    }
  }
  if (m_acknowledged_successes.count(name) > 0) {
    ReportViolation("task started after its completion was acknowledged: " +
                    name);
  }
  if (m_acknowledged_failures[name] >= kMaxAttempts) {
    ReportViolation("task started after its last attempt failed: " + name);
  }
  const Submission& job = m_jobs.at(order.m_task.m_job);
  for (const std::uint32_t dependency :
       job.m_plan.m_steps[order.m_task.m_step].m_depends_on) {
    for (std::uint32_t i = 0; i < job.m_plan.m_steps[dependency].m_tasks; ++i) {
      if (m_succeeded_tasks.count(
              ToString(TaskName{job.m_id, 0, dependency, i})) == 0) {
        ReportViolation(
            "task started before the steps it depends on completed: " + name);
      }
    }
  }
  const auto cancelled = m_cancel_times.find(job.m_id);
  if (!m_options.m_faults && cancelled != m_cancel_times.end() &&
      m_now > cancelled->second + kMaxStartAfterCancel) {
    ReportViolation("task of a cancelled job started: " + name);
  }
}

void JobSimulation::CheckLabel(const Owner& owner,
                               const StartAction& action,
                               const SimulatedWorker& worker) {
  const TaskName& task = action.m_order.m_task;
  const std::string& label =
      m_jobs.at(task.m_job).m_plan.m_steps[task.m_step].m_label;
  const WorkerEntry& entry = worker.Entry();
  const Worker& known =
      owner.m_cell->Workers()[static_cast<std::size_t>(action.m_worker)];
  if (!label.empty() &&
      known.m_incarnation_unix_ms == entry.m_incarnation_unix_ms &&
      std::find(entry.m_labels.begin(), entry.m_labels.end(), label) ==
          entry.m_labels.end()) {
    ReportViolation("start sent to a worker without its label: " +
                    ToString(task));
  }
}

void JobSimulation::CheckCapacity(const SimulatedWorker& worker) {
  Resources used;
  std::map<std::string, std::uint32_t> step_tasks;
  for (const auto& entry : worker.Runs()) {
    used += entry.second.m_behavior.m_resources;
    const TaskName& task = entry.second.m_task;
    const StepPlan& step = m_jobs.at(task.m_job).m_plan.m_steps[task.m_step];
    const std::uint32_t count =
        ++step_tasks[task.m_job + "." + std::to_string(task.m_step)];
    if (step.m_max_tasks_per_worker > 0 &&
        count > step.m_max_tasks_per_worker) {
      ReportViolation("per-worker limit of a step exceeded on " +
                      worker.Entry().m_id);
    }
  }
  if (!Fits(used, worker.HighestCapacitySince(m_now - kShrinkNotice))) {
    ReportViolation("capacity exceeded on " + worker.Entry().m_id);
  }
}

std::size_t JobSimulation::Completed() const {
  std::size_t completed = 0;
  for (const auto& entry : m_jobs) {
    completed +=
        m_current_owner->m_cell->StateOf(entry.first) == JobState::kCompleted
            ? 1
            : 0;
  }
  return completed;
}

bool JobSimulation::HasCrashingTask(const Submission& job) const {
  for (std::uint32_t s = 0; s < job.m_plan.m_steps.size(); ++s) {
    for (std::uint32_t i = 0; i < job.m_plan.m_steps[s].m_tasks; ++i) {
      if (IsCrashing(ToString(TaskName{job.m_id, 0, s, i}))) {
        return true;
      }
    }
  }
  return false;
}

void JobSimulation::CheckLastingJob(const Submission& job) {
  for (const std::unique_ptr<SimulatedWorker>& worker : m_workers) {
    worker->Advance(m_now);
  }
  const std::uint32_t tasks = job.m_plan.m_steps.front().m_tasks;
  for (std::uint32_t i = 0; i < tasks; ++i) {
    const std::string name = ToString(TaskName{job.m_id, 0, 0, i});
    const bool runs =
        std::any_of(m_workers.begin(), m_workers.end(),
                    [&name](const std::unique_ptr<SimulatedWorker>& worker) {
                      return worker->IsUp() && worker->Runs().count(name) > 0;
                    });
    if (!runs) {
      ReportViolation("lasting task does not run at the end: " + name);
    }
  }
}

void JobSimulation::CheckLongRunningJob(const Submission& job) {
  const std::optional<JobState> state =
      m_current_owner->m_cell->StateOf(job.m_id);
  if (state == JobState::kFailed && HasUsedAllAttempts(job.m_id)) {
    return;
  }
  if (state != JobState::kRunning) {
    ReportViolation("job that lasts is not running: " + job.m_id);
    return;
  }
  const std::vector<StepPlan>& steps = job.m_plan.m_steps;
  for (std::uint32_t s = 0; s < steps.size(); ++s) {
    for (std::uint32_t i = 0; steps[s].m_long_running && i < steps[s].m_tasks;
         ++i) {
      const std::string name = ToString(TaskName{job.m_id, 0, s, i});
      const bool runs =
          std::any_of(m_workers.begin(), m_workers.end(),
                      [&name](const std::unique_ptr<SimulatedWorker>& worker) {
                        return worker->Runs().count(name) > 0;
                      });
      if (!runs) {
        ReportViolation("task that lasts does not run: " + name);
      }
    }
  }
}

void JobSimulation::CheckFinalStates() {
  for (const auto& entry : m_jobs) {
    if (m_options.m_long_running_share > 0 &&
        HasLongRunningStep(entry.second) &&
        m_cancel_times.count(entry.first) == 0) {
      CheckLongRunningJob(entry.second);
      continue;
    }
    if (m_options.m_long_running_share == 0 && IsLasting(entry.second) &&
        !HasCrashingTask(entry.second)) {
      CheckLastingJob(entry.second);
      continue;
    }
    const std::optional<JobState> state =
        m_current_owner->m_cell->StateOf(entry.first);
    if (!state || !IsTerminal(*state)) {
      ReportViolation("job not in a terminal state: " + entry.first);
      continue;
    }
    if (m_cancel_times.count(entry.first) == 0 &&
        *state == JobState::kCancelled) {
      ReportViolation("job cancelled without a request: " + entry.first);
    }
    if (*state == JobState::kFailed && !MayHaveFailed(entry.first)) {
      ReportViolation("job failed without a cause: " + entry.first);
    }
    if (*state != JobState::kCompleted) {
      continue;
    }
    const std::vector<StepPlan>& steps = entry.second.m_plan.m_steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      for (std::uint32_t i = 0; i < steps[s].m_tasks; ++i) {
        const std::string name = ToString(TaskName{entry.first, 0, s, i});
        if (m_succeeded_tasks.count(name) == 0) {
          ReportViolation("job completed without a successful run of " + name);
        }
      }
    }
  }
}

}  // namespace hyssopspar::jobs
