/// \file
/// Actions that a Cell requests from its caller. The answers to start, stop,
/// heartbeat, advise and store actions are passed back to the Cell.

#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "hyssopspar/jobs/advice_port.h"
#include "hyssopspar/jobs/worker.h"
#include "hyssopspar/jobs/worker_port.h"
#include "hyssopspar/jobs/worker_restart.h"
#include "hyssopspar/store/keyed_log.h"

namespace hyssopspar::jobs {

struct StartAction {
  int m_worker = 0;  ///< Index in the cell.
  TaskRef m_task;
  WorkerTarget m_target;
  StartOrder m_order;
  TimePoint m_sent;
  /// Clock of the incarnation for which the order is meant, if that answers at
  /// once; see ClockRangeOf().
  ClockRange m_clock;
  /// The views and the ownership lease permit the start until then. A process
  /// may be paused between the decision and the sending.
  TimePoint m_send_before;
  /// Number of earlier orders of this run that could not be sent.
  std::uint32_t m_resends = 0;
};

struct StopAction {
  int m_worker = 0;  ///< Index in the cell.
  TaskRef m_task;
  WorkerTarget m_target;
  StopOrder m_order;
  /// Incarnation of the worker, as known when the order was sent.
  std::int64_t m_incarnation_unix_ms = 0;
};

struct ThrottleAction {
  WorkerTarget m_target;
  ThrottleOrder m_order;
};

struct HeartbeatAction {
  int m_worker = 0;  ///< Index in the cell.
  TimePoint m_sent;
  WorkerTarget m_target;
  HeartbeatRequest m_order;
  TimePoint m_send_before;  ///< End of the ownership lease.
};

/// Asks the adviser which of the candidates may run a step.
struct AdviseAction {
  StepName m_step;
  std::vector<AdviceCandidate> m_candidates;
  TimePoint m_sent;
};

/// Appends to the progress stream. Batch numbers have no gaps; a batch that is
/// sent again keeps its number.
struct StoreAction {
  std::uint64_t m_batch = 0;
  std::vector<KeyedRecord> m_records;
};

/// Replaces the job stream records of ended jobs by tombstones. The cell
/// keeps only the final state of these jobs.
struct TombstoneJobsAction {
  std::vector<std::string> m_jobs;
};

/// Deletes the job stream records of jobs whose retention has ended.
struct DropJobsAction {
  std::vector<std::string> m_jobs;
  std::vector<std::string> m_cancel_keys;  ///< Keys of their cancellations.
};

using Action = std::variant<StartAction,
                            StopAction,
                            ThrottleAction,
                            HeartbeatAction,
                            AdviseAction,
                            StoreAction,
                            TombstoneJobsAction,
                            DropJobsAction>;

}  // namespace hyssopspar::jobs
