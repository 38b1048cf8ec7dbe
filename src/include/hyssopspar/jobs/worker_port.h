/// \file
/// Interface to the workers that run tasks.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Rate of the slowest worker clock, of the platform's contract.
inline constexpr double kSlowestWorkerClock = 0.98;

/// Names a task across the whole system.
struct TaskName {
  std::string m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_index = 0;
};

/// What the platform's list says of a worker.
struct WorkerEntry {
  std::string m_id;
  std::string m_address;
  std::string m_service;
  std::string m_failure_domain;
  std::string m_rack;
  std::vector<std::string> m_labels;
  Resources m_capacity;
  bool m_leaving = false;
  std::int64_t m_born_unix_ms = 0;  ///< Start of this life.
};

/// Where an order goes.
struct WorkerTarget {
  std::string m_id;
  std::string m_address;
};

struct StartOrder {
  TaskName m_task;
  std::uint32_t m_run = 0;
  std::string m_payload;
  std::string m_checkpoint;  ///< "" starts from the beginning.
  std::string m_ticket;      ///< "" where starts need none.
  WorkerTime m_not_after;    ///< The worker refuses the order later.
  std::uint64_t m_epoch = 0;
};

enum class StartAnswer {
  kStarted,
  kFenced,  ///< The worker knows a higher epoch.
  kOldRun,  ///< The worker has seen this run, or a later one, end.
  kLate,    ///< Arrived after m_not_after.
  kNoRoom,
  kNoTicket,   ///< The ticket is missing or no longer good.
  kRejected,   ///< Malformed for the worker.
  kUnhealthy,  ///< Nothing was done; try elsewhere.
  kOtherLife,  ///< The address belongs to another worker now.
};

struct StopOrder {
  TaskName m_task;
  std::uint32_t m_run = 0;
  std::uint64_t m_epoch = 0;
};

struct PaceOrder {
  TaskName m_task;
  std::uint32_t m_run = 0;
  int m_percent = 100;
  std::uint64_t m_epoch = 0;
};

struct HoldOrder {
  std::uint64_t m_epoch = 0;
  std::uint64_t m_acked = 0;  ///< Ends up to this number are forgotten.
  bool m_extend = false;      ///< Whether m_lease_until is given.
  WorkerTime m_lease_until;
  milliseconds m_wait{0};  ///< Time to wait for an end.
};

enum class EndCause {
  kDone,
  kFailed,
  kStopped,
  kLapsed,
  kBroken,  ///< Another member of the gang ended.
  kAlone,   ///< The gang did not become complete.
};

struct RunningRow {
  TaskName m_task;
  std::uint32_t m_run = 0;
  std::string m_checkpoint;
  int m_progress = 0;  ///< Percent of the work that is done.
  /// Served tail in milliseconds for tasks with a tail target, else thousandths
  /// of a processor in use; over the last half second.
  double m_usage = 0;
};

struct EndedRow {
  std::uint64_t m_number = 0;
  TaskName m_task;
  std::uint32_t m_run = 0;
  EndCause m_cause = EndCause::kStopped;
  std::string m_checkpoint;
};

/// All that a worker runs, and the ends it has not been told to forget.
struct HoldReport {
  WorkerTime m_now;
  std::int64_t m_born_unix_ms = 0;
  std::vector<RunningRow> m_running;
  std::vector<EndedRow> m_ended;
};

/// Asynchronous orders. Each callback runs once, by \p deadline. A worker
/// ignores orders of an epoch below the highest it has seen. After kTimeout or
/// kConnectionLost an order may yet be carried out, after later ones.
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;

  virtual void Start(const WorkerTarget& worker,
                     const StartOrder& order,
                     TimePoint deadline,
                     std::function<void(Result<StartAnswer>)> done) = 0;

  /// Success means that this run is stopping, or will never start there.
  virtual void Stop(const WorkerTarget& worker,
                    const StopOrder& order,
                    TimePoint deadline,
                    std::function<void(Result<void>)> done) = 0;

  virtual void Pace(const WorkerTarget& worker,
                    const PaceOrder& order,
                    TimePoint deadline,
                    std::function<void(Result<void>)> done) = 0;

  /// Fails with kFenced when the worker knows a higher epoch, and with
  /// kNotFound when the address belongs to another worker.
  virtual void Hold(const WorkerTarget& worker,
                    const HoldOrder& order,
                    TimePoint deadline,
                    std::function<void(Result<HoldReport>)> done) = 0;
};

}  // namespace hyssopspar::jobs
