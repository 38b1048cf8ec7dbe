/// \file
/// Interface through which a cell's owner sends orders and heartbeats to the
/// workers that run tasks, and the types of those messages.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Lowest rate of a worker's clock, relative to real time, that the platform
/// guarantees.
inline constexpr double kMinWorkerClockRate = 0.98;

/// Identifies a task across all cells.
struct TaskName {
  std::string m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_index = 0;

  friend bool operator==(const TaskName& a, const TaskName& b) {
    return a.m_occurrence == b.m_occurrence && a.m_step == b.m_step &&
           a.m_index == b.m_index && a.m_job == b.m_job;
  }
};

/// Entry of the platform's list of workers.
struct WorkerEntry {
  std::string m_id;
  std::string m_address;
  std::string m_service;  ///< Pool that the worker belongs to.
  std::string m_failure_domain;
  std::string m_rack;
  std::vector<std::string> m_labels;
  Resources m_capacity;
  bool m_leaving = false;  ///< Is about to leave: gets no new tasks.
  /// Start time of the worker's current incarnation; identifies it.
  std::int64_t m_incarnation_unix_ms = 0;
};

/// Recipient of an order.
struct WorkerTarget {
  std::string m_id;
  std::string m_address;
};

/// Order to start one run of a task.
struct StartOrder {
  TaskName m_task;
  std::uint32_t m_run = 0;
  std::string m_payload;
  std::string m_checkpoint;   ///< Empty: start from the beginning.
  std::string m_ticket;       ///< Empty when the queue requires no ticket.
  WorkerTime m_not_after;     ///< The worker refuses the order after this.
  std::uint64_t m_epoch = 0;  ///< See OrderEpoch().
};

/// A worker's answer to a StartOrder.
enum class StartAnswer {
  kStarted,
  kFenced,       ///< The worker has received an order of a higher epoch.
  kOldRun,       ///< This run, or a later one, has already ended there.
  kLate,         ///< The order arrived after m_not_after.
  kNoCapacity,   ///< Too little free capacity.
  kNoTicket,     ///< The ticket is missing or has expired.
  kRejected,     ///< The worker considers the order malformed.
  kUnhealthy,    ///< The worker did not start the run; use another worker.
  kWrongWorker,  ///< The address now belongs to another worker.
};

/// A worker's answer to a StartOrder and its clock at that time.
struct StartReply {
  StartAnswer m_answer = StartAnswer::kStarted;
  /// nullopt if the answer has no clock.
  std::optional<WorkerTime> m_now;
};

/// Order to stop one run of a task, or to prevent its start.
struct StopOrder {
  TaskName m_task;
  std::uint32_t m_run = 0;
  std::uint64_t m_epoch = 0;
};

/// Order to throttle a run.
struct ThrottleOrder {
  TaskName m_task;
  std::uint32_t m_run = 0;
  int m_percent = 100;  ///< Of full speed; 0 pauses the run.
  std::uint64_t m_epoch = 0;
};

/// Heartbeat request: extends the worker's lease, acknowledges ended runs and
/// asks what the worker runs.
struct HeartbeatRequest {
  std::uint64_t m_epoch = 0;
  /// The worker may discard its ended runs up to this number.
  std::uint64_t m_acked_up_to = 0;
  /// Whether the lease is extended to m_lease_until.
  bool m_extends_lease = false;
  WorkerTime m_lease_until;
  /// Longest time that the worker delays its answer while no run ends.
  milliseconds m_wait{0};
};

/// Why a run ended.
enum class EndCause {
  kDone,
  kFailed,
  kStopped,  ///< By a stop order.
  kLeaseExpired,
  kWorkerCrashed,   ///< The worker was restarted, replaced or lost.
  kGangBroken,      ///< Another member of the gang ended.
  kGangIncomplete,  ///< Not all members of the gang started.
};

/// A run in progress, as its worker reports it.
struct RunningRun {
  TaskName m_task;
  std::uint32_t m_run = 0;
  std::string m_checkpoint;
  int m_progress = 0;  ///< Percent of the work that is done.
  /// For tasks with a tail target the tail latency in milliseconds, for others
  /// the CPU use in thousandths of a processor; over the last half second.
  double m_usage = 0;
};

/// A run that ended, as its worker reports it.
struct EndedRun {
  /// Sequence number of the end; counted anew by each incarnation.
  std::uint64_t m_number = 0;
  TaskName m_task;
  std::uint32_t m_run = 0;
  EndCause m_cause = EndCause::kStopped;
  std::string m_checkpoint;
};

/// Answer to a heartbeat request: lists all runs in progress and all ended runs
/// that have not been acknowledged.
struct HeartbeatReport {
  WorkerTime m_now;                        ///< The worker's clock.
  std::int64_t m_incarnation_unix_ms = 0;  ///< Incarnation of the worker.
  std::vector<RunningRun> m_running;
  std::vector<EndedRun> m_ended;
};

/// Asynchronous orders to workers. Each callback runs exactly once, no later
/// than \p deadline. A worker ignores orders of an epoch below the highest it
/// has received. After kTimeout or kConnectionLost the worker may still execute
/// the order, even after orders that were sent later.
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;

  virtual void Start(const WorkerTarget& worker,
                     const StartOrder& order,
                     TimePoint deadline,
                     std::function<void(Result<StartReply>)> done) = 0;

  /// Success means that the run is stopping or will never start on this worker.
  virtual void Stop(const WorkerTarget& worker,
                    const StopOrder& order,
                    TimePoint deadline,
                    std::function<void(Result<void>)> done) = 0;

  virtual void Throttle(const WorkerTarget& worker,
                        const ThrottleOrder& order,
                        TimePoint deadline,
                        std::function<void(Result<void>)> done) = 0;

  /// Sends a heartbeat. Fails with kFenced when the worker has received a
  /// higher epoch, and with kNotFound when the address belongs to another
  /// worker.
  virtual void ExchangeHeartbeat(
      const WorkerTarget& worker,
      const HeartbeatRequest& request,
      TimePoint deadline,
      std::function<void(Result<HeartbeatReport>)> done) = 0;
};

}  // namespace hyssopspar::jobs
