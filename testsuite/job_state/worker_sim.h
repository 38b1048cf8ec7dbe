/// \file
/// Simulated worker: runs, leases on its own clock, and the ends it reports.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "hyssopspar/jobs/worker_port.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Behavior of a run, fixed when it starts.
struct RunBehavior {
  Resources m_resources;  ///< Reserved on the worker.
  milliseconds m_run_time{0};
  bool m_will_fail = false;
  /// The run ends at the time passed to CompleteAt; m_run_time is ignored.
  bool m_runs_until_gang_ends = false;
};

/// A run that has not ended.
struct SimulatedRun {
  TaskName m_task;
  std::uint32_t m_run = 0;
  RunBehavior m_behavior;
  TimePoint m_end_time;
  bool m_stopping = false;
};

/// Executes orders of owners by the rules of the platform's workers. The caller
/// supplies the time; the worker's own clock starts at 0 with each incarnation
/// and runs at \p clock_rate.
class SimulatedWorker {
 public:
  SimulatedWorker(WorkerEntry entry, double clock_rate, TimePoint now);

  /// Lets each later incarnation tell the time of its start, and its clock
  /// start at any time below \p limit, not at 0.
  void SetLatestClockStart(milliseconds limit) { m_latest_clock_start = limit; }

  const WorkerEntry& Entry() const { return m_entry; }
  /// Changes the capacity that the worker reports. Runs are not affected.
  void SetCapacity(const Resources& capacity, TimePoint now);
  void SetLabels(std::vector<std::string> labels) {
    m_entry.m_labels = std::move(labels);
  }
  /// Reports that the worker will exit soon, until it restarts.
  void SetLeaving() { m_entry.m_leaving = true; }
  /// Highest capacity reported since \p since.
  Resources HighestCapacitySince(TimePoint since) const;
  /// Runs that have not ended, by task name.
  const std::map<std::string, SimulatedRun>& Runs() const { return m_runs; }
  bool IsUp() const { return m_up; }

  /// Ends the runs that finish by \p now, or all runs if the lease has expired.
  void Advance(TimePoint now);

  StartAnswer Start(const StartOrder& order,
                    const RunBehavior& behavior,
                    TimePoint now);
  /// Time of the worker's clock.
  WorkerTime ClockAt(TimePoint now) const;
  Result<void> Stop(const StopOrder& order, TimePoint now);
  Result<HeartbeatReport> ExchangeHeartbeat(const HeartbeatRequest& request,
                                            TimePoint now);

  /// Lets a run complete at \p when, if it does not end earlier.
  void CompleteAt(const std::string& name, TimePoint when);

  /// Kills all runs and drops all state. Restart begins a new incarnation with
  /// the same id.
  void Crash();
  void Restart(TimePoint now);

  /// Called for each run that ends.
  std::function<void(const SimulatedRun&, EndCause)> m_on_end;
  /// Called for each end that an owner has acknowledged, unless the lease has
  /// expired since the run ended.
  std::function<void(const EndedRun&)> m_on_acknowledged;

 private:
  void EndRun(const std::string& name, EndCause cause);

  WorkerEntry m_entry;
  /// Earlier capacities and when they were replaced.
  std::vector<std::pair<TimePoint, Resources>> m_earlier_capacities;
  double m_clock_rate;
  TimePoint m_started_at;
  milliseconds m_latest_clock_start{0};
  milliseconds m_clock_start{0};
  bool m_up = true;
  std::uint64_t m_highest_epoch = 0;
  WorkerTime m_lease_end;
  std::map<std::string, SimulatedRun> m_runs;
  /// Highest run number that has ended or was stopped, by task name.
  std::map<std::string, std::uint32_t> m_highest_ended_run;
  std::vector<EndedRun> m_unacknowledged_ends;
  /// Number of runs that have ended; also the number of the last end.
  std::uint64_t m_end_count = 0;
  /// Number of the last end before the lease last expired.
  std::uint64_t m_ends_before_expiry = 0;
};

}  // namespace hyssopspar::jobs
