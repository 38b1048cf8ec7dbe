/// \file
/// One task of a job, as its cell's owner sees it.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hyssopspar/jobs/job_progress.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

inline constexpr int kNoWorker = -1;

/// What is known of a start order.
enum class StartDoubt {
  kNone,
  kUnanswered,  ///< The order may yet be carried out.
  kStopSent,    ///< A stop of the run is under way.
  kStopped,     ///< The stop was answered: the run never starts from now on.
  kInherited,   ///< Ordered by an earlier owner, if at all.
};

struct Task {
  TaskState m_state = TaskState::kPending;
  std::uint32_t m_run = 0;  ///< Highest run number used.
  std::uint32_t m_failures = 0;
  int m_worker = kNoWorker;  ///< Where the present run is, or may be.
  std::string m_checkpoint;
  std::uint64_t m_batch = 0;  ///< Store batch that records the placement.
  StartDoubt m_doubt = StartDoubt::kNone;
  TimePoint m_doubt_since;
  TimePoint m_confirmed;   ///< When the worker was first known to run it.
  TimePoint m_not_before;  ///< No start earlier than this.
  TimePoint m_stop_sent;
  int m_pace = 100;  ///< Percent last ordered of the present run.
  TimePoint m_paced_at;
  TimePoint m_paused_since;      ///< Start of the present pause.
  std::vector<int> m_failed_on;  ///< Workers on which a run failed.
};

/// True while a run may use room on m_worker.
inline bool IsPlaced(const Task& task) {
  return task.m_state == TaskState::kRecording ||
         task.m_state == TaskState::kStarting ||
         task.m_state == TaskState::kRunning ||
         task.m_state == TaskState::kStopping;
}

}  // namespace hyssopspar::jobs
