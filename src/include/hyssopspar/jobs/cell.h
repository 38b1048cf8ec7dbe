/// \file
/// Decisions of a cell's owner: which task runs on which worker, and which
/// progress is stored.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/jobs/action.h"
#include "hyssopspar/jobs/admission/drain_meter.h"
#include "hyssopspar/jobs/admission/load_summary.h"
#include "hyssopspar/jobs/cell_settings.h"
#include "hyssopspar/jobs/cell_work.h"
#include "hyssopspar/jobs/crash_blame.h"
#include "hyssopspar/jobs/forecast/load_cycle.h"
#include "hyssopspar/jobs/interference.h"
#include "hyssopspar/jobs/job.h"
#include "hyssopspar/jobs/long_running_growth.h"
#include "hyssopspar/jobs/placement.h"
#include "hyssopspar/jobs/refusals.h"
#include "hyssopspar/jobs/reservation/look_ahead.h"
#include "hyssopspar/jobs/stage_times.h"
#include "hyssopspar/jobs/start_window.h"
#include "hyssopspar/jobs/tail_forecast.h"
#include "hyssopspar/jobs/tenants/job_access.h"
#include "hyssopspar/jobs/tenants/tenant_accounts.h"
#include "hyssopspar/jobs/urgency.h"
#include "hyssopspar/jobs/worker.h"
#include "hyssopspar/jobs/worker_agenda.h"

namespace hyssopspar::jobs {

/// A job whose final state has been stored; reported for metrics.
struct JobEnd {
  std::string m_queue;
  JobState m_state = JobState::kCompleted;
  Duration m_age{0};  ///< From the job's acceptance to its stored end.
};

/// State of one cell during one epoch of ownership. Performs no I/O: it gets
/// the time and the events, and returns actions for its caller to execute. A
/// placement is stored before the start is sent to the worker, and the end of a
/// run is stored before it is acknowledged to the worker. The next owner can
/// therefore tell from the store and the workers' reports where each task may
/// be running.
class Cell {
 public:
  Cell(const CellSettings& settings, TimePoint now);

  /// Adds a job from the job stream. Repeated calls for a job have no effect.
  void OnJob(const Submission& submission, TimePoint now);
  /// Cancels a job, which may not have been added yet, if \p caller has access
  /// to it. Repeated calls for a job have no effect.
  void OnCancel(const std::string& job_id,
                const CallerIdentity& caller,
                TimePoint now);
  /// Notes that the job stream has a record of this cancellation, which is to
  /// be deleted with the job.
  void NoteCancellation(const std::string& job_id,
                        const CallerIdentity& caller);

  /// Restores the final state of an ended job. Call it before OnJob() for the
  /// same job, which then has no effect.
  void RestoreEndedJob(const std::string& job_id,
                       JobState state,
                       const std::string& tenant,
                       TimePoint now);

  /// Restores the stored progress of a job. Call it after OnJob() for the job
  /// and before Activate(). Fails with kNotFound for an unknown job
  /// and with kMalformed for progress that does not fit the job.
  /// \p parts is the number of parts in which it is stored; see SplitValue().
  Result<void> RestoreJobProgress(const std::string& job_id,
                                  const JobProgress& progress,
                                  std::size_t parts = 0);

  /// Restores the stored interference model. Call it before Activate().
  Result<void> RestoreInterferenceModel(const std::string& bytes);

  /// Begins scheduling, once all stored state has been restored.
  void Activate(TimePoint now);

  /// Excludes a failure domain from new placements, or includes it again.
  void SetDomainExcluded(const std::string& failure_domain, bool excluded);
  /// Adds a worker of the platform's list, or updates its entry.
  void SetWorker(const WorkerEntry& entry, TimePoint now);
  /// Handles the removal of a worker from the platform's list. Tasks placed on
  /// it stay placed until their end is known.
  void RemoveWorker(const std::string& id);

