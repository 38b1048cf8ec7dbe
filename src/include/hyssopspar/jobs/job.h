/// \file
/// A job with all its tasks, as its cell's owner sees it.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/jobs/advice.h"
#include "hyssopspar/jobs/job_plan.h"
#include "hyssopspar/jobs/job_progress.h"
#include "hyssopspar/jobs/task.h"
#include "hyssopspar/jobs/worker_port.h"

namespace hyssopspar::jobs {

struct Job {
  Submission m_submission;
  std::uint64_t m_number = 0;  ///< By arrival at this owner.
  JobState m_state = JobState::kQueued;
  JobState m_stored_state = JobState::kQueued;  ///< As the store has it.
  bool m_cancelled = false;
  bool m_begun = false;                      ///< A task has been started.
  std::vector<Task> m_tasks;                 ///< By occurrence, step and index.
  std::vector<std::uint32_t> m_step_offset;  ///< Within an occurrence.
  std::vector<std::uint32_t> m_step_of;      ///< Step of each of its tasks.
  std::uint32_t m_tasks_per_occurrence = 0;
  std::vector<std::uint32_t> m_step_done;  ///< By occurrence and step.
  std::size_t m_pending = 0;               ///< Tasks in kPending.
  std::uint32_t m_depth = 1;               ///< Steps of the longest chain.
  TimePoint m_terminal_since;
  std::map<std::size_t, StepAdvice> m_advice;  ///< By occurrence and step.
};

/// A job without progress.
Job MakeJob(Submission submission);

std::uint32_t Occurrences(const Job& job);

/// Index into m_tasks, or -1 when the job has no such task.
std::int64_t TaskIndex(const Job& job, const TaskName& name);

TaskName NameOfTask(const Job& job, std::size_t index);

/// "job.occurrence.step.index", as printed in logs.
std::string ToString(const TaskName& name);

const StepPlan& StepOf(const Job& job, std::size_t index);

/// True when all steps that this one depends on have ended.
bool IsStepReady(const Job& job, std::uint32_t occurrence, std::uint32_t step);

/// Changes a task's state and the counts that depend on it.
void SetTaskState(Job* job, std::size_t index, TaskState state);

bool IsTerminal(JobState state);

/// What is stored of the job. \p worker_names gives the name of each worker.
JobProgress ProgressOf(const Job& job,
                       const std::vector<std::string>& worker_names);

/// Enters stored progress into a new job. Placed tasks get the doubt
/// kInherited; \p worker_index maps a name to a worker's index.
/// \returns kMalformed when it does not fit the job.
Result<void> RestoreProgress(
    Job* job,
    const JobProgress& progress,
    const std::function<int(const std::string&)>& worker_index);

}  // namespace hyssopspar::jobs
