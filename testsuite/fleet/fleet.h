/// \file
/// Plays a schedule on a fleet and judges it.

#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fleet/checks.h"
#include "fleet/clients.h"
#include "fleet/fleet_options.h"
#include "fleet/schedule.h"
#include "platform/standin/fleet_site.h"

namespace fleet {

class Fleet {
 public:
  explicit Fleet(const FleetOptions& options);

  /// Plays the run. Returns a text for each rule that was broken, and for what
  /// kept the run from being played.
  std::vector<std::string> Run();

 private:
  struct NodeState {
    int m_freezes = 0;
    bool m_down = false;
    bool m_ending = false;  ///< SIGTERM was sent.
  };
  struct WorkerState {
    int m_cuts = 0;
    bool m_down = false;  ///< By a disruption.
  };
  using Action = std::function<void()>;

  /// Plays the schedule until all disruptions have ended.
  void Play();
  /// Waits until lasting jobs run whole, for up to kFinishTime.
  void Settle(std::vector<std::string>* violations);
  /// Carries out what is due.
  void Step();
  void StepStarts();
  void MeetStart(const RunSeen& run);
  bool IsOfLastingJob(const RunSeen& run) const;
  int FindBusyWorker();
  void After(milliseconds delay, Action action);

  void Begin(const Disruption& disruption);
  void BeginOnWorker(const Disruption& disruption);
  void BeginOnNodes(const Disruption& disruption);
  void BeginOnStore(const Disruption& disruption);
  void CrashWorker(int worker, milliseconds down, bool replace);
  void UpdateWorker(int worker, milliseconds left);
  void CrashUnseen(int worker, milliseconds frozen);
  void CutWorker(int worker, milliseconds time);
  void SlowWorker(int worker, milliseconds delay, milliseconds time);
  void SilenceBeats(milliseconds time);
  void FreezeNode(int node, milliseconds time);
  void StopNode(int node, int signal, milliseconds down);
  void StartNode(int node, milliseconds stopped_at);
  void AddSpan(int node, milliseconds from);
  void AddPlannedSpan(int node, milliseconds time);

  FleetOptions m_options;
  Schedule m_schedule;
  FleetSite m_site;
  Clients m_clients;
  std::vector<NodeState> m_nodes;
  std::vector<WorkerState> m_workers;
  milliseconds m_started_at{0};
  std::multimap<milliseconds, Action> m_actions;  ///< By time.
  std::deque<Disruption> m_at_starts;         ///< Wait for the start of a task.
  std::map<int, std::string> m_series_tasks;  ///< By series.
  std::size_t m_runs_seen = 0;
  int m_replacements = 0;
  int m_least_attempts;
  std::vector<DisruptedSpan> m_disrupted;
};

}  // namespace fleet
