/// \file
/// Deterministic simulation of one cell: successive owners, workers, store and
/// adviser in one process with a virtual clock and random faults. Checks the
/// invariants of the job plane at every start and at the end.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hyssopspar/jobs/cell.h"
#include "job_state/adviser_sim.h"
#include "job_state/misobserved_faults.h"
#include "job_state/worker_sim.h"

namespace hyssopspar::jobs {

/// Parameters of one simulation run. Shares are probabilities from 0 to 1.
struct JobSimulationOptions {
  std::uint64_t m_seed = 1;
  int m_workers = 8;
  int m_jobs = 40;
  bool m_faults = true;  ///< Inject crashes, partitions and lost messages.
  /// Share of orders that are delivered late and without an answer.
  double m_delayed_order_share = 0.05;
  /// Delayed orders also reach a later incarnation of their worker, whose clock
  /// starts at any time.
  bool m_delayed_orders_outlive_workers = false;
  bool m_tickets_required = false;  ///< Starts need tickets of the adviser.
  bool m_gangs = false;             ///< Some steps are gangs.
  /// Share of tasks that crash each worker shortly after it has started them.
  double m_crashing_task_share = 0;
  /// Workers' capacities shrink and grow during the fault period.
  bool m_capacities_change = false;
  double m_unsent_start_share = 0;  ///< Share of starts that fail unsent.
  /// Owners decide only at events and at the times that they ask for, instead
  /// of continually.
  bool m_decide_at_deadlines = false;
  /// Some workers have other labels after a restart, which steps require.
  bool m_workers_change_kind = false;
  /// Number of times that a seventh of the workers crash together, evenly
  /// spread over the fault period.
  int m_group_crashes = 0;
  /// Periods of up to five seconds in which the store refuses all batches.
  int m_store_refusals = 0;
  /// Number of faults in the fault period.
  int m_fault_count = 12;
  /// Share of jobs with a step that lasts, whose runs end as done or failed at
  /// any time in the fault period.
  double m_long_running_share = 0;
  MisobservedFaults m_misobserved;
  /// Number of tenants with quotas, the first of which sends half of the jobs;
  /// 0: jobs have no tenants.
  int m_tenants = 0;
  int m_quota_changes = 0;    ///< Of each tenant, in the fault period.
  bool m_look_ahead = false;  ///< CellSettings::m_look_ahead.
};

/// A tenant and its quotas, with the times at which they were stored.
struct SimulatedTenant {
  std::string m_name;
  std::vector<std::pair<TimePoint, Resources>> m_quotas;
};

/// What the network and the store show of a worker.
struct WorkerContact {
  /// No owner reaches the worker until then.
  TimePoint m_cut_until;
  bool m_cut_resets = false;  ///< The cut resets connections.
  bool m_cut_from_store = false;
  /// The end of the worker's process resets connections only from then on.
  TimePoint m_loss_seen_at;
  /// The present entry can't be read until then, but an earlier one.
  TimePoint m_entry_hidden_until;
  TimePoint m_last_beat;  ///< Last contact to the store.
  bool m_entry_expired = false;
  TimePoint m_entry_back_at = TimePoint::max();
};

/// Submits random jobs and simulates a fixed period with faults, followed by
/// one without, in which all jobs must end.
class JobSimulation {
 public:
  explicit JobSimulation(const JobSimulationOptions& options);
  ~JobSimulation();

  void Run();
  /// Descriptions of violated invariants with their time; empty if there are
  /// none.
  const std::vector<std::string>& Violations() const { return m_violations; }
  /// Number of runs started on workers.
  std::size_t Starts() const { return m_starts; }
  /// Number of jobs completed according to the current owner.
  std::size_t Completed() const;
  /// Failed jobs of which no task used all attempts and no task crashes its
  /// workers.
  std::vector<std::string> JobsFailedWithoutCrashingTask() const;
  std::size_t FailedWithoutCrashingTask() const {
    return JobsFailedWithoutCrashingTask().size();
  }

 private:
  struct Owner;

  /// Runs \p event \p delay after the current virtual time.
  void ScheduleAfter(Duration delay, std::function<void()> event);
  /// Random one-way network delay.
  Duration RandomNetworkDelay();
  bool RandomBool(double probability);
  void ReportViolation(const std::string& what);

