#include "hyssopspar/jobs/job.h"

#include <algorithm>
#include <map>
#include <utility>

namespace hyssopspar::jobs {

namespace {

/// True unless the job has ended in a way after which its tasks don't matter. A
/// cancelled job is restored with its tasks while some may still run.
bool NeedsTasks(const Job& job) {
  return !IsTerminal(job.m_state) ||
         (job.m_state == JobState::kCancelled &&
          std::any_of(job.m_tasks.begin(), job.m_tasks.end(), IsPlaced));
}

bool NeedsCheckpoint(const Task& task) {
  return task.m_state != TaskState::kDone && !task.m_checkpoint.empty();
}

/// Drops the tasks of the occurrences before \p occurrence, made or not.
void DropTasksBefore(Job* job, std::uint32_t occurrence) {
  const std::size_t first =
      std::size_t{occurrence} * job->m_tasks_per_occurrence;
  const std::size_t first_step =
      std::size_t{occurrence} * job->m_submission.m_plan.m_steps.size();
  for (std::size_t i = job->m_tasks.First();
       i < std::min(first, job->m_tasks.size()); ++i) {
    job->m_pending -= job->m_tasks[i].m_state == TaskState::kPending ? 1 : 0;
  }
  job->m_tasks.DropBefore(first);
  job->m_done_tasks_of_step.DropBefore(first_step);
  job->m_slowest_run_of_step.DropBefore(first_step);
  job->m_ready_since_of_step.DropBefore(first_step);
  job->m_advice.erase(job->m_advice.begin(),
                      job->m_advice.lower_bound(first_step));
}

/// The task's entry in JobProgress::m_crash_counts.
std::uint32_t CrashCountOf(const Task& task) {
  return task.m_has_survived ? kSurvivedMark
                             : std::min(task.m_crashes, kSurvivedMark - 1);
}

/// True for a column of a progress record that is omitted or has an entry for
/// each of \p tasks tasks.
template <class T>
bool IsOptionalColumn(const std::vector<T>& column, std::size_t tasks) {
  return column.empty() || column.size() == tasks;
}

}  // namespace

std::uint32_t CriticalPathSteps(const JobPlan& plan) {
  std::vector<std::uint32_t> depth;
  for (const StepPlan& step : plan.m_steps) {
    std::uint32_t longest_dependency = 0;
    for (const std::uint32_t dependency : step.m_depends_on) {
      longest_dependency = std::max(longest_dependency, depth[dependency]);
    }
    depth.push_back(longest_dependency + 1);
  }
  return depth.empty() ? 1 : *std::max_element(depth.begin(), depth.end());
}

Job MakeJob(Submission submission) {
  Job job;
  job.m_submission = std::move(submission);
  for (const StepPlan& step : job.m_submission.m_plan.m_steps) {
    job.m_step_of_task.insert(
        job.m_step_of_task.end(), step.m_tasks,
        static_cast<std::uint32_t>(job.m_first_task_of_step.size()));
    job.m_first_task_of_step.push_back(job.m_tasks_per_occurrence);
    job.m_tasks_per_occurrence += step.m_tasks;
  }
  job.m_critical_path_steps = CriticalPathSteps(job.m_submission.m_plan);
  MakeOccurrences(&job, 1);
  return job;
}

void MakeOccurrences(Job* job, std::uint32_t count) {
  const std::size_t made = job->m_tasks.size();
  const std::size_t tasks = std::size_t{count} * job->m_tasks_per_occurrence;
  if (tasks <= made) {
    return;
  }
  const std::size_t steps =
      std::size_t{count} * job->m_submission.m_plan.m_steps.size();
  job->m_tasks.Resize(tasks);
  job->m_done_tasks_of_step.Resize(steps);
  job->m_slowest_run_of_step.Resize(steps);
  job->m_ready_since_of_step.Resize(steps);
  job->m_pending += tasks - made;
}

void DropOccurrences(Job* job, std::uint32_t count) {
  DropTasksBefore(job, std::min(count, MadeOccurrences(*job) - 1));
}

std::uint32_t EndedOccurrences(const Job& job) {
  std::size_t i = job.m_tasks.First();
  while (i < job.m_tasks.size() && job.m_tasks[i].m_state == TaskState::kDone) {
    ++i;
  }
  return static_cast<std::uint32_t>(i / job.m_tasks_per_occurrence);
}

std::uint32_t FirstOccurrence(const Job& job) {
  return static_cast<std::uint32_t>(job.m_tasks.First() /
                                    job.m_tasks_per_occurrence);
}

bool HasTask(const Job& job, std::size_t index) {
  return index >= job.m_tasks.First() && index < job.m_tasks.size();
}

std::uint32_t MadeOccurrences(const Job& job) {
  return static_cast<std::uint32_t>(job.m_tasks.size() /
                                    job.m_tasks_per_occurrence);
}

bool HasPendingTasks(const Job& job) {
  return job.m_pending > 0 || MadeOccurrences(job) < OccurrenceCount(job);
}

std::uint32_t OccurrenceCount(const Job& job) {
  return std::max<std::uint32_t>(1, job.m_submission.m_plan.m_occurrences);
}

std::int64_t TaskIndex(const Job& job, const TaskName& name) {
  const std::vector<StepPlan>& steps = job.m_submission.m_plan.m_steps;
  if (name.m_occurrence < FirstOccurrence(job) ||
      name.m_occurrence >= MadeOccurrences(job) ||
      name.m_step >= steps.size() ||
      name.m_index >= steps[name.m_step].m_tasks) {
    return -1;
  }
  return static_cast<std::int64_t>(name.m_occurrence) *
             job.m_tasks_per_occurrence +
         job.m_first_task_of_step[name.m_step] + name.m_index;
}

TaskName NameOfTask(const Job& job, std::size_t index) {
  TaskName name;
  name.m_job = job.m_submission.m_id;
  name.m_occurrence =
      static_cast<std::uint32_t>(index / job.m_tasks_per_occurrence);
  const std::uint32_t index_in_occurrence =
      static_cast<std::uint32_t>(index % job.m_tasks_per_occurrence);
  name.m_step = job.m_step_of_task[index_in_occurrence];
  name.m_index = index_in_occurrence - job.m_first_task_of_step[name.m_step];
  return name;
}

std::string ToString(const TaskName& name) {
  return name.m_job + "." + std::to_string(name.m_occurrence) + "." +
         std::to_string(name.m_step) + "." + std::to_string(name.m_index);
}

const StepPlan& StepOf(const Job& job, std::size_t index) {
  return job.m_submission.m_plan
      .m_steps[job.m_step_of_task[index % job.m_tasks_per_occurrence]];
}

bool IsStepReady(const Job& job, std::uint32_t occurrence, std::uint32_t step) {
  const std::vector<StepPlan>& steps = job.m_submission.m_plan.m_steps;
  const std::vector<std::uint32_t>& dependencies = steps[step].m_depends_on;
  return std::all_of(
      dependencies.begin(), dependencies.end(), [&](std::uint32_t dependency) {
        return job.m_done_tasks_of_step[occurrence * steps.size() +
                                        dependency] ==
               steps[dependency].m_tasks;
      });
}

void SetTaskState(Job* job, std::size_t index, TaskState state) {
  Task& task = job->m_tasks[index];
  const std::size_t occurrence = index / job->m_tasks_per_occurrence;
  const std::uint32_t step =
      job->m_step_of_task[index % job->m_tasks_per_occurrence];
  std::uint32_t& done =
      job->m_done_tasks_of_step[occurrence *
                                    job->m_submission.m_plan.m_steps.size() +
                                step];
  job->m_pending -= task.m_state == TaskState::kPending ? 1 : 0;
  job->m_recording -= task.m_state == TaskState::kRecording ? 1 : 0;
  done -= task.m_state == TaskState::kDone ? 1 : 0;
  task.m_state = state;
  job->m_pending += state == TaskState::kPending ? 1 : 0;
  job->m_recording += state == TaskState::kRecording ? 1 : 0;
  done += state == TaskState::kDone ? 1 : 0;
}

bool IsTerminal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

JobProgress MakeJobProgress(const Job& job,
                            const std::vector<std::string>& worker_names) {
  JobProgress progress;
  progress.m_state = job.m_state;
  progress.m_tenant = job.m_submission.m_tenant;
  if (!NeedsTasks(job)) {
    return progress;
  }
  progress.m_dropped_occurrences = FirstOccurrence(job);
  std::map<int, std::uint32_t> slots;
  const auto slot_of = [&](int worker) {
    const auto inserted = slots.emplace(worker, progress.m_workers.size() + 1);
    if (inserted.second) {
      progress.m_workers.push_back(
          worker_names[static_cast<std::size_t>(worker)]);
    }
    return inserted.first->second;
  };
  bool has_checkpoints = false;
  bool has_crashes = false;
  bool has_unanswered_starts = false;
  bool has_placed_tasks = false;
  for (const Task& task : job.m_tasks) {
    progress.m_task_states.push_back(task.m_state);
    progress.m_run_numbers.push_back(task.m_run);
    progress.m_failure_counts.push_back(task.m_failures);
    progress.m_worker_slots.push_back(IsPlaced(task) ? slot_of(task.m_worker)
                                                     : 0);
    has_placed_tasks = has_placed_tasks || IsPlaced(task);
    has_unanswered_starts =
        has_unanswered_starts || !task.m_unanswered_starts.empty();
    has_checkpoints = has_checkpoints || NeedsCheckpoint(task);
    has_crashes = has_crashes || CrashCountOf(task) > 0;
  }
  for (const Task& task : job.m_tasks) {
    if (has_crashes) {
      progress.m_crash_counts.push_back(CrashCountOf(task));
      progress.m_crash_evidence.push_back(task.m_crash_evidence);
    }
    if (has_unanswered_starts) {
      progress.m_unanswered_start_slots.push_back(
          task.m_unanswered_starts.empty()
              ? 0
              : slot_of(task.m_unanswered_starts.back().m_worker));
    }
    if (has_placed_tasks) {
      progress.m_worker_incarnations.push_back(
          IsPlaced(task) ? task.m_worker_incarnation : 0);
    }
  }
  if (has_checkpoints) {
    for (const Task& task : job.m_tasks) {
      progress.m_task_checkpoints.push_back(
          NeedsCheckpoint(task) ? task.m_checkpoint : std::string());
    }
  }
  return progress;
}

Result<void> RestoreProgress(
    Job* job,
    const JobProgress& progress,
    TimePoint starts_arrive_by,
    const std::function<int(const std::string&)>& worker_index) {
  job->m_state = progress.m_state;
  job->m_stored_state = progress.m_state;
  if (IsTerminal(progress.m_state) && progress.m_task_states.empty()) {
    job->m_has_started_task = true;
    return Ok();
  }
  const std::size_t tasks = progress.m_task_states.size();
  const std::size_t made =
      progress.m_dropped_occurrences + tasks / job->m_tasks_per_occurrence;
  const bool sizes_match =
      tasks > 0 && tasks % job->m_tasks_per_occurrence == 0 &&
      made <= OccurrenceCount(*job) && progress.m_run_numbers.size() == tasks &&
      progress.m_failure_counts.size() == tasks &&
      progress.m_worker_slots.size() == tasks &&
      IsOptionalColumn(progress.m_task_checkpoints, tasks) &&
      IsOptionalColumn(progress.m_crash_counts, tasks) &&
      progress.m_crash_evidence.size() == progress.m_crash_counts.size() &&
      IsOptionalColumn(progress.m_worker_incarnations, tasks) &&
      IsOptionalColumn(progress.m_unanswered_start_slots, tasks);
  if (!sizes_match) {
    return Fail(ErrorCode::kMalformed,
                "stored progress and job differ in their number of tasks");
  }
  DropTasksBefore(job, progress.m_dropped_occurrences);
  MakeOccurrences(job, static_cast<std::uint32_t>(made));
  const std::size_t first = job->m_tasks.First();
  // Run numbers don't tell: a stored placement may never have started.
  job->m_has_started_task = progress.m_state != JobState::kQueued;
  for (std::size_t i = 0; i < tasks; ++i) {
    Task& task = job->m_tasks[first + i];
    task.m_run = progress.m_run_numbers[i];
    task.m_failures = progress.m_failure_counts[i];
    if (!progress.m_task_checkpoints.empty()) {
      task.m_checkpoint = progress.m_task_checkpoints[i];
    }
    if (!progress.m_crash_counts.empty()) {
      task.m_has_survived = progress.m_crash_counts[i] == kSurvivedMark;
      task.m_crashes = task.m_has_survived ? 0 : progress.m_crash_counts[i];
      task.m_crash_evidence = progress.m_crash_evidence[i];
    }
    const std::uint32_t unanswered_slot =
        progress.m_unanswered_start_slots.empty()
            ? 0
            : progress.m_unanswered_start_slots[i];
    if (unanswered_slot > 0 && unanswered_slot <= progress.m_workers.size()) {
      AddUnansweredStart(worker_index(progress.m_workers[unanswered_slot - 1]),
                         kUnknownRun, starts_arrive_by, &task);
    }
    const std::uint32_t slot = progress.m_worker_slots[i];
    const TaskState stored_state = progress.m_task_states[i];
    if (stored_state == TaskState::kDone ||
        stored_state == TaskState::kFailed) {
      SetTaskState(job, first + i, stored_state);
    } else if (slot > 0 && slot <= progress.m_workers.size()) {
      task.m_worker = worker_index(progress.m_workers[slot - 1]);
      task.m_start_status = StartStatus::kInherited;
      AddUnansweredStart(task.m_worker, task.m_run, starts_arrive_by, &task);
      if (!progress.m_worker_incarnations.empty()) {
        task.m_worker_incarnation = progress.m_worker_incarnations[i];
      }
      SetTaskState(job, first + i, TaskState::kStarting);
    }
  }
  return Ok();
}

}  // namespace hyssopspar::jobs
