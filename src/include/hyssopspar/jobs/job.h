/// \file
/// In-memory state of a job and its tasks at the owner of its cell.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/jobs/advice.h"
#include "hyssopspar/jobs/job_plan.h"
#include "hyssopspar/jobs/job_progress.h"
#include "hyssopspar/jobs/task.h"
#include "hyssopspar/jobs/worker_port.h"
#include "hyssopspar/sliding_vector.h"

namespace hyssopspar::jobs {

/// Why a job ends as failed.
enum class JobFailure {
  kAttemptsUsed,    ///< A task has failed as often as its queue allows.
  kCrashesWorkers,  ///< A task crashes the workers that run it.
};

/// What is known of a job whose record the store has refused.
struct StoreRefusals {
  std::uint32_t m_count = 0;  ///< In a row, of the record alone.
  TimePoint m_since;          ///< The first of them.
  /// The job is set aside until its record, sent then, is taken; max(): it is
  /// not set aside.
  TimePoint m_retry_at = TimePoint::max();
};

/// A job and the counters derived from the states of its tasks.
struct Job {
  Submission m_submission;
  std::uint64_t m_number = 0;  ///< Order of arrival at this owner.
  /// Index of its tenant's account; nullopt for a job without a tenant.
  std::optional<std::size_t> m_account;
  /// Time from which the job, which waits for its tenant's quota, holds that
  /// tenant's less urgent jobs back; max(): it is not waiting.
  TimePoint m_quota_turn_at = TimePoint::max();
  JobState m_state = JobState::kQueued;
  JobState m_stored_state = JobState::kQueued;  ///< Last stored state.
  std::size_t m_stored_parts = 0;  ///< Parts of the last stored progress.
  /// Number of changes of its progress at this owner, and of those in the last
  /// stored progress.
  std::uint64_t m_changes = 0;
  std::uint64_t m_stored_changes = 0;
  StoreRefusals m_refusals;
  bool m_cancelled = false;         ///< Cancellation requested.
  bool m_has_started_task = false;  ///< A worker confirmed the start of a task.
  /// Tasks of the occurrences that were made and not dropped, ordered by
  /// occurrence, step and index; see MakeOccurrences().
  SlidingVector<Task> m_tasks;
  /// Index of the first task of each step within an occurrence.
  std::vector<std::uint32_t> m_first_task_of_step;
  /// Step of each task within an occurrence.
  std::vector<std::uint32_t> m_step_of_task;
  std::uint32_t m_tasks_per_occurrence = 0;
  /// Number of tasks in kDone, by occurrence and step.
  SlidingVector<std::uint32_t> m_done_tasks_of_step;
  /// First pass that found the step ready, by occurrence and step.
  SlidingVector<TimePoint> m_ready_since_of_step;
  /// Longest run time seen among the tasks in kDone, by occurrence and step.
  SlidingVector<Duration> m_slowest_run_of_step;
  std::size_t m_pending = 0;    ///< Number of tasks in kPending.
  std::size_t m_recording = 0;  ///< Number of tasks in kRecording.
  /// Number of steps in the longest chain of dependencies.
  std::uint32_t m_critical_path_steps = 1;
  TimePoint m_terminal_since;  ///< When the job reached a terminal state.
  std::map<std::size_t, StepAdvice> m_advice;  ///< By occurrence and step.
};

/// Number of steps in the longest chain of dependencies; at least 1.
std::uint32_t CriticalPathSteps(const JobPlan& plan);

/// Creates a job with the tasks of its first occurrence, which are pending.
Job MakeJob(Submission submission);

/// Makes the tasks of the first \p count occurrences, which are pending unless
/// they were made before. Occurrences are made when they are due: a job may
/// have far more of them than a node could keep tasks of.
void MakeOccurrences(Job* job, std::uint32_t count);

/// Drops the tasks of the first \p count occurrences, which have ended, but
/// keeps the last occurrence that was made. Their tasks count as done.
void DropOccurrences(Job* job, std::uint32_t count);

/// Number of the first occurrences all of whose tasks are done.
std::uint32_t EndedOccurrences(const Job& job);

/// The first occurrence that was not dropped.
std::uint32_t FirstOccurrence(const Job& job);

/// True if the task with this index was made and not dropped.
bool HasTask(const Job& job, std::size_t index);

/// Number of occurrences, at least 1.
std::uint32_t OccurrenceCount(const Job& job);

/// Number of occurrences whose tasks have been made, at least 1.
std::uint32_t MadeOccurrences(const Job& job);

/// True if the job has pending tasks, or occurrences that are not made yet.
bool HasPendingTasks(const Job& job);

/// Index into m_tasks, or -1 if the job has no such task, not yet or no longer.
std::int64_t TaskIndex(const Job& job, const TaskName& name);

TaskName NameOfTask(const Job& job, std::size_t index);

/// "job.occurrence.step.index", as printed in logs.
std::string ToString(const TaskName& name);

const StepPlan& StepOf(const Job& job, std::size_t index);

/// True if all tasks of the steps that this one depends on are done.
bool IsStepReady(const Job& job, std::uint32_t occurrence, std::uint32_t step);

/// Sets a task's state and updates the job's counters of pending and done
/// tasks.
void SetTaskState(Job* job, std::size_t index, TaskState state);

bool IsTerminal(JobState state);

/// Builds the record to be stored for the job. \p worker_names maps the index
/// of a worker to its id.
JobProgress MakeJobProgress(const Job& job,
                            const std::vector<std::string>& worker_names);

/// Applies stored progress to a new job. Placed tasks become kStarting with the
/// start status kInherited, because an earlier owner may have sent their start.
/// Workers may carry out its starts until \p starts_arrive_by.
/// \p worker_index maps a worker's id to its index.
/// \returns kMalformed if the tasks are not those of whole occurrences.
Result<void> RestoreProgress(
    Job* job,
    const JobProgress& progress,
    TimePoint starts_arrive_by,
    const std::function<int(const std::string&)>& worker_index);

}  // namespace hyssopspar::jobs