  void AddWorkers();
  void ScheduleJobs();
  void ScheduleFaults();
  void ScheduleGroupCrashes();
  void ScheduleStoreRefusals();
  void AddTenants();
  /// Stores another quota.
  void ChangeQuota(SimulatedTenant* tenant, std::int64_t cpu_milli);
  /// Passes the stored quotas on to the owner. Returns true if they changed.
  bool UpdateTenants(Owner* owner);
  Submission RandomJob(int number);
  /// Schedules the faults of m_options.m_misobserved.
  void ScheduleMisobservedFaults();
  void ScheduleLastingJobs();
  /// Runs \p event at \p count random times in the fault period.
  void ScheduleAtRandom(int count, const std::function<void()>& event);
  /// Random numbers of the faults of m_options.m_misobserved.
  Duration FaultDuration(milliseconds min, milliseconds max);
  bool FaultBool(double probability);
  int RandomWorker();
  void PauseOwner();
  void CutSomeWorkers();
  void LoseWorkersAtOnce();
  void LoseWorkerSilently();
  /// Restarts the worker as planned, then those \p lanes further.
  void UpdateWorkers(int worker, int lanes);
  void ExitForUpdate(int worker, int lanes);
  /// Lets entries expire and come back, repeatedly.
  void ExpireEntries();
  void UpdateEntry(int worker, bool store_is_up);
  RunBehavior BehaviorOf(const TaskName& task);

  void PartitionWorkersFromNewOwner(Duration duration);
  /// True while the worker is down without resetting its connections.
  bool IsSilent(int worker) const;
  bool IsCut(int worker) const;
  /// Time until which the end of the worker's process stays unseen.
  TimePoint LossSeenAt(int worker) const;
  /// Runs \p event in the owner's process, after a pause of it, and lets the
  /// owner decide.
  void RunAtOwner(Owner* owner, const std::function<void()>& event);
  /// Gives the owner the report at \p at or, if the worker's process ends
  /// earlier, an error then.
  void AnswerHeartbeat(Owner* owner,
                       const HeartbeatAction& action,
                       const Result<HeartbeatReport>& report,
                       TimePoint at);
  /// Passes the answer to the owner, unless a cut or a delay changes it.
  void DeliverHeartbeatAnswer(Owner* owner,
                              const HeartbeatAction& action,
                              const Result<HeartbeatReport>& answer);
  /// True if messages between the owner and the worker are lost.
  bool IsUnreachable(const Owner& owner, int worker) const;
  /// Creates the owner of the next epoch, which first loads the store.
  void StartNewOwner();
  void LoadStoredState(Owner* owner);
  /// Passes new job records and changes of the worker list to the owner.
  /// Returns true if there were any.
  bool UpdateOwnerInputs(Owner* owner);
  /// Lets the owner read the store, if it reaches it: its views are current
  /// then. Returns true if there were changes.
  bool ReadStore(Owner* owner);
  /// Reads the store for an owner repeatedly; it decides when there are
  /// changes.
  void PollStore(Owner* owner);
  /// Lets the owner decide at the time that it asks for.
  void ScheduleDecision(Owner* owner);
  /// Lets an active owner decide and executes the actions that it returns.
  void DispatchActions(Owner* owner);
  void Execute(Owner* owner, const StartAction& action);
  void Execute(Owner* owner, const StopAction& action);
  void Execute(Owner* owner, const ThrottleAction& action);
  void Execute(Owner* owner, const HeartbeatAction& action);
  void Execute(Owner* owner, const AdviseAction& action);
  void Execute(Owner* owner, const StoreAction& action);
  void Execute(Owner* owner, const TombstoneJobsAction& action);
  void Execute(Owner* owner, const DropJobsAction& action);
  /// Delivers an order to a worker and its answer to the owner. The order or
  /// the answer may be delayed or lost; the owner then gets kTimeout.
  template <class Answer>
  void DeliverOrder(Owner* owner,
                    int worker,
                    std::function<Answer()> deliver,
                    std::function<void(const Result<Answer>&)> answered);

