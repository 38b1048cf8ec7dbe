/// \file
/// Persistent state of a job and its tasks, written by the owner of the job's
/// cell.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hyssopspar::jobs {

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/// Name of a state as used in logs and in messages between nodes.
const char* ToString(JobState state);
/// Reverse of ToString; nullopt for an unknown name.
std::optional<JobState> ParseJobState(const std::string& name);

enum class TaskState {
  kPending,
  kRecording,  ///< Placed; the placement is being stored.
  kStarting,   ///< Placement stored; start not yet confirmed.
  kRunning,
  kStopping,
  kDone,
  kFailed,  ///< All attempts used.
};

/// Stands in place of a number of crashes for a task of which a run has
/// survived: crashes do not count against it.
inline constexpr std::uint32_t kSurvivedMark = 255;

/// One record per job; each update replaces the complete record. Every vector
/// except m_workers has one entry per task of the occurrences that were made
/// and not dropped, ordered by occurrence, step and index, or is empty. The
/// vectors of completed and failed jobs are empty.
struct JobProgress {
  JobState m_state = JobState::kQueued;
  std::vector<TaskState> m_task_states;
  std::vector<std::uint32_t> m_run_numbers;     ///< Highest run number used.
  std::vector<std::uint32_t> m_failure_counts;  ///< Failed runs.
  /// Index into m_workers plus one for tasks that may be on a worker, 0
  /// for others.
  std::vector<std::uint32_t> m_worker_slots;
  std::vector<std::string> m_task_checkpoints;  ///< Empty if no task has one.
  std::vector<std::string> m_workers;  ///< Worker ids, each listed once.
  /// Crashes of workers under each task or kSurvivedMark, and the evidence that
  /// it causes them; both empty if there are none.
  std::vector<std::uint32_t> m_crash_counts;
  std::vector<std::uint32_t> m_crash_evidence;
  /// Incarnations of the workers of placed tasks, 0 for others; empty if no
  /// task is placed.
  std::vector<std::int64_t> m_worker_incarnations;
  /// Index into m_workers plus one of the worker that may still carry out an
  /// earlier start of the task, 0 for none; empty if there is no such task.
  std::vector<std::uint32_t> m_unanswered_start_slots;
  std::string m_tenant;  ///< Of the job, whose record is removed before.
  /// Number of the first occurrences, all done, whose tasks have no entries.
  std::uint32_t m_dropped_occurrences = 0;
};

}  // namespace hyssopspar::jobs