  /// Sets the policies of tenants. Call it before Activate() and whenever the
  /// configuration changes.
  void SetTenants(const std::vector<TenantPolicy>& tenants);
  const TenantAccounts& Tenants() const { return m_tenants; }

  /// Sets the times as of which the views of the operators' decisions and of
  /// the platform's list of workers are current.
  void SetViewTimes(TimePoint operators_current_at,
                    TimePoint workers_current_at);
  /// Sets the time of day, by which occurrences become due: \p unix_time was
  /// read at \p now.
  void SetUnixTime(milliseconds unix_time, TimePoint now);
  /// Sets the ownership lease deadline. After it no heartbeat and no new start
  /// is sent to workers.
  void SetOwnershipLeaseDeadline(TimePoint until);

  /// Handles the outcome of the StoreAction with the number \p batch.
  void OnStored(std::uint64_t batch,
                const Result<Offset>& result,
                TimePoint now);
  void OnStartAnswer(const StartAction& action,
                     const Result<StartReply>& answer,
                     TimePoint now);
  void OnStopAnswer(const StopAction& action,
                    const Result<void>& answer,
                    TimePoint now);
  void OnHeartbeatAnswer(const HeartbeatAction& action,
                         const Result<HeartbeatReport>& answer,
                         TimePoint now);

  void OnAdvice(const AdviseAction& action,
                const Result<TicketsByWorker>& answer,
                TimePoint now);

  /// Performs all work that is due. Call it after every event and at
  /// NextDeadline().
  void Tick(TimePoint now);
  TimePoint NextDeadline() const;
  std::vector<Action> TakeActions();

  /// Returns the jobs whose final state was stored since the last call.
  std::vector<JobEnd> TakeJobEnds();

  /// Returns the stage times recorded since the last call.
  StageTimes TakeStageTimes();
  const CellWork& Work() const { return m_work; }
  const ReservationState& Reservations() const {
    return m_look_ahead.m_reservations;
  }

  /// Returns the load of the queues, and ends a sample of their drain rates.
  LoadSummary SummarizeLoad(TimePoint now);

  /// State of a job, or nullopt for an unknown job. A job that has completed or
  /// failed is reported as running until its final state is stored.
  std::optional<JobState> StateOf(const std::string& job_id) const;
  /// Tenant of a job, empty if it has none or is unknown.
  const std::string& TenantOf(const std::string& job_id) const;
  /// Number of unfinished jobs of a queue of which no task has been started.
  std::size_t CountPendingJobs(const std::string& queue) const;
  /// True once the store or a worker has refused this owner's epoch because it
  /// has seen a higher one, or this owner can't find out what is stored.
  bool IsFenced() const { return m_is_fenced; }

  const std::vector<Worker>& Workers() const { return m_workers; }
  const Job* FindJob(const std::string& job_id) const;

 private:
  static constexpr std::size_t kMaxBatchJobs = 300;
  /// Delay before a pass is repeated that could not place all tasks, when no
  /// event triggers one earlier.
  static constexpr milliseconds kPlacementRetryDelay{250};

  /// What a batch stores of a job.
  struct StoredJob {
    std::string m_id;
    JobState m_state = JobState::kQueued;
    std::size_t m_parts = 0;      ///< Parts of the progress.
    std::uint64_t m_changes = 0;  ///< Those that the progress contains.
  };

  /// A batch of progress records that the store has not acknowledged yet.
  struct PendingBatch {
    std::uint64_t m_number = 0;
    std::vector<KeyedRecord> m_records;
    std::vector<TaskRef> m_placements;  ///< To be started once it is stored.
    std::vector<StoredJob> m_jobs;
    std::vector<std::string> m_dropped_jobs;
    std::size_t m_bytes = 0;  ///< Of the values of all records.
    /// Contains jobs that are set aside, and nothing else.
    bool m_is_probe = false;
    bool m_is_one_job = false;  ///< Contains one job and nothing else.
    /// An earlier sending has not been answered, and may have taken effect.
    bool m_may_be_stored = false;
    /// End of the ownership lease at the first refusal of such a batch.
    std::optional<TimePoint> m_lease_when_refused;
  };

