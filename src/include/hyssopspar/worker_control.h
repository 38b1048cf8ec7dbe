/// \file
/// Interface to the platform's workers.

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

/// One attempt of one task.
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

/// Command to start an attempt.
struct StartCommand {
  AttemptId m_id;
  Resources m_size;
  std::string m_class;
  milliseconds m_work{0};       ///< Declared run time of the whole task.
  std::int64_t m_progress = 0;  ///< Checkpoint to resume from, in thousandths.
};

enum class TaskPhase {
  kRunning,
  kFinished,
  kFailed,
  kStopped,  ///< Checkpointed and stopped, by command or by lapse.
};

struct TaskReport {
  AttemptId m_id;
  TaskPhase m_phase = TaskPhase::kRunning;
  std::int64_t m_progress = 0;  ///< Last checkpoint, in thousandths.
};

/// One message to a worker. It renews the lease of every task the worker runs,
/// so that control traffic does not grow with the number of tasks.
struct WorkerSync {
  std::uint64_t m_boot = 0;  ///< Boot the times refer to; 0 only asks.
  /// The worker ignores the whole message after this time.
  WorkerTime m_not_after;
  WorkerTime m_lease_until;  ///< New expiry of every task's lease.
  std::vector<StartCommand> m_start;
  std::vector<AttemptId> m_stop;      ///< Checkpoint, then stop.
  std::vector<AttemptId> m_throttle;  ///< Run at reduced speed.
  std::vector<AttemptId> m_forget;    ///< Ended attempts no longer of interest.
};

/// What a worker answers: its clock, and everything it holds.
struct WorkerReport {
  std::uint64_t m_boot = 0;
  WorkerTime m_now;
  bool m_accepted =
      false;  ///< False when the sync came late or for a boot past.
  std::vector<TaskReport> m_tasks;
};

/// Workers enforce leases by their own clock, and refuse what comes after
/// `m_not_after`, so that a message that was delayed has no effect.
class WorkerControl {
 public:
  virtual ~WorkerControl() = default;

  /// Sends \p sync to \p worker at \p address.
  virtual Result<WorkerReport> Sync(const std::string& address,
                                    const std::string& worker,
                                    const WorkerSync& sync,
                                    TimePoint deadline) = 0;
};

}  // namespace hyssopspar
