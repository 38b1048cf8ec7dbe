/// \file
/// Owners of one cell, its workers and its store in one process under a
/// controlled clock, with random faults and the promises checked.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "hyssopspar/jobs/cell.h"
#include "job_state/adviser_sim.h"
#include "job_state/worker_sim.h"

namespace hyssopspar::jobs {

struct JobWorldOptions {
  std::uint64_t m_seed = 1;
  int m_workers = 8;
  int m_jobs = 40;
  bool m_faults = true;
  double m_late_share = 0.05;   ///< Orders carried out late, without an answer.
  bool m_advised = false;       ///< Starts need tickets.
  bool m_gangs = false;         ///< Some steps work only all together.
  double m_not_sent_share = 0;  ///< Starts that never leave.
};

/// Runs until all jobs have ended. Violations are sentences; empty means that
/// every promise was kept.
class JobWorld {
 public:
  explicit JobWorld(const JobWorldOptions& options);
  ~JobWorld();

  void Run();
  const std::vector<std::string>& Violations() const { return m_violations; }
  std::size_t Starts() const { return m_starts; }
  std::size_t Completed() const;

 private:
  struct Owner;

  void At(Duration delay, std::function<void()> event);
  Duration Trip();
  bool Chance(double share);
  void Violate(const std::string& what);

  void AddWorkers();
  void AddJobs();
  void AddFaults();
  Submission RandomJob(int number);
  RunPlan PlanOf(const TaskName& task);

  void CutFromNewOwner(Duration span);
  bool IsCut(const Owner& owner, int worker) const;
  void BeginOwner();
  void LoadOwner(Owner* owner);
  void FeedOwner(Owner* owner);
  void Pump(Owner* owner);
  void Perform(Owner* owner, const StartAction& action);
  void Perform(Owner* owner, const StopAction& action);
  void Perform(Owner* owner, const PaceAction& action);
  void Perform(Owner* owner, const HoldAction& action);
  void Perform(Owner* owner, const AdviseAction& action);
  void Perform(Owner* owner, const StoreAction& action);
  void Perform(Owner* owner, const RetireAction& action);
  void Perform(Owner* owner, const ForgetAction& action);
  /// Carries an order to a worker and its answer back, or lets it go astray.
  template <class Answer>
  void Carry(Owner* owner,
             int worker,
             std::function<Answer()> deliver,
             std::function<void(const Result<Answer>&)> answered);

  void JoinGang(const StartOrder& order);
  /// Workers that run members of the order's gang, by the member's name.
  std::map<std::string, WorkerSim*> GangOf(const StartOrder& order);
  void CheckStart(WorkerSim* worker, const StartOrder& order);
  void CheckRoom(const WorkerSim& worker);
  void CheckEnd();
  void CrashWorker(int worker, Duration down);

  JobWorldOptions m_options;
  std::mt19937_64 m_random;
  TimePoint m_now;
  TimePoint m_faults_end;
  std::multimap<TimePoint, std::function<void()>> m_events;

  std::vector<std::unique_ptr<WorkerSim>> m_workers;
  AdviserSim m_adviser;
  std::map<int, TimePoint> m_cut_until;  ///< Workers that nobody reaches.

  // The store.
  std::map<std::string, std::string> m_progress;
  std::uint64_t m_store_epoch = 0;
  std::uint64_t m_store_sequence = 0;
  TimePoint m_store_down_until;
  std::vector<KeyedRecord> m_job_records;

  std::vector<std::unique_ptr<Owner>> m_owners;
  Owner* m_current = nullptr;

  // What callers and workers saw.
  std::map<std::string, Submission> m_jobs;
  std::map<std::string, TimePoint> m_cancelled;
  std::set<std::string> m_done;        ///< Tasks with a run that ended well.
  std::set<std::string> m_noted_done;  ///< Of these, taken note of.
  std::map<std::string, std::uint32_t> m_noted_failures;
  std::set<std::string> m_gangs_met;  ///< Gangs with all members at work.
  std::size_t m_starts = 0;
  std::vector<std::string> m_violations;
};

}  // namespace hyssopspar::jobs