  // cell.cpp
  Job* FindMutableJob(const std::string& job_id);
  int WorkerIndex(const std::string& id);
  WorkerTarget TargetOf(int worker_index) const;
  /// The worker, whose entry in m_agenda is updated in this round: call it for
  /// each change of a worker's state.
  Worker& TouchWorker(int worker_index);
  /// Same for a change that may let the worker take more or other tasks.
  Worker& TouchImprovedWorker(int worker_index);
  void UpdateTouchedWorkers(TimePoint now);
  void MarkDirty(Job* job);
  void UpdateJobState(Job* job, TimePoint now);
  void EndJob(Job* job, JobState state, TimePoint now);
  /// Ends the job of \p ref as failed because of that task, and logs why.
  void FailJob(const TaskRef& ref, JobFailure failure, TimePoint now);

  /// Logs the steps whose tasks wait until a larger worker comes.
  void ReportStepsThatFitNoWorker(const Submission& job) const;

  // cell_report.cpp
  void ReportLoad(TimePoint now);

  // cell_admission.cpp
  /// Adds a successful run to the estimates of run times and drain rates.
  void RecordRunTime(const TaskRef& ref, TimePoint now);

  // cell_tasks.cpp
  /// Reserves the task's resources on the worker.
  void AssignWorker(const TaskRef& ref, int worker_index);
  /// Frees the task's resources on its worker.
  void UnassignWorker(const TaskRef& ref);
  /// Frees the task's resources and makes it pending again, without counting a
  /// run as ended.
  void ReturnToPending(const TaskRef& ref, const char* reason, TimePoint now);
  void EndRun(const TaskRef& ref,
              EndCause cause,
              const std::string& checkpoint,
              TimePoint now);
  void CountFailure(const TaskRef& ref, TimePoint now);
  /// Handles the first confirmation that the task's current run has started.
  void ConfirmStart(const TaskRef& ref, TimePoint now);
  void CompleteGang(const TaskRef& ref);
  void SendStart(const TaskRef& ref, TimePoint now, std::uint32_t resends = 0);
  void SendStop(const TaskRef& ref, const char* reason, TimePoint now);
  /// True while the ownership lease is valid and the views are recent enough to
  /// place and start tasks.
  bool MayPlaceTasks(TimePoint now) const;
  /// Last time at which MayPlaceTasks() is true with the current views.
  TimePoint PlacementDeadline() const;
  bool MayStart(const TaskRef& ref, TimePoint now) const;
  void HandleRefusal(const StartAction& action,
                     Job* job,
                     StartAnswer answer,
                     TimePoint now);

  // cell_workers.cpp
  void ApplyReport(int worker_index,
                   const HeartbeatAction& action,
                   const HeartbeatReport& report,
                   TimePoint now);
  std::vector<TaskRef> FindTaskRefs(const std::vector<RunningRun>& runs);
  void ApplyEndedRuns(int worker_index,
                      const HeartbeatReport& report,
                      TimePoint now);
  /// Fills \p listed with the reported runs, by number, that are placed on the
  /// worker, and stops all others.
  void ApplyRunningRuns(int worker_index,
                        const HeartbeatReport& report,
                        const std::vector<TaskRef>& refs,
                        std::map<TaskRef, std::uint32_t>* listed,
                        TimePoint now);
  /// Handles the tasks placed on the worker that its report does not list.
  /// \p sent is the time of the heartbeat request.
  void ResolveUnlistedRuns(int worker_index,
                           TimePoint sent,
                           const std::map<TaskRef, std::uint32_t>& listed,
                           TimePoint now);
  /// Returns a TaskRef whose m_job is null when the job or the task is unknown.
  TaskRef FindTaskRef(const TaskName& name);
  void StopUnexpectedRun(int worker_index, const RunningRun& run);
  void SendHeartbeat(int worker_index, TimePoint now);
  void SendHeartbeats(TimePoint now);
  void EndRunsWithExpiredLeases(TimePoint now);
  TaskMix TaskMixOf(const Worker& worker) const;
  void ExtendLeaseDeadline(Worker* worker, WorkerTime until);

