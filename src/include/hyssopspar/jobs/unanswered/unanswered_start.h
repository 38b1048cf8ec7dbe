/// \file
/// Starts without an answer, which a worker may carry out late, and where the
/// task may be started again meanwhile.

#pragma once

#include <cstdint>
#include <vector>

#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

struct OrderLimits;
struct Task;
struct TaskName;
struct Worker;

/// Run number of a start of which only its worker is known.
inline constexpr std::uint32_t kUnknownRun = 0;

/// A start order that its worker may still carry out. An incarnation that has
/// acknowledged a stop or a fence ignores it, but the next one knows of
/// neither.
struct UnansweredStart {
  int m_worker = 0;  ///< Index in the cell.
  std::uint32_t m_run = kUnknownRun;
  TimePoint m_arrives_by;  ///< The worker doesn't begin it after this.
};

/// Where a task may be started next.
struct StartConstraint {
  /// A run of the task has not ended, or could begin on several workers.
  bool m_must_wait = false;
  /// The only worker that may take the task, or kNoWorker for any.
  int m_only_worker = -1;
};

/// Records that the start of a run may be carried out until \p arrives_by.
void AddUnansweredStart(int worker,
                        std::uint32_t run,
                        TimePoint arrives_by,
                        Task* task);

/// Forgets the start of the run, which the worker has carried out.
void ForgetStart(int worker, std::uint32_t run, Task* task);

/// Forgets the starts that can't be carried out any more. Returns where the
/// task may be started, beside those that can: elsewhere, two runs of it could
/// work at once. On their worker a run can't outlast the incarnation that
/// rejects the earlier ones.
StartConstraint ConstrainNextStart(const TaskName& name,
                                   const std::vector<Worker>& workers,
                                   const OrderLimits& limits,
                                   TimePoint now,
                                   Task* task);

}  // namespace hyssopspar::jobs
