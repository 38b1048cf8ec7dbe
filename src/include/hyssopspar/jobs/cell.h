/// \file
/// Decisions of a cell's owner: which task runs where, and what is stored.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/jobs/action.h"
#include "hyssopspar/jobs/cell_settings.h"
#include "hyssopspar/jobs/interference.h"
#include "hyssopspar/jobs/job.h"
#include "hyssopspar/jobs/placement.h"
#include "hyssopspar/jobs/refusals.h"
#include "hyssopspar/jobs/tail_forecast.h"
#include "hyssopspar/jobs/urgency.h"
#include "hyssopspar/jobs/worker.h"

namespace hyssopspar::jobs {

/// A stored end of a job, for metrics.
struct JobEnd {
  std::string m_queue;
  JobState m_state = JobState::kCompleted;
  Duration m_age{0};  ///< Since the job was accepted.
};

/// State of one cell in one epoch of ownership. Free of input and output: it
/// takes the time and what arrived, and yields actions. A placement is stored
/// before the worker gets the start, and an end before the worker may forget
/// it, so that a successor knows where every task may be.
class Cell {
 public:
  Cell(const CellSettings& settings, TimePoint now);

  /// A job, or its cancellation, out of the job stream. Repeats do nothing.
  void OnJob(const Submission& submission, TimePoint now);
  void OnCancel(const std::string& job_id, TimePoint now);

  /// A job that ended and was retired, before its record in the job stream is
  /// passed in.
  void OnEnded(const std::string& job_id, JobState state, TimePoint now);

  /// Stored progress, before Activate and after the jobs.
  Result<void> OnProgress(const std::string& job_id,
                          const JobProgress& progress);

  /// The stored interference model, before Activate.
  Result<void> OnModel(const std::string& bytes);

  /// Starts to act, once everything stored has been entered.
  void Activate(TimePoint now);

  void SetDomainOut(const std::string& failure_domain, bool out);
  void SetWorker(const WorkerEntry& entry, TimePoint now);
  void RemoveWorker(const std::string& id);

  /// When the views of operators and of workers were last known to be current.
  void SetViewTimes(TimePoint operators, TimePoint workers);
  /// Time of day, for occurrences: \p unix_time was read at \p now.
  void SetUnixTime(milliseconds unix_time, TimePoint now);
  /// Nothing is sent to workers after \p until.
  void SetAuthority(TimePoint until);

  void OnStored(std::uint64_t batch,
                const Result<Offset>& result,
                TimePoint now);
  void OnStartAnswer(const StartAction& action,
                     const Result<StartAnswer>& answer,
                     TimePoint now);
  void OnStopAnswer(const StopAction& action,
                    const Result<void>& answer,
                    TimePoint now);
  void OnHoldAnswer(const HoldAction& action,
                    const Result<HoldReport>& answer,
                    TimePoint now);

  void OnAdvice(const AdviseAction& action,
                const Result<AdvisedWorkers>& answer,
                TimePoint now);

  /// Does what is due. Call it after every event and at NextDeadline().
  void Tick(TimePoint now);
  TimePoint NextDeadline() const;
  std::vector<Action> TakeActions();

  /// Jobs whose end has been stored since the last call.
  std::vector<JobEnd> TakeEnds();

  /// A job's state as the store has it, or nothing for an unknown job.
  std::optional<JobState> StateOf(const std::string& job_id) const;
  /// Jobs of a queue of which no task has been started.
  std::size_t PendingOf(const std::string& queue) const;
  /// True once a writer or a worker has shown that a higher epoch exists.
  bool IsFenced() const { return m_is_fenced; }

  const std::vector<Worker>& Workers() const { return m_workers; }
  const Job* FindJob(const std::string& job_id) const;

 private:
  struct PendingBatch {
    std::uint64_t m_number = 0;
    std::vector<KeyedRecord> m_records;
    std::vector<TaskRef> m_placements;
    std::map<int, std::uint64_t> m_ends;  ///< Worker to its highest end.
    std::vector<std::pair<std::string, JobState>> m_states;
  };

  // cell.cpp
  Job* Find(const std::string& job_id);
  int WorkerIndex(const std::string& id);
  WorkerTarget TargetOf(int worker) const;
  void MarkDirty(Job* job);
  void UpdateJobState(Job* job, TimePoint now);
  void EndJob(Job* job, JobState state, TimePoint now);

  // cell_report.cpp
  void ReportLoad(TimePoint now);

  // cell_tasks.cpp
  void Occupy(const TaskRef& ref, int worker);
  void Vacate(const TaskRef& ref);
  void Release(const TaskRef& ref, const char* reason, TimePoint now);
  void EndRun(const TaskRef& ref,
              EndCause cause,
              const std::string& checkpoint,
              TimePoint now);
  void CountFailure(const TaskRef& ref, TimePoint now);
  void EndGang(const TaskRef& ref);
  void SendStart(const TaskRef& ref, TimePoint now, std::uint32_t resends = 0);
  void SendStop(const TaskRef& ref, const char* reason, TimePoint now);
  /// True when this owner may start anything, on views that are young enough.
  bool MayAct(TimePoint now) const;
  bool MayStart(const Job& job, const Task& task, TimePoint now) const;
  void HandleRefusal(const StartAction& action,
                     Job* job,
                     StartAnswer answer,
                     TimePoint now);