  // cell_restarts.cpp
  /// Resets the state that is specific to an incarnation of the worker, and
  /// takes back what the earlier one has acknowledged.
  void BeginIncarnation(int worker_index, std::int64_t incarnation);
  /// Handles that the start of the action has no answer.
  void KeepUnansweredStart(const StartAction& action);
  /// Allows for the lease that a worker has granted by a start that was meant
  /// for its earlier incarnation.
  void CheckStartedIncarnation(const StartAction& action,
                               const StartReply& reply,
                               TimePoint now);
  /// Latest time at which an incarnation can have started by its own time of
  /// day.
  TimePoint LatestStartOf(std::int64_t incarnation_unix_ms,
                          TimePoint now) const;
  /// Allows for the leases that earlier owners have granted to a worker that
  /// this one has not reached yet, if it started not long before.
  void ExpectInheritedLease(Worker* worker, TimePoint now);
  /// True if a worker refused an order because it had received one with a
  /// higher fence of this owner.
  bool IsOverridden(int worker_index, std::uint64_t order_epoch) const;
  /// Time by which the run has ended if its worker doesn't answer any more: a
  /// start that wasn't answered may reach a later incarnation.
  TimePoint LatestEndOf(const Worker& worker, const Task& task) const;

  // cell_crashes.cpp
  /// Ends the runs of the worker's earlier incarnations, which ended with them.
  /// \p alive_at is the time of the last report of the earlier incarnation,
  /// \p sent that of the heartbeat request that the new one has answered.
  void EndRunsLostInRestart(int worker_index,
                            const std::map<TaskRef, std::uint32_t>& listed,
                            TimePoint alive_at,
                            TimePoint sent,
                            TimePoint now);
  /// Counts a crash of the worker against \p tasks and the runs that lapsed on
  /// it before. Returns the tasks to be given up once their runs have ended.
  std::vector<TaskRef> CountCrash(int worker_index,
                                  const std::vector<TaskRef>& tasks,
                                  TimePoint alive_at,
                                  CrashSign sign,
                                  TimePoint now);
  /// What the worker did, if it becomes unreachable now.
  LossCircumstance CircumstanceOf(const Worker& worker, TimePoint now) const;
  /// Records that the worker no longer answers: the heartbeat ended with
  /// \p error.
  void MarkLost(Worker* worker, const Error& error, TimePoint now);
  /// True if the task's next run is delayed because workers are being lost for
  /// other reasons, so that the run would prove nothing.
  bool AwaitsCalm(const Task& task, TimePoint now) const;
  /// Counts the workers that were lost at about the time of the crash.
  void CountLosses(const Worker& crashed, WorkerCrash* crash) const;
  /// Fails the jobs of tasks that crash their workers.
  void GiveUpTasks(const std::vector<TaskRef>& tasks, TimePoint now);
  /// Ends the runs of a worker at whose address another one answers.
  void EndRunsOfReplacedWorker(int worker_index, TimePoint now);
  /// Ends the runs of a worker that was not heard of for longer than its lease.
  /// That it crashed is not known: it may be cut off, and its entry may have
  /// expired during an outage of the store.
  void EndRunsOfSilentWorker(int worker_index, TimePoint now);
  /// Ends the runs of \p tasks, all placed on the worker.
  void EndRuns(int worker_index,
               const std::vector<TaskRef>& tasks,
               EndCause cause,
               TimePoint now);

