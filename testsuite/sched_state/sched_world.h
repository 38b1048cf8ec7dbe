/// \file
/// Deterministic simulation of several schedulers, the log and the workers in
/// one process, under a simulated clock. Messages are delayed and lost, and
/// messages to a frozen process wait until it resumes.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "hyssopspar/scheduler.h"
#include "standin/log_model.h"
#include "standin/worker_model.h"

namespace hyssopspar::testsuite {

struct SimulationSettings {
  std::uint64_t m_seed = 1;
  int m_schedulers = 3;
  int m_domains = 2;  ///< Failure domains, with one cell each.
  int m_workers = 3;  ///< In each failure domain.
  /// Number of records that the log keeps per stream.
  std::size_t m_max_stream_records = 400;
  milliseconds m_outage_limit{20000};
  bool m_trace = false;  ///< Prints faults and applied decisions.
};

/// One simulated scheduler process.
struct SchedulerProcess {
  std::string m_name;
  std::string m_failure_domain;
  std::unique_ptr<Scheduler> m_scheduler;
  double m_clock_rate = 1.0;   ///< Local seconds per simulated second.
  Duration m_clock_offset{0};  ///< Added to the scaled simulated time.
  bool m_alive = false;
  bool m_leaving = false;          ///< A graceful shutdown was requested.
  bool m_log_unreachable = false;  ///< Disconnected from the log.
  TimePoint m_frozen_until;        ///< Simulated time.
  std::uint64_t m_generation = 0;  ///< Changes with each kill and restart.
  std::map<std::string, TimePoint> m_next_read;  ///< By stream.
};

/// Action that is due at a later simulated time. It is deferred while its
/// process is frozen, and dropped when that process was killed or restarted.
struct ScheduledAction {
  int m_process = -1;  ///< -1: the action belongs to no process.
  std::uint64_t m_generation = 0;
  std::function<void()> m_action;
};

/// Decisions on one attempt that were accepted in the log.
struct AttemptRecord {
  bool m_finished = false;
  std::optional<StopReason> m_stopped;
  TimePoint m_committed;
};

/// Time span in which a failure domain was out of service according to the log.
struct OutOfServiceSpan {
  std::string m_name;
  TimePoint m_from;
  TimePoint m_to;  ///< TimePoint::max() while the domain is out of service.
};

/// Schedulers, log and workers in one simulation, with the faults that tests
/// inject and the checks of its invariants.
class SchedSimulation {
 public:
  explicit SchedSimulation(const SimulationSettings& settings);

  /// Prints the simulated time and \p line if tracing is enabled.
  void Trace(const std::string& line) const;

  /// Advances the simulated time by \p span in steps of fixed length.
  void Advance(Duration span);

  // Faults, and actions of operators and submitters.
  void Kill(int process);
  void Restart(int process);
  void BeginShutdown(int process);
  void Freeze(int process, Duration span);
  void SetLogUnreachable(int process, bool unreachable);
  void SetLogDown(bool down) { m_log_down = down; }
  /// Sets the probability that the answer to a successful append is lost.
  void SetAnswerLossRate(double rate) { m_answer_loss_rate = rate; }
  void SetAppendDelay(Duration delay) { m_append_delay = delay; }
  void RebootWorker(int worker);
  void SetWorkerUnresponsive(int worker, bool unresponsive);
  void SetWorkerFailsAll(int worker, bool fails);
  void SetWorkerDead(int worker, bool dead);
  void SetOutOfService(int domain, bool out_of_service);
  /// Appends two publishes with the same base revision, as two operators do who
  /// publish at the same time.
  void PublishConcurrently();
  /// Submits a job. \p run_time is the declared run time of each task.
  void Submit(std::uint32_t tasks,
              std::int64_t cpu_milli,
              milliseconds run_time);
  /// Cancels every second job, one at each call, in the order of submission.
  void CancelNextJob();

  /// Ends all faults and restarts the processes that are down or leaving.
  void ClearFaults();

  /// Returns all violations of the invariants so far, one line each.
  std::vector<std::string> Check();

  /// Returns the violations of Check(), and also every task that is not in a
  /// final state and every replica that differs from the log. For the end of a
  /// simulation.
  std::vector<std::string> CheckCompleted();

  int Workers() const { return static_cast<int>(m_workers.size()); }
  int Schedulers() const { return static_cast<int>(m_processes.size()); }
  int Domains() const { return m_settings.m_domains; }
  TimePoint Now() const { return m_now; }
  /// Number of attempts that the workers started.
  std::uint64_t StartCount() const;
  const SchedulerProcess& ProcessAt(int process) const {
    return m_processes[process];
  }

 private:
  TimePoint LocalTime(const SchedulerProcess& process) const;
  void RunTimeStep();
  void RunDueActions();
  void TickProcess(int index);
  void SendRead(int index, const std::string& stream, Offset from);
  void SendAppend(
      int index,
      const std::string& stream,
      const std::string& payload,
      const std::function<void(Scheduler*, bool, TimePoint)>& answer);
  void SendSync(int index, const SchedulerOutput::Sync& sync);
  void Schedule(int process, Duration delay, std::function<void()> action);
  void ApplyConfigRecord(const ConfigRecord& record);
  void AppendConfigRecord(const ConfigRecord& record);
  void AppendToLog(const std::string& stream, const std::string& payload);
  void RecordDecision(const Decision& decision);
  SchedSettings MakeSettings(const SchedulerProcess& process) const;
  Duration RandomDuration(Duration min, Duration max);
  void SendVmLists();
  std::vector<standin::AttemptRun> CollectRuns();
  void CheckFinishedOnce(const std::vector<standin::AttemptRun>& runs,
                         std::vector<std::string>* violations) const;
  void CheckStartsCommitted(const std::vector<standin::AttemptRun>& runs,
                            std::vector<std::string>* violations) const;
  void CheckReplicas(std::vector<std::string>* violations) const;
  void CheckStartsInService(const std::vector<standin::AttemptRun>& runs,
                            std::vector<std::string>* violations) const;
  std::string DomainName(int domain) const;

  SimulationSettings m_settings;
  std::mt19937_64 m_random;
  TimePoint m_now;
  standin::LogModel m_log;
  // States that result from all records of the log, in its order. The replicas
  // of the schedulers are compared with them.
  ConfigState m_reference_config;
  std::map<std::string, CellState> m_reference_cells;
  std::map<AttemptId, AttemptRecord> m_attempts;
  std::vector<OutOfServiceSpan> m_out_of_service_spans;
  bool m_log_down = false;
  double m_answer_loss_rate = 0;
  Duration m_append_delay = milliseconds(5);
  std::vector<standin::WorkerModel> m_workers;
  std::vector<bool> m_unresponsive;  ///< By worker.
  std::vector<Vm> m_vms;
  std::vector<SchedulerProcess> m_processes;
  std::multimap<TimePoint, ScheduledAction> m_scheduled_actions;
  std::vector<std::pair<JobId, std::uint32_t>> m_jobs;  ///< With task counts.
  std::size_t m_next_cancel = 0;                        ///< Index in m_jobs.
  std::set<JobId> m_cancelled;
};

}  // namespace hyssopspar::testsuite
