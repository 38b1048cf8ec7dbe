/// \file
/// Steady load of a large fleet without faults: one owner, hundreds of workers,
/// and queues of short, best-effort and long-running jobs. Measures how much
/// work the owner's decisions take.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "hyssopspar/jobs/cell.h"

namespace hyssopspar::jobs {

/// Names of the queues of FleetLoad.
inline constexpr const char* kShortQueue = "short";
inline constexpr const char* kBestEffortQueue = "best-effort";
inline constexpr const char* kLongRunningQueue = "long-running";
inline constexpr const char* kLargeQueue = "large";

struct FleetLoadOptions {
  std::uint64_t m_seed = 1;
  int m_workers = 540;
  milliseconds m_duration{10000};
  /// Jobs per second; the load grows with the number of workers.
  double m_short_jobs_per_worker = 14.0 / 540;
  double m_best_effort_jobs_per_worker = 15.6 / 540;
  double m_long_running_jobs_per_worker = 0.583 / 540;
  /// Long-running jobs that exist from the start.
  double m_initial_long_running_jobs_per_worker = 105.0 / 540;
  /// Jobs per second with one task that needs a third of a large worker.
  double m_large_jobs_per_worker = 0;
  bool m_look_ahead = false;  ///< CellSettings::m_look_ahead.
  /// Processor time of the owner for each worker that it examines. While the
  /// owner is busy, events wait.
  Duration m_cost_per_worker_visit{0};
  /// Processor time that the owner's connections take for each order and each
  /// heartbeat, one after the other.
  Duration m_cost_per_call{0};
};

/// Runs the load and counts what it took.
class FleetLoad {
 public:
  explicit FleetLoad(const FleetLoadOptions& options);
  ~FleetLoad();

  /// Processes the load until the end of its duration. \p on_round, which may
  /// be empty, runs around each round of decisions.
  void Run(const std::function<void(const std::function<void()>&)>& on_round);

  const Cell& TheCell() const { return *m_cell; }
  std::size_t Rounds() const { return m_rounds; }
  /// Stage times of all starts.
  const StageTimes& Stages() const { return m_stages; }

 private:
  struct FleetWorker;

  void ScheduleAfter(Duration delay, std::function<void()> event);
  /// Runs \p event once a call that is made now has arrived.
  void ScheduleArrival(std::function<void()> event);
  void ScheduleArrivals(double jobs_per_second,
                        const std::function<Submission()>& make);
  Submission MakeSubmission(const char* queue, std::int64_t priority);
  Submission ShortJob();
  Submission BestEffortJob();
  Submission LongRunningJob();
  Submission LargeJob();
  std::uint32_t RandomWidth(double mean);
  void Decide();
  void Execute(const StartAction& action);
  void Execute(const StopAction& action);
  void Execute(const HeartbeatAction& action);
  void Execute(const StoreAction& action);
  void EndRun(FleetWorker* worker, const TaskName& task, EndCause cause);
  void AnswerHeartbeat(FleetWorker* worker);

  FleetLoadOptions m_options;
  std::mt19937_64 m_random;
  TimePoint m_now;
  TimePoint m_end;
  TimePoint m_busy_until;   ///< The owner handles no event before this.
  TimePoint m_calls_until;  ///< When all calls so far have been sent.
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::vector<std::unique_ptr<FleetWorker>> m_workers;
  std::unique_ptr<Cell> m_cell;
  std::function<void(const std::function<void()>&)> m_on_round;
  std::size_t m_rounds = 0;
  std::uint64_t m_jobs = 0;
  StageTimes m_stages;
};

}  // namespace hyssopspar::jobs
