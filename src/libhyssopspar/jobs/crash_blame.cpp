#include "hyssopspar/jobs/crash_blame.h"

#include <algorithm>

#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Age from which a run is not blamed for the crash of its worker.
constexpr milliseconds kAcquittedRunAge{10000};
/// Likely caused crashes after which a task is given up: when it was the only
/// unproven task in the last one, and in any case.
constexpr std::uint32_t kCrashesIfAlone = 2;
constexpr std::uint32_t kMaxCrashes = 3;
/// Same for all crashes that the task may have caused.
constexpr std::uint32_t kMaxPossibleCrashes = 4;
/// More crashes than this, and than one worker in kCrashDivisor, within
/// kSimultaneousCrashes have a common cause.
constexpr std::size_t kMaxIndependentCrashes = 3;
constexpr std::size_t kCrashDivisor = 50;
constexpr milliseconds kSimultaneousCrashes{500};

Task& TaskOf(const TaskRef& ref) {
  return ref.m_job->m_tasks[ref.m_index];
}

bool IsConfirmed(const Task& task) {
  return task.m_state == TaskState::kRunning ||
         (task.m_state == TaskState::kStopping && task.m_is_confirmed);
}

}  // namespace

bool IsUnproven(const Task& task, TimePoint now) {
  return IsPlaced(task) &&
         (!IsConfirmed(task) || now - task.m_confirmed_at < kUnprovenRunAge);
}

bool HasUnprovenTask(const Worker& worker, TimePoint now) {
  return std::any_of(
      worker.m_tasks.begin(), worker.m_tasks.end(),
      [now](const TaskRef& ref) { return IsUnproven(TaskOf(ref), now); });
}

bool AddCrash(RecentCrashes* crashes, std::size_t workers, TimePoint now) {
  std::deque<TimePoint>& times = crashes->m_times;
  times.push_back(now);
  while (now - times.front() > kSimultaneousCrashes) {
    times.pop_front();
  }
  return times.size() >
         std::max(kMaxIndependentCrashes, workers / kCrashDivisor);
}

std::vector<TaskRef> BlameForCrash(const Worker& worker,
                                   const std::vector<TaskRef>& tasks,
                                   TimePoint alive_at,
                                   bool many_crashed) {
  const auto unproven_count =
      std::count_if(tasks.begin(), tasks.end(), [alive_at](const TaskRef& ref) {
        return IsUnproven(TaskOf(ref), alive_at);
      });
  std::vector<TaskRef> given_up;
  for (const TaskRef& ref : tasks) {
    Task& task = TaskOf(ref);
    if (IsConfirmed(task) &&
        alive_at - task.m_confirmed_at > kAcquittedRunAge) {
      task.m_crashes = 0;
      task.m_possible_crashes = 0;
      task.m_is_suspect = false;
      continue;
    }
    const bool unproven = IsUnproven(task, alive_at);
    // How long an inherited run has lasted is not known.
    task.m_is_suspect = unproven && !many_crashed &&
                        task.m_start_status != StartStatus::kInherited;
    // A proven task is less likely the cause than an unproven one beside it.
    const bool is_likely_cause =
        IsConfirmed(task) && (unproven || unproven_count == 0);
    ++(is_likely_cause ? task.m_crashes : task.m_possible_crashes);
    const bool alone = task.m_is_suspect && unproven_count == 1;
    const bool give_up =
        task.m_crashes >= kMaxCrashes ||
        task.m_crashes + task.m_possible_crashes >= kMaxPossibleCrashes ||
        (task.m_crashes >= kCrashesIfAlone && alone);
    if (give_up) {
      given_up.push_back(ref);
    }
    CellLog()->warn(
        "crash-blamed task={}.{} run={} worker={} crashes={}+{} suspect={} "
        "alone={} given_up={}",
        ref.m_job->m_submission.m_id, ref.m_index, task.m_run,
        worker.m_entry.m_id, task.m_crashes, task.m_possible_crashes,
        task.m_is_suspect, alone, give_up);
  }
  return given_up;
}

}  // namespace hyssopspar::jobs
