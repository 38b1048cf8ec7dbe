/// \file
/// A worker for tests: rooms, leases in its own clock, runs and their ends.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "hyssopspar/jobs/worker_port.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// How a run behaves, decided when it starts.
struct RunPlan {
  Resources m_room;
  milliseconds m_work{0};
  bool m_fails = false;
  bool m_lasts = false;
};

struct SimRun {
  TaskName m_task;
  std::uint32_t m_run = 0;
  RunPlan m_plan;
  TimePoint m_ends;
  bool m_stopping = false;
};

/// Follows the orders of owners as the platform's workers do. Time is passed
/// in; the worker's clock starts at its birth and may be slow.
class WorkerSim {
 public:
  WorkerSim(WorkerEntry entry, double clock_rate, TimePoint now);

  const WorkerEntry& Entry() const { return m_entry; }
  const std::map<std::string, SimRun>& Runs() const { return m_runs; }
  bool IsUp() const { return m_up; }

  /// Ends what is finished or has lapsed by \p now.
  void Advance(TimePoint now);

  StartAnswer Start(const StartOrder& order,
                    const RunPlan& plan,
                    TimePoint now);
  Result<void> Stop(const StopOrder& order, TimePoint now);
  Result<HoldReport> Hold(const HoldOrder& order, TimePoint now);

  /// Lets a run end well at \p when.
  void FinishAt(const std::string& name, TimePoint when);

  /// Kills everything it runs; Restart begins a new life under the same id.
  void Crash();
  void Restart(TimePoint now);

  /// Called for each end, with its cause.
  std::function<void(const SimRun&, EndCause)> m_on_end;
  /// Called for each end that an owner has taken note of, unless the lease
  /// lapsed in between.
  std::function<void(const EndedRow&)> m_on_acked;

 private:
  WorkerTime ClockAt(TimePoint now) const;
  void EndRun(const std::string& name, EndCause cause);

  WorkerEntry m_entry;
  double m_clock_rate;
  TimePoint m_birth;
  bool m_up = true;
  std::uint64_t m_fence = 0;
  WorkerTime m_lease;
  std::map<std::string, SimRun> m_runs;
  std::map<std::string, std::uint32_t> m_closed;  ///< Highest run ended here.
  std::vector<EndedRow> m_ended;
  std::uint64_t m_ends = 0;
  std::uint64_t m_ends_before_lapse = 0;
};

}  // namespace hyssopspar::jobs
