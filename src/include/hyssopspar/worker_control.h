/// \file
/// Interface of the scheduler to the platform's workers: the messages and the
/// call that carries them.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/ids.h"
#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// Names one attempt to run a task. Every start of a task is a new attempt.
struct AttemptId {
  TaskId m_task;
  Attempt m_attempt = 0;

  friend bool operator==(const AttemptId& a, const AttemptId& b) {
    return a.m_task == b.m_task && a.m_attempt == b.m_attempt;
  }
  friend bool operator<(const AttemptId& a, const AttemptId& b) {
    return std::tie(a.m_task, a.m_attempt) < std::tie(b.m_task, b.m_attempt);
  }
};

struct StartCommand {
  AttemptId m_id;
  Resources m_size;     ///< Reserved on the worker.
  std::string m_class;  ///< Workload class of the job.
  /// Declared run time of the task from its beginning.
  milliseconds m_run_time{0};
  std::int64_t m_progress = 0;  ///< Checkpoint to resume from, thousandths.
};

enum class TaskPhase {
  kRunning,
  kFinished,
  kFailed,
  kStopped,  ///< Checkpointed and stopped on command or at lease expiry.
};

/// State of one attempt on a worker.
struct TaskReport {
  AttemptId m_id;
  TaskPhase m_phase = TaskPhase::kRunning;
  std::int64_t m_progress = 0;  ///< Last checkpoint, in thousandths.
};

/// One message to a worker. A single lease covers all tasks on the worker, so
/// the number of renewals does not grow with the number of tasks.
struct WorkerSync {
  /// Boot of the worker that the times refer to. Workers refuse a sync for
  /// another boot and only report; 0 requests just the report.
  std::uint64_t m_boot_id = 0;
  /// The worker refuses the message when it arrives after this time.
  WorkerTime m_not_after;
  WorkerTime m_lease_until;  ///< New lease expiry; the worker keeps the latest.
  std::vector<StartCommand> m_start;
  std::vector<AttemptId> m_stop;      ///< Checkpoint and stop.
  std::vector<AttemptId> m_throttle;  ///< Run at a reduced rate.
  /// Ended attempts to drop from the reports.
  std::vector<AttemptId> m_discard;
};

/// Answer to a sync: the worker's clock, and all attempts it has not dropped.
struct WorkerReport {
  std::uint64_t m_boot_id = 0;
  WorkerTime m_now;
  /// False when the sync arrived after its m_not_after or named another boot.
  bool m_accepted = false;
  std::vector<TaskReport> m_tasks;
};

/// Transport to the workers. A worker enforces leases by its own clock and
/// refuses a sync that arrives after its m_not_after, so that a delayed message
/// has no effect.
class WorkerControl {
 public:
  virtual ~WorkerControl() = default;

  /// Sends \p sync to \p worker at \p address and returns its report. Times
  /// out at \p deadline. kNotSent means that the worker did not receive the
  /// sync; after any other error it may have applied it.
  virtual Result<WorkerReport> Sync(const std::string& address,
                                    const std::string& worker,
                                    const WorkerSync& sync,
                                    TimePoint deadline) = 0;
};

}  // namespace hyssopspar