  // cell_pacing.cpp
  void RecordTailLatencies(int worker_index,
                           const HeartbeatReport& report,
                           const std::vector<TaskRef>& refs,
                           TimePoint now);
  /// The load cycle of a serving job; null when it is not forecast.
  LoadCycle* LoadCycleOf(const Job& job);
  void ThrottleBestEffortTasks(int worker_index,
                               const HeartbeatReport& report,
                               const std::vector<TaskRef>& refs,
                               TimePoint now);
  /// Estimates the throttle of a run that an earlier owner started. Assuming
  /// full speed, the next order could speed the task up while tail latencies
  /// require the opposite.
  void AdoptThrottle(const TaskRef& ref, const RunningRun& run, TimePoint now);
  void ApplyThrottle(const TaskRef& ref, int percent, TimePoint now);

  // cell_advice.cpp
  /// Advice for a step, or null when the job's queue requires no tickets.
  StepAdvice* AdviceOf(Job* job, std::uint32_t occurrence, std::uint32_t step);
  void AskAdviser(const Job& job,
                  std::uint32_t occurrence,
                  std::uint32_t step,
                  const PlacementQuery& query,
                  StepAdvice* advice);

  // cell_store.cpp
  void Flush(TimePoint now);
  /// Records of the job's progress, and removals of stored parts that they
  /// don't replace.
  std::vector<KeyedRecord> ProgressRecords(const Job& job) const;
  /// Adds the job's progress to the batch unless it would become too large.
  bool AddJob(Job* job, PendingBatch* batch);
  /// Moves jobs with progress to be stored into the batch, as many as fit.
  void AddDirtyJobs(PendingBatch* batch);
  void AddModel(PendingBatch* batch, TimePoint now);
  void AddDroppedJobs(PendingBatch* batch);
  void ApplyStoredJob(const StoredJob& stored, TimePoint now);
  /// Acknowledges the ended runs of the worker up to the first whose effects
  /// are not stored.
  void AckStoredEnds(int worker_index, TimePoint now);
  /// Releases the stored placements of gangs of which some member may not be
  /// started: the others would wait for it in vain.
  void ReleaseGangsNotToStart(const PendingBatch& batch, TimePoint now);
  void StartStoredPlacements(const PendingBatch& batch, TimePoint now);
  void TombstoneEndedJobs(TimePoint now);
  bool MayTombstone(const Job& job, TimePoint now) const;
  void DropExpiredJobs(TimePoint now);

  // cell_refusals.cpp
  /// Handles the store's refusal of the batch in flight.
  void OnRefusedBatch(const Error& error, TimePoint now);
  /// Sends the batch in flight, which may be stored, again after a refusal, or
  /// gives the cell up if that lasts while the store takes renewals.
  void RepeatUncertainBatch(TimePoint now);
  /// Handles the refusal of a batch that is not stored: stores its jobs in
  /// smaller batches. A job that is refused alone is set aside.
  void SplitRefusedBatch(const Error& error, TimePoint now);
  /// Keeps the job out of other jobs' batches, and places none of its tasks,
  /// until the store takes its record, which is sent again from time to time.
  void SetAside(Job* job, std::size_t bytes, const Error& error, TimePoint now);
  static bool IsSetAside(const Job& job);
  /// Moves jobs that are set aside and due into a batch of their own.
  void AddProbedJobs(PendingBatch* batch, TimePoint now);
  /// When the next batch of such jobs is due; max() if there are none.
  TimePoint NextProbe() const;
  /// Handles that the store has taken the record of a job that it refused
  /// before.
  void EndRefusals(Job* job, TimePoint now);
  /// Makes all jobs that are set aside due at once, after the store has taken
  /// the record of one.
  void ProbeAllJobs(TimePoint now);

