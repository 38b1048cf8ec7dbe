/// \file
/// Several schedulers over a log and workers in one process, under a clock that
/// the test moves. Messages take time, get lost and wait in frozen processes.

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

struct WorldSettings {
  std::uint64_t m_seed = 1;
  int m_schedulers = 3;
  int m_domains = 2;
  int m_workers = 3;  ///< In each failure domain.
  std::size_t m_retention = 400;
  milliseconds m_outage_limit{20000};
  bool m_trace = false;  ///< Prints the log's verdicts and the faults.
};

/// One scheduler process.
struct Process {
  std::string m_name;
  std::string m_failure_domain;
  std::unique_ptr<Scheduler> m_scheduler;
  double m_clock_rate = 1.0;
  Duration m_clock_offset{0};
  bool m_alive = false;
  bool m_leaving = false;
  bool m_cut = false;        ///< Can't reach the log.
  TimePoint m_frozen_until;  ///< World time.
  std::uint64_t m_generation = 0;
  std::map<std::string, TimePoint> m_next_read;
};

/// Something that happens later. Held back while its process is frozen, and
/// dropped when the process is gone.
struct Pending {
  int m_process = -1;  ///< -1: nobody's.
  std::uint64_t m_generation = 0;
  std::function<void()> m_action;
};

/// What the log itself says of one attempt.
struct AttemptRecord {
  bool m_finished = false;
  std::optional<StopReason> m_stopped;
  TimePoint m_committed;
};

/// When a failure domain was out of service, by the log's own order.
struct OutSpan {
  std::string m_name;
  TimePoint m_from;
  TimePoint m_to;  ///< TimePoint::max() while it lasts.
};

class SchedWorld {
 public:
  explicit SchedWorld(const WorldSettings& settings);

  /// Prints \p line with the time when tracing.
  void Trace(const std::string& line) const;

  /// Moves time on in small steps.
  void Advance(Duration span);

  // Faults and operators.
  void Kill(int process);
  void Restart(int process);
  void Leave(int process);
  void Freeze(int process, Duration span);
  void SetCut(int process, bool cut);
  void SetLogDown(bool down) { m_log_down = down; }
  void SetLoseAnswers(double share) { m_lose_answers = share; }
  void SetAppendDelay(Duration delay) { m_append_delay = delay; }
  void RebootWorker(int worker);
  void SetWorkerSilent(int worker, bool silent);
  void SetWorkerFailsAll(int worker, bool fails);
  void SetWorkerDead(int worker, bool dead);
  void SetOut(int domain, bool out);
  void PublishAgain();
  void Submit(std::uint32_t tasks, std::int64_t cpu_milli, milliseconds work);
  void CancelOldest();

  /// Ends every fault and brings all processes up.
  void Heal();

  /// Violations seen so far; each line names what and when.
  std::vector<std::string> Check();

  /// Violations once all work should be over.
  std::vector<std::string> CheckEnded();

  int Workers() const { return static_cast<int>(m_workers.size()); }
  int Schedulers() const { return static_cast<int>(m_processes.size()); }
  int Domains() const { return m_settings.m_domains; }
  TimePoint Now() const { return m_now; }
  std::uint64_t Starts() const;
  const Process& At(int process) const { return m_processes[process]; }

 private:
  TimePoint Local(const Process& process) const;
  void Step();
  void RunPending();
  void TickProcess(int index);
  void Read(int index, const std::string& stream, Offset from);
  void Append(int index,
              const std::string& stream,
              const std::string& payload,
              const std::function<void(Scheduler*, bool, TimePoint)>& answer);
  void Sync(int index, const SchedulerOutput::Sync& sync);
  void Later(int process, Duration delay, std::function<void()> action);
  void NoteConfig(const ConfigRecord& record);
  void AppendConfig(const ConfigRecord& record);
  void AppendNow(const std::string& stream, const std::string& payload);
  void NoteDecision(const Decision& decision);
  SchedSettings MakeSettings(const Process& process) const;
  Duration Jitter(Duration least, Duration most);
  void ListVms();
  std::vector<standin::AttemptRun> Runs();
  void CheckFinishes(const std::vector<standin::AttemptRun>& runs,
                     std::vector<std::string>* violations) const;
  void CheckCommits(const std::vector<standin::AttemptRun>& runs,
                    std::vector<std::string>* violations) const;
  void CheckReaders(std::vector<std::string>* violations) const;
  void CheckOut(const std::vector<standin::AttemptRun>& runs,
                std::vector<std::string>* violations) const;
  std::string DomainName(int domain) const;

  WorldSettings m_settings;
  std::mt19937_64 m_random;
  TimePoint m_now;
  standin::LogModel m_log;
  ConfigState m_true_config;
  std::map<std::string, CellState> m_true_cells;  ///< From every record.
  std::map<AttemptId, AttemptRecord> m_attempts;
  std::vector<OutSpan> m_outs;
  bool m_log_down = false;
  double m_lose_answers = 0;
  Duration m_append_delay = milliseconds(5);
  std::vector<standin::WorkerModel> m_workers;
  std::vector<bool> m_silent;
  std::vector<Vm> m_vms;
  std::vector<Process> m_processes;
  std::multimap<TimePoint, Pending> m_pending;
  std::vector<std::pair<JobId, std::uint32_t>> m_jobs;  ///< With task counts.
  std::size_t m_next_cancel = 0;
  std::set<JobId> m_cancelled;
};

}  // namespace hyssopspar::testsuite
