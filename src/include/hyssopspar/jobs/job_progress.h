/// \file
/// How far a job is, as stored by the owner of its cell.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hyssopspar::jobs {

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/// Word for a state, as in logs and between nodes.
const char* ToString(JobState state);
/// Reverse of ToString, or nothing for another word.
std::optional<JobState> ParseJobState(const std::string& word);

enum class TaskState {
  kPending,
  kRecording,  ///< Placed; the placement is not yet stored.
  kStarting,   ///< Stored; the worker has not confirmed the start.
  kRunning,
  kStopping,
  kDone,
  kFailed,  ///< Out of attempts.
};

/// Stored once for each job and overwritten as a whole. The vectors run over
/// the job's tasks, by occurrence, step and index.
struct JobProgress {
  JobState m_state = JobState::kQueued;
  std::vector<TaskState> m_tasks;
  std::vector<std::uint32_t> m_runs;      ///< Highest run number used.
  std::vector<std::uint32_t> m_failures;  ///< Failed runs.
  /// Index into m_workers plus one, for tasks that may be at a worker.
  std::vector<std::uint32_t> m_placed;
  std::vector<std::string> m_checkpoints;  ///< Empty, or one for each task.
  std::vector<std::string> m_workers;
};

template <class Archive, class T>
void VisitFields(Archive& archive, T& progress, const JobProgress* /*tag*/) {
  archive(progress.m_state, progress.m_tasks, progress.m_runs,
          progress.m_failures, progress.m_placed, progress.m_checkpoints,
          progress.m_workers);
}

}  // namespace hyssopspar::jobs