  // cell_schedule.cpp and cell_placement.cpp
  void Schedule(TimePoint now);
  void ScheduleJob(Job* job, TimePoint now);
  void ScheduleStep(Job* job,
                    std::uint32_t occurrence,
                    std::uint32_t step,
                    TimePoint now);
  /// Placed tasks of a step, updated while more of them are placed.
  struct StepPlacement {
    /// Number of the step's tasks on each worker, by worker index; empty for
    /// steps without a limit per worker.
    std::vector<std::uint32_t> m_tasks_on_worker;
    std::uint32_t m_highest_run = 0;  ///< Highest run number of its tasks.
  };
  /// Places suspects, each on a worker without other unproven tasks, which gets
  /// no other task until the suspect is proven, as far as that doesn't keep too
  /// many workers free. Returns the placed ones.
  std::vector<std::size_t> PlaceSuspects(
      Job* job,
      const std::vector<std::size_t>& suspects,
      const PlacementQuery& query,
      StepPlacement* placement);
  /// Places tasks under which workers have crashed repeatedly, each on a worker
  /// without another such task that is unproven. Returns the placed ones.
  std::vector<std::size_t> PlaceApart(Job* job,
                                      const std::vector<std::size_t>& suspects,
                                      const PlacementQuery& query,
                                      StepPlacement* placement);
  /// Keeps a worker free of new tasks until its tasks are proven, so that a
  /// suspect can be placed there.
  void ReserveForSuspect(Job* job,
                         std::size_t index,
                         const std::vector<int>& pool,
                         const PlacementQuery& query);
  /// Places tasks that only one worker may take; see ConstrainNextStart().
  /// Returns the placed ones.
  std::vector<std::size_t> PlaceConstrained(
      Job* job,
      const std::vector<std::size_t>& constrained,
      PlacementQuery* query,
      StepPlacement* placement);
  static void CountTaskOnWorker(int worker, StepPlacement* placement);
  std::vector<std::size_t> PlaceableTasks(Job* job,
                                          std::size_t first,
                                          const StepPlan& plan,
                                          TimePoint now,
                                          StepPlacement* placement);
  struct StepPosition {
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
  };
  /// Places the tasks of \p pending and marks their placements to be stored.
  /// No worker could take a task of the step at the change number
  /// \p unschedulable_at; 0: not known.
  void PlaceStep(Job* job,
                 const StepPosition& at,
                 std::vector<std::size_t> pending,
                 std::uint64_t unschedulable_at,
                 StepPlacement* placement,
                 TimePoint now);
  std::vector<std::size_t> PlaceTasks(Job* job,
                                      const std::vector<std::size_t>& pending,
                                      const std::vector<int>& pool,
                                      PlacementQuery query,
                                      StepPlacement* placement);
  void RecordPlacements(Job* job,
                        const StepPlan& plan,
                        const std::vector<std::size_t>& placed,
                        bool complete,
                        std::uint32_t highest_run,
                        TimePoint now);
  /// Forecast of the effect of an image's best-effort tasks on tail latencies;
  /// cached for the current pass.
  const TailForecast& ForecastOf(const std::string& image);
  /// Removes from \p pending the tasks that have to leave the head-room for
  /// short jobs free.
  void HoldBackGrowth(const Job& job,
                      const StepPlan& plan,
                      TimePoint now,
                      std::vector<std::size_t>* pending);

  // cell_look_ahead.cpp
  void PlanAhead(TimePoint now);
  /// True for steps that may get gaps and reservations.
  bool IsLarge(const StepPlan& plan) const;
  /// Workers on which the step has reservations.
  std::vector<int> ReservedWorkers(const StepKey& step) const;
  /// ReservedWorkers() and those of the pool that have changed since \p change.
  std::vector<int> CandidatesSince(const std::string& service,
                                   std::uint64_t change,
                                   const StepKey& step);
  /// Adds to \p query what is held for other tasks.
  void LookAheadFor(const Job& job,
                    const StepKey& step,
                    PlacementQuery* query) const;
  /// True if the step has to be tried although no worker has changed: it has
  /// reservations, or is not yet known to wait.
  bool MustBeTried(const Job& job,
                   const StepKey& step,
                   const StepPlan& plan) const;
  void MarkStillWaiting(const StepKey& step, TimePoint now);
  /// Records which of the tasks \p pending of a step, of which \p placed are
  /// placed, still wait.
  void UpdateWaiting(const Job& job,
                     const PlacementQuery& query,
                     const std::vector<std::size_t>& pending,
                     const std::vector<std::size_t>& placed);
  void ReportReservations(TimePoint now) const;