  /// Ends a gang when all its members run, and reports a violation if it does
  /// not become complete in time.
  void OnGangMemberStarted(const StartOrder& order);
  /// Workers that run members of the order's gang, by task name.
  std::map<std::string, SimulatedWorker*> RunningGangMembers(
      const StartOrder& order);
  /// Checks the invariants that a new run may violate.
  void CheckNewRun(SimulatedWorker* worker, const StartOrder& order);
  void CheckCapacity(const SimulatedWorker& worker);
  /// Checks that the tenant's runs on all workers are within its quota.
  void CheckQuota(const std::string& tenant);
  /// Checks a start that is sent to an incarnation that the owner has heard of.
  void CheckLabel(const Owner& owner,
                  const StartAction& action,
                  const SimulatedWorker& worker);
  void CheckFinalStates();
  /// Checks that each task of the job runs.
  void CheckLastingJob(const Submission& job);
  void CrashWorker(int worker, Duration downtime);
  void ScheduleCapacityChanges();
  /// True for a task that crashes its workers; depends on the seed only.
  /// Checks that a job with a step that lasts goes on and that its tasks run.
  void CheckLongRunningJob(const Submission& job);
  bool IsCrashing(const std::string& task) const;
  bool HasCrashingTask(const Submission& job) const;
  /// Crashes the worker under a run of a crashing task.
  void CrashUnder(SimulatedWorker* worker, const StartOrder& order);
  /// True if the end of the job as failed has a cause.
  bool MayHaveFailed(const std::string& job_id) const;
  /// True if a task of the job failed as often as its queue allows.
  bool HasUsedAllAttempts(const std::string& job_id) const;

  JobSimulationOptions m_options;
  std::mt19937_64 m_random;
  std::mt19937_64 m_fault_random;  ///< For m_options.m_misobserved.
  TimePoint m_now;
  TimePoint m_faults_end;
  std::multimap<TimePoint, std::function<void()>> m_events;

  std::vector<std::unique_ptr<SimulatedWorker>> m_workers;
  std::set<int> m_silent_workers;
  std::vector<WorkerContact> m_contacts;  ///< By worker.
  TimePoint m_slow_answers_until;
  /// End of the last outage of the store that was seen, and whether entries
  /// expire in it.
  TimePoint m_outage_end;
  bool m_outage_expires_entries = false;
  /// Lasting tasks that crash their workers.
  std::set<std::string> m_crashing_lasting_tasks;
  std::vector<SimulatedTenant> m_tenants;
  std::size_t m_stored_quotas = 0;  ///< Number of quotas of all tenants.
  SimulatedAdviser m_adviser;
  /// End of the network partition between a worker and all owners, by worker.
  std::map<int, TimePoint> m_unreachable_until;

  // State of the simulated store.
  std::map<std::string, std::string> m_progress;
  std::uint64_t m_store_epoch = 0;
  std::uint64_t m_store_sequence = 0;
  TimePoint m_store_down_until;
  TimePoint m_store_refuses_until;
  std::vector<KeyedRecord> m_job_records;

  std::vector<std::unique_ptr<Owner>> m_owners;
  Owner* m_current_owner = nullptr;

  // Events observed by clients and workers, used by the checks.
  std::map<std::string, Submission> m_jobs;
  std::map<std::string, TimePoint> m_cancel_times;
  std::set<std::string> m_succeeded_tasks;  ///< Tasks with a successful run.
  /// Tasks with a successful run that an owner has acknowledged.
  std::set<std::string> m_acknowledged_successes;
  /// Failed runs that an owner has acknowledged, by task.
  std::map<std::string, std::uint32_t> m_acknowledged_failures;
  std::map<std::string, std::uint32_t> m_failures;  ///< Failed runs, by task.
  /// Crashes of workers under each task, and starts of crashing tasks since the
  /// third.
  std::map<std::string, std::uint32_t> m_crashes;
  std::map<std::string, std::uint32_t> m_starts_after_third_crash;
  std::set<std::string> m_complete_gangs;  ///< Gangs that ran all members.
  std::size_t m_starts = 0;
  std::vector<std::string> m_violations;
};

}  // namespace hyssopspar::jobs