  // cell_workers.cpp
  void BeginLife(int worker, std::int64_t born);
  void EndEarlierRuns(int worker,
                      const std::map<TaskRef, std::uint32_t>& listed,
                      TimePoint now);
  void EnterReport(int worker,
                   const HoldAction& action,
                   const HoldReport& report,
                   TimePoint now);
  std::vector<TaskRef> RefsOf(const std::vector<RunningRow>& rows);
  void EnterEnds(int worker, const HoldReport& report, TimePoint now);
  void EnterRunning(int worker,
                    const HoldReport& report,
                    const std::vector<TaskRef>& refs,
                    std::map<TaskRef, std::uint32_t>* listed,
                    TimePoint now);
  void SettleUnlisted(int worker,
                      TimePoint sent,
                      const std::map<TaskRef, std::uint32_t>& listed,
                      TimePoint now);
  TaskRef RefOf(const TaskName& name);
  void StopForeignRun(int worker, const RunningRow& row);
  void SendHold(int worker, TimePoint now);
  void SendHolds(TimePoint now);
  void LapseRuns(TimePoint now);
  void EndAllRuns(int worker, const char* reason, TimePoint now);
  WorkerMix MixOf(const Worker& worker) const;
  void ExtendLeaseDeadline(Worker* worker, WorkerTime until);

  // cell_pacing.cpp
  void EnterTails(int worker,
                  const HoldReport& report,
                  const std::vector<TaskRef>& refs,
                  TimePoint now);
  void PaceFills(int worker,
                 const HoldReport& report,
                 const std::vector<TaskRef>& refs,
                 TimePoint now);
  void OrderPace(const TaskRef& ref, int percent, TimePoint now);

  // cell_advice.cpp
  /// Null when the queue's starts need no ticket.
  StepAdvice* AdviceOf(Job* job, std::uint32_t occurrence, std::uint32_t step);
  void AskAdviser(const Job& job,
                  std::uint32_t occurrence,
                  std::uint32_t step,
                  const PlacementQuery& query,
                  StepAdvice* advice);

  // cell_store.cpp
  void Flush(TimePoint now);
  void AckStoredEnds(TimePoint now);
  void SendPlacements(const PendingBatch& batch, TimePoint now);
  void RetireJobs(TimePoint now);
  bool MayRetire(const Job& job, TimePoint now) const;
  void ForgetJobs(TimePoint now);

  // cell_schedule.cpp
  void Schedule(TimePoint now);
  void ScheduleJob(Job* job, TimePoint now);
  void ScheduleStep(Job* job,
                    std::uint32_t occurrence,
                    std::uint32_t step,
                    TimePoint now);
  /// How a step's tasks lie while more are placed.
  struct StepPlacement {
    std::vector<std::uint32_t> m_on_worker;  ///< Tasks on each worker.
    std::uint32_t m_highest_run = 0;
  };
  std::vector<std::size_t> PlaceableTasks(const Job& job,
                                          std::size_t first,
                                          const StepPlan& plan,
                                          TimePoint now,
                                          StepPlacement* placement);
  std::vector<std::size_t> PlaceTasks(Job* job,
                                      const std::vector<std::size_t>& pending,
                                      PlacementQuery query,
                                      StepPlacement* placement);
  void RecordPlacements(Job* job,
                        const StepPlan& plan,
                        const std::vector<std::size_t>& placed,
                        bool whole,
                        std::uint32_t highest_run);
  /// Looked up once for each filling image and pass.
  const TailForecast& ForecastOf(const std::string& filling);
  void SortByUrgency(TimePoint now);
  std::int64_t UnixMillis(TimePoint now) const;
  void AddUnshownPressure(TimePoint now);
  bool IsDue(const Job& job, std::uint32_t occurrence, TimePoint now);

  CellSettings m_settings;
  bool m_active = false;
  bool m_is_fenced = false;
  TimePoint m_operators_verified;
  TimePoint m_workers_verified;
  TimePoint m_authority = TimePoint::max();
  milliseconds m_unix_offset{0};  ///< Unix time less our clock.

  std::map<std::string, std::unique_ptr<Job>> m_jobs;
  struct EndedJob {
    JobState m_state = JobState::kCompleted;
    TimePoint m_since;
  };
  std::map<std::string, EndedJob> m_ended;
  std::set<std::string> m_cancelled;  ///< Cancelled before the job was seen.
  std::vector<Job*> m_open;           ///< Not terminal, by urgency.
  std::set<std::string> m_domains_out;
  InterferenceModel m_interference;
  RunTimes m_run_times;
  Refusals m_refusals;                              ///< Of the present pass.
  std::map<std::string, TailForecast> m_forecasts;  ///< Of the present pass.
  std::vector<Worker> m_workers;
  std::map<std::string, int> m_worker_index;
  std::vector<std::string> m_worker_names;

  std::size_t m_asking = 0;  ///< Questions to the adviser under way.
  std::uint64_t m_job_numbers = 0;
  bool m_schedule_needed = false;
  TimePoint m_last_schedule;
  TimePoint m_next_schedule = TimePoint::max();
  std::set<std::string> m_dirty;
  std::optional<PendingBatch> m_batch;
  std::uint64_t m_batches = 0;
  TimePoint m_next_flush;
  TimePoint m_next_retire;
  TimePoint m_next_model;
  TimePoint m_next_report;
  std::set<std::string> m_forgotten;  ///< Progress that the store may drop.
  TimePoint m_batch_retry = TimePoint::max();
  std::vector<Action> m_actions;
  std::vector<JobEnd> m_ends;
};

}  // namespace hyssopspar::jobs