  // cell_tenants.cpp
  /// The account of the job's tenant, or null for a job without a tenant.
  TenantAccount* AccountOf(const Job& job);
  void AddTenantUse(const Job& job, const StepPlan& step);
  void RemoveTenantUse(const Job& job, const StepPlan& step);
  /// True if a task that has been placed may be started by the present quota.
  bool IsWithinQuota(const TaskRef& ref) const;
  /// Removes from \p pending the tasks that exceed their tenant's quota.
  void HoldBackOverQuota(Job* job,
                         const StepPlan& plan,
                         TimePoint now,
                         std::vector<std::size_t>* pending);
  /// Logs that tasks of the job wait, at most once a second and tenant.
  void ReportQuotaWait(const Job& job, TenantAccount* account, TimePoint now);
  /// Replaces the worker's runs that count against tenants' quotas although
  /// they are not placed.
  void SetUnexpectedRuns(Worker* worker, std::vector<TenantRuns> runs);
  /// Forgets such runs on workers whose leases have expired.
  void DropLapsedUnexpectedRuns(TimePoint now);
  /// For each account, whether its tenant has more than its share; empty
  /// without tenants.
  std::vector<bool> TenantsOverShare();

  /// CPU that first runs of the queue's long-running tasks may still take in
  /// the current pass.
  std::int64_t& GrowthBudgetOf(const QueuePolicy& queue, TimePoint now);
  /// Open jobs with pending tasks, most urgent first. Sets the properties of
  /// all open jobs that the current pass uses.
  std::vector<Job*> PendingJobsByUrgency(TimePoint now);
  /// Number of tasks of the job's queue that the start window still allows.
  std::size_t AllowedStarts(const Job& job, TimePoint now);
  /// Indexes of the usable workers of a pool; cached for the current pass.
  const std::vector<int>& UsablePool(const std::string& service);
  /// Workers of the pool that have changed since the change number \p change.
  std::vector<int> ChangedSince(const std::string& service,
                                std::uint64_t change);
  /// Marks the workers as changed that have changed by the passing of time:
  /// their quarantine or backoff has ended, or their expected tails.
  void ApplyTimedChanges(TimePoint now);
  std::int64_t UnixMillis(TimePoint now) const;
  /// Updates the outdated m_expected_tails of workers.
  void UpdateExpectedTails(TimePoint now);
  /// Ends the task's current stage, which began at m_stage_since, and begins
  /// the next one.
  void EndStage(const TaskRef& ref, Stage stage, TimePoint now);
  /// True when the occurrence may start. Otherwise schedules a pass for the
  /// time at which it is due.
  bool IsDue(const Job& job, std::uint32_t occurrence, TimePoint now);

  CellSettings m_settings;
  bool m_active = false;
  bool m_is_fenced = false;
  TimePoint m_operators_current_at;
  TimePoint m_workers_current_at;
  TimePoint m_ownership_lease_deadline = TimePoint::max();
  /// True from the first round after that deadline until it is extended:
  /// heartbeats wait.
  bool m_ownership_lease_expired = false;
  milliseconds m_unix_offset{0};  ///< Unix time minus the local clock.

