/// \file
/// State that a cell's owner keeps for one task of a job.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hyssopspar/jobs/job_progress.h"
#include "hyssopspar/jobs/unanswered/unanswered_start.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Worker index of a task that is not placed.
inline constexpr int kNoWorker = -1;

/// Whether the outcome of the last start order of a task is uncertain.
enum class StartStatus {
  kNone,  ///< The order was answered, or its answer is still awaited.
  /// The start or a later stop was unanswered: the worker may still execute the
  /// start.
  kUnacknowledged,
  kStopSent,  ///< The answer to a stop of the run is awaited.
  /// The worker acknowledged a stop: the run will not start any more.
  kStopAcknowledged,
  /// Placed by an earlier owner, which may or may not have sent the order.
  kInherited,
};

struct Task {
  TaskState m_state = TaskState::kPending;
  std::uint32_t m_run = 0;  ///< Highest run number used.
  std::uint32_t m_failures = 0;
  /// Crashes of workers under the task since a run of it last survived, and the
  /// evidence that it causes them, in tenths of a decade; see BlameForCrash().
  std::uint32_t m_crashes = 0;
  std::uint32_t m_crash_evidence = 0;
  /// Highest run under which a crash has been counted.
  std::uint32_t m_last_crashed_run = 0;
  /// Runs whose worker may have crashed, known to this owner only, and the
  /// highest of them.
  std::uint32_t m_possible_crashes = 0;
  std::uint32_t m_last_possible_run = 0;
  /// A run of the task once lasted for kAcquittedRunAge: it does not crash each
  /// worker that starts it, and is never given up for crashes.
  bool m_has_survived = false;
  /// The task had just been started when its worker crashed: until then it is
  /// placed only on a worker without other unproven tasks.
  TimePoint m_isolate_until;
  /// After repeated crashes, the next run may wait for calm until then.
  TimePoint m_trial_by;
  /// Index of the worker that runs, or may run, the current run.
  int m_worker = kNoWorker;
  /// Incarnation of that worker for which the current run was placed.
  std::int64_t m_worker_incarnation = 0;
  std::string m_checkpoint;
  /// Number of the store batch that records the placement; 0: not yet sent.
  std::uint64_t m_placement_batch = 0;
  StartStatus m_start_status = StartStatus::kNone;
  TimePoint m_start_status_since;
  TimePoint m_stage_since;      ///< When the task entered its current stage.
  bool m_is_confirmed = false;  ///< The start of the current run.
  TimePoint m_confirmed_at;     ///< First confirmation that the run started.
  TimePoint m_start_sent_at;    ///< When the start of the run was last sent.
  TimePoint m_not_before;       ///< The task is not placed before this.
  TimePoint m_stop_sent_at;
  /// Speed last ordered for the current run, in percent of full speed; 0
  /// pauses.
  int m_throttle_percent = 100;
  TimePoint m_throttle_changed_at;
  TimePoint m_paused_since;      ///< Start of the current pause.
  std::vector<int> m_failed_on;  ///< Workers on which a run failed.
  /// Starts of the task that a worker may carry out late.
  std::vector<UnansweredStart> m_unanswered_starts;
  /// The only worker that may take the task in the current pass, because of
  /// these, or kNoWorker for any.
  int m_only_worker = kNoWorker;
};

/// True while the task has resources reserved on m_worker.
inline bool IsPlaced(const Task& task) {
  return task.m_state == TaskState::kRecording ||
         task.m_state == TaskState::kStarting ||
         task.m_state == TaskState::kRunning ||
         task.m_state == TaskState::kStopping;
}

}  // namespace hyssopspar::jobs
