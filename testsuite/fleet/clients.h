/// \file
/// The clients of a fleet: they submit its jobs and ask for their states.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fleet/job_plan.h"
#include "platform/standin/fleet_site.h"

namespace fleet {

/// What the clients know about a job.
struct JobSeen {
  JobPlan m_plan;
  bool m_is_accepted = false;
  milliseconds m_accepted_at{0};
  std::string m_state;  ///< As last told.
};

/// An answer that an accepted job must not get without cause.
struct Objection {
  std::string m_job;
  std::string m_state;  ///< "failed", "cancelled" or "unknown".
  int m_node = 0;
  milliseconds m_asked_at{0};
  milliseconds m_answered_at{0};
};

class Clients {
 public:
  Clients(FleetSite* site, const std::vector<JobPlan>& jobs, int nodes);
  ~Clients() { Stop(); }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  void Start(std::uint64_t seed);
  void Stop();

  std::vector<JobSeen> Jobs();
  std::vector<Objection> Objections();
  /// Asks for the state of each accepted job until \p deadline or until each
  /// got an answer. Returns the ids of those without one.
  std::vector<std::string> AskForAll(milliseconds deadline);

 private:
  void SubmitLoop(std::uint64_t seed);
  void AskLoop(std::uint64_t seed);
  void Submit(std::size_t index, int first_node);
  /// Returns false if there was no answer.
  bool Ask(std::size_t index, int node);

  FleetSite* m_site;
  int m_nodes;
  milliseconds m_started_at{0};
  std::atomic<bool> m_stopping{false};
  std::mutex m_mutex;
  std::size_t m_next_due = 0;           ///< Under m_mutex.
  std::vector<JobSeen> m_jobs;          ///< Under m_mutex.
  std::vector<Objection> m_objections;  ///< Under m_mutex.
  std::vector<std::thread> m_threads;
};

}  // namespace fleet