  std::map<std::string, std::unique_ptr<Job>> m_jobs;
  /// Final state of a job that is no longer in m_jobs.
  struct EndedJob {
    JobState m_state = JobState::kCompleted;
    TimePoint m_since;  ///< Start of its retention.
    std::string m_tenant;
  };
  std::map<std::string, EndedJob> m_ended_jobs;
  /// Tenants of the cancellations that arrived before the job itself, by its
  /// id.
  std::map<std::string, std::set<std::optional<std::string>>>
      m_early_cancellations;
  /// Tenants whose cancellations are in the job stream, by the job's id.
  std::map<std::string, std::set<std::string>> m_cancellation_records;
  std::vector<Job*> m_open_jobs;             ///< Not terminal.
  std::set<std::string> m_excluded_domains;  ///< Excluded from new placements.
  InterferenceModel m_interference;
  RunTimeEstimates m_run_times;
  std::map<std::uint64_t, LoadCycle> m_load_cycles;  ///< By job number.
  DrainMeters m_drain_meters;
  LookAhead m_look_ahead;
  ShortJobDemand m_short_job_demand;
  /// By queue, in thousandths of a processor; valid in the current pass.
  std::map<std::string, std::int64_t> m_growth_budgets;
  /// Head-room and tasks held back for it in the last pass, for the log.
  std::int64_t m_headroom_cpu_milli = 0;
  std::size_t m_held_back_tasks = 0;
  UnexplainedCrashes m_unexplained_crashes;
  /// Last loss of a worker on which no suspect had just been started.
  TimePoint m_last_unexplained_loss;
  TenantAccounts m_tenants;
  TimePoint m_next_lapse_check;  ///< See DropLapsedUnexpectedRuns().
  StartWindow m_start_window;
  bool m_window_was_full = false;  ///< In the last pass, for waiting tasks.
  std::size_t m_unanswered_starts = 0;  ///< Start actions without an answer.
  /// Placements not stored or start actions not answered, and the priority of
  /// the most urgent queue with open jobs; both valid in the current pass.
  std::size_t m_starts_in_progress = 0;
  std::int64_t m_highest_priority = 0;
  UnschedulableStepCache m_unschedulable_steps;
  /// By service; valid in the current pass.
  std::map<std::string, std::vector<int>> m_usable_pools;
  /// By best-effort image; valid in the current pass.
  std::map<std::string, TailForecast> m_forecasts;
  /// Workers are never removed, so that their indexes stay valid.
  std::vector<Worker> m_workers;
  std::map<std::string, int> m_worker_index;  ///< By worker id.
  std::vector<std::string> m_worker_names;    ///< Worker ids, by index.
  WorkerAgenda m_agenda;
  std::vector<int> m_touched_workers;  ///< To be updated in m_agenda.
  /// Workers with m_expected_tails_outdated.
  std::vector<int> m_outdated_tails;
  std::uint64_t m_last_worker_change = 0;

  std::size_t m_advice_requests_in_flight = 0;
  std::uint64_t m_last_job_number = 0;
  bool m_schedule_needed = false;
  TimePoint m_last_schedule;
  TimePoint m_next_schedule = TimePoint::max();
  std::set<std::string> m_dirty_jobs;  ///< Ids with progress to be stored.
  /// Jobs that are set aside, by the time at which they are due.
  std::set<std::pair<TimePoint, std::string>> m_set_aside_jobs;
  TimePoint m_next_probe;  ///< No earlier batch of such jobs.
  bool m_last_batch_was_probe = false;
  /// Most jobs in the next batch; lowered while the store refuses batches.
  std::size_t m_batch_job_limit = kMaxBatchJobs;
  std::size_t m_probe_job_limit = 1;
  std::optional<PendingBatch> m_batch_in_flight;
  std::uint64_t m_last_batch_number = 0;
  TimePoint m_next_flush;
  TimePoint m_next_tombstone_sweep;
  TimePoint m_next_model_store;
  TimePoint m_next_load_report;
  /// Ids whose stored progress the next batch deletes.
  std::set<std::string> m_dropped_jobs;
  /// When the batch in flight is sent again; max(): its answer is awaited.
  TimePoint m_batch_retry_at = TimePoint::max();
  std::vector<Action> m_actions;
  std::vector<JobEnd> m_job_ends;  ///< For the next TakeJobEnds().
  StageTimes m_stage_times;        ///< For the next TakeStageTimes().
  mutable CellWork m_work;
};

}  // namespace hyssopspar::jobs
