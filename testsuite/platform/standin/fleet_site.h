/// \file
/// The platform around a fleet of nodes: processes of nodes, and the stand-ins
/// of the store and the workers. It speaks the platform's formats, so that the
/// tests of fleets need not know them.

#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "fleet/fleet_options.h"
#include "fleet/job_plan.h"
#include "fleet/run_seen.h"
#include "platform/standin/site.h"

namespace fleet {

enum class StoreFaultKind { kSilent, kReset, kRefusesWrites };

/// What the store does to the calls of one node, or of all (-1).
struct StoreFault {
  int m_node = -1;
  StoreFaultKind m_kind = StoreFaultKind::kSilent;
  int m_status = 0;  ///< Of refused writes.
};

class FleetSite {
 public:
  explicit FleetSite(const FleetOptions& options);

  /// Starts everything. Returns false if the nodes don't get ready.
  bool Start();
  void Stop();
  /// Ends workers that a task has crashed and removes the entries of silent
  /// ones. To be called every few milliseconds.
  void Tick();

  milliseconds Now() { return milliseconds(m_site.GetRecord().Now()); }
  void Note(const std::string& line) { m_site.GetRecord().Add(line); }

  void CrashWorker(int worker);
  /// Starts a worker that is down, under \p id if that isn't empty.
  void StartWorker(int worker, const std::string& id);
  void SetWorkerCut(int worker, bool cut);
  void SetBeatsSilent(int worker, bool silent);
  void SlowWorker(int worker, milliseconds delay);
  void DrainWorker(int worker, milliseconds left);
  std::string IdOfWorker(int worker);
  /// -1 if no worker has this id.
  int FindWorker(const std::string& id);

  void SignalNode(int node, int signal) { m_site.Signal(node, signal); }
  bool HasNodeEnded(int node) { return m_site.HasEnded(node); }
  void StartNode(int node) { m_site.StartNode(node); }

  /// Returns the number with which the fault is ended.
  int AddStoreFault(const StoreFault& fault);
  void EndStoreFault(int number);

  /// Writes a new configuration with this limit of failed runs of a task.
  void SetMaxAttempts(int max_attempts);

  /// Status of the answer; 0 without one.
  int Submit(int node, const JobPlan& job, milliseconds timeout);
  int Cancel(int node, const std::string& id, milliseconds timeout);
  /// State as the node tells it, "unknown" if it says that there is no such
  /// job, "" if it doesn't tell.
  std::string State(int node, const std::string& id, milliseconds timeout);

  /// Runs in the order of their starts, from the one numbered \p first.
  std::vector<RunSeen> Runs(std::size_t first = 0);

 private:
  review::Store::Fault FindFault(const review::Request& request);

  FleetOptions m_options;
  review::Site m_site;
  int m_config_version = 7;
  std::vector<bool> m_listed;
  std::mutex m_mutex;
  int m_next_fault = 0;                ///< Under m_mutex.
  std::map<int, StoreFault> m_faults;  ///< Under m_mutex.
};

}  // namespace fleet
