// Events, ticks and the state of jobs; the other parts of Cell are in
// cell_*.cpp.

#include "hyssopspar/jobs/cell.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/jobs/crash_blame.h"
#include "hyssopspar/jobs/records.h"
#include "hyssopspar/jobs/worker_restart.h"
#include "hyssopspar/logging.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

Cell::Cell(const CellSettings& settings, TimePoint now)
    : m_settings(settings), m_next_flush(now) {}

Job* Cell::FindMutableJob(const std::string& job_id) {
  return const_cast<Job*>(FindJob(job_id));
}

const Job* Cell::FindJob(const std::string& job_id) const {
  const auto it = m_jobs.find(job_id);
  return it == m_jobs.end() ? nullptr : it->second.get();
}

int Cell::WorkerIndex(const std::string& id) {
  const auto it = m_worker_index.find(id);
  if (it != m_worker_index.end()) {
    return it->second;
  }
  const int index = static_cast<int>(m_workers.size());
  Worker worker;
  worker.m_entry.m_id = id;
  worker.m_lease_deadline = m_settings.m_inherited_lease_deadline;
  m_workers.push_back(std::move(worker));
  m_worker_names.push_back(id);
  m_worker_index[id] = index;
  m_outdated_tails.push_back(index);
  TouchWorker(index);
  return index;
}

Worker& Cell::TouchWorker(int worker_index) {
  m_touched_workers.push_back(worker_index);
  return m_workers[static_cast<std::size_t>(worker_index)];
}

Worker& Cell::TouchImprovedWorker(int worker_index) {
  Worker& worker = TouchWorker(worker_index);
  worker.m_last_change = ++m_last_worker_change;
  if (!worker.m_expected_tails_outdated) {
    worker.m_expected_tails_outdated = true;
    m_outdated_tails.push_back(worker_index);
  }
  return worker;
}

void Cell::UpdateTouchedWorkers(TimePoint now) {
  for (const int index : m_touched_workers) {
    UpdateAgenda(&m_agenda, index, m_workers[static_cast<std::size_t>(index)],
                 now);
  }
  m_touched_workers.clear();
}

WorkerTarget Cell::TargetOf(int worker_index) const {
  const WorkerEntry& entry =
      m_workers[static_cast<std::size_t>(worker_index)].m_entry;
  return {entry.m_id, entry.m_address};
}

void Cell::OnJob(const Submission& submission, TimePoint now) {
  if (m_jobs.count(submission.m_id) > 0 ||
      m_ended_jobs.count(submission.m_id) > 0) {
    return;
  }
  auto job = std::make_unique<Job>(MakeJob(submission));
  Job* const added = job.get();
  added->m_number = ++m_last_job_number;
  if (!submission.m_tenant.empty()) {
    added->m_account = AccountIndex(&m_tenants, submission.m_tenant);
  }
  RecordArrival(&m_short_job_demand, submission, m_workers);
  m_jobs[submission.m_id] = std::move(job);
  m_open_jobs.push_back(added);
  m_schedule_needed = true;
  if (m_active) {
    AddStageTime(&m_stage_times, submission.m_queue.m_name, Stage::kRead,
                 milliseconds(UnixMillis(now) - submission.m_accepted_unix_ms));
    CellLog()->info("job id={} queue={} tasks={} tenant={} revision={}",
                    submission.m_id, submission.m_queue.m_name,
                    CountTasks(submission.m_plan), submission.m_tenant,
                    submission.m_config_revision);
    ReportStepsThatFitNoWorker(submission);
  }
  const auto early = m_early_cancellations.find(submission.m_id);
  if (early != m_early_cancellations.end()) {
    for (const std::optional<std::string>& tenant : early->second) {
      OnCancel(submission.m_id, {tenant, 0}, now);
    }
    m_early_cancellations.erase(early);
  }
}

void Cell::ReportStepsThatFitNoWorker(const Submission& job) const {
  for (std::size_t i = 0; i < job.m_plan.m_steps.size(); ++i) {
    const StepPlan& step = job.m_plan.m_steps[i];
    if (!FitsEmptyWorker(m_workers, job.m_queue.m_service, step)) {
      CellLog()->warn(
          "step-fits-no-worker job={} step={} cpu={} memory={} "
          "accelerators={} label={}",
          job.m_id, i, step.m_size.m_cpu_milli, step.m_size.m_memory_mib,
          step.m_size.m_accelerators, step.m_label);
    }
  }
}

void Cell::RestoreEndedJob(const std::string& job_id,
                           JobState state,
                           const std::string& tenant,
                           TimePoint now) {
  m_ended_jobs[job_id] = {state, now, tenant};
}

Result<void> Cell::RestoreJobProgress(const std::string& job_id,
                                      const JobProgress& progress,
                                      std::size_t parts) {
  Job* const job = FindMutableJob(job_id);
  if (job == nullptr) {
    return Fail(ErrorCode::kNotFound, "progress of unknown job " + job_id);
  }
  job->m_stored_parts = parts;
  return RestoreProgress(
      job, progress,
      m_settings.m_inherited_orders_until +
          m_settings.m_order_limits.m_longest_delay,
      [this](const std::string& worker) { return WorkerIndex(worker); });
}

Result<void> Cell::RestoreInterferenceModel(const std::string& bytes) {
  const Result<InterferenceModel> model = DecodeModel(bytes);
  if (!model) {
    return model.error();
  }
  m_interference = model.value();
  return Ok();
}

void Cell::Activate(TimePoint now) {
  m_active = true;
  std::size_t placed = 0;
  for (const auto& entry : m_jobs) {
    Job* const job = entry.second.get();
    for (std::size_t i = job->m_tasks.First(); i < job->m_tasks.size(); ++i) {
      Task& task = job->m_tasks[i];
      if (task.m_crashes > 0) {
        IsolateSuspect(&task, now);
      }
      if (IsPlaced(task)) {
        AssignWorker({job, i}, task.m_worker);
        ++placed;
      }
    }
  }
  for (const auto& entry : m_jobs) {
    Job* const job = entry.second.get();
    if (job->m_cancelled && !IsTerminal(job->m_state)) {
      EndJob(job, JobState::kCancelled, now);
    } else if (IsTerminal(job->m_state)) {
      EndJob(job, job->m_state, now);
    } else {
      UpdateJobState(job, now);
    }
  }
  m_schedule_needed = true;
  CellLog()->info("cell-active epoch={} jobs={} placed={} workers={}",
                  m_settings.m_epoch, m_jobs.size(), placed, m_workers.size());
}

void Cell::SetDomainExcluded(const std::string& failure_domain, bool excluded) {
  const bool changed = excluded
                           ? m_excluded_domains.insert(failure_domain).second
                           : m_excluded_domains.erase(failure_domain) > 0;
  if (changed) {
    CellLog()->info("failure-domain name={} out={}", failure_domain, excluded);
    m_unschedulable_steps.Clear();
    m_schedule_needed = true;
  }
}

void Cell::SetWorker(const WorkerEntry& entry, TimePoint now) {
  const int index = WorkerIndex(entry.m_id);
  Worker& worker = TouchImprovedWorker(index);
  const bool status_changed =
      !worker.m_listed || worker.m_entry.m_leaving != entry.m_leaving ||
      worker.m_entry.m_incarnation_unix_ms != entry.m_incarnation_unix_ms;
  const bool address_changed = worker.m_entry.m_address != entry.m_address;
  worker.m_entry = entry;
  worker.m_listed = true;
  if (worker.m_incarnation_unix_ms == 0) {
    ExpectInheritedLease(&worker, now);
  }
  // Nothing is started on a new incarnation before it has answered a heartbeat.
  if (!HasCurrentEntry(worker) && worker.m_epoch_acknowledged) {
    RaiseFence(&worker, now);
  }
  if (status_changed) {
    CellLog()->info("worker-listed id={} address={} leaving={} incarnation={}",
                    entry.m_id, entry.m_address, entry.m_leaving,
                    entry.m_incarnation_unix_ms);
    m_schedule_needed = true;
  }
  if (address_changed || status_changed) {
    worker.m_next_heartbeat = now;
  }
}

void Cell::RemoveWorker(const std::string& id) {
  const auto it = m_worker_index.find(id);
  if (it == m_worker_index.end()) {
    return;
  }
  Worker& worker = TouchWorker(it->second);
  if (worker.m_listed) {
    worker.m_listed = false;
    worker.m_late_starts_until = TimePoint();
    CellLog()->info("worker-unlisted id={} tasks={}", id,
                    worker.m_tasks.size());
  }
}

void Cell::SetViewTimes(TimePoint operators_current_at,
                        TimePoint workers_current_at) {
  m_operators_current_at = operators_current_at;
  m_workers_current_at = workers_current_at;
}

void Cell::SetUnixTime(milliseconds unix_time, TimePoint now) {
  m_unix_offset = unix_time - std::chrono::duration_cast<milliseconds>(
                                  now.time_since_epoch());
}

void Cell::SetOwnershipLeaseDeadline(TimePoint until) {
  m_ownership_lease_deadline = until;
  m_ownership_lease_expired = false;
}

void Cell::MarkDirty(Job* job) {
  ++job->m_changes;
  if (!IsSetAside(*job)) {
    m_dirty_jobs.insert(job->m_submission.m_id);
  }
}

void Cell::UpdateJobState(Job* job, TimePoint now) {
  if (IsTerminal(job->m_state)) {
    return;
  }
  bool done = MadeOccurrences(*job) == OccurrenceCount(*job);
  for (std::size_t i = job->m_tasks.First(); i < job->m_tasks.size(); ++i) {
    const TaskState state = job->m_tasks[i].m_state;
    if (state == TaskState::kFailed) {
      FailJob({job, i}, JobFailure::kAttemptsUsed, now);
      return;
    }
    done = done && state == TaskState::kDone;
  }
  if (done) {
    EndJob(job, JobState::kCompleted, now);
  } else if (job->m_has_started_task) {
    job->m_state = JobState::kRunning;
  }
}

void Cell::EndJob(Job* job, JobState state, TimePoint now) {
  job->m_state = state;
  job->m_terminal_since = now;
  m_load_cycles.erase(job->m_number);
  m_open_jobs.erase(std::remove(m_open_jobs.begin(), m_open_jobs.end(), job),
                    m_open_jobs.end());
  CellLog()->info("job-ended id={} state={}", job->m_submission.m_id,
                  ToString(state));
  if (job->m_stored_state != state) {
    MarkDirty(job);
  }
  for (std::size_t i = job->m_tasks.First(); i < job->m_tasks.size(); ++i) {
    const Task& task = job->m_tasks[i];
    const TaskRef ref{job, i};
    if (task.m_state == TaskState::kRecording) {
      ReturnToPending(ref, "job-ended", now);
    } else if (task.m_state == TaskState::kStarting ||
               task.m_state == TaskState::kRunning) {
      SendStop(ref, "job-ended", now);
    }
  }
}

void Cell::FailJob(const TaskRef& ref, JobFailure failure, TimePoint now) {
  const Submission& job = ref.m_job->m_submission;
  const Task& task = ref.m_job->m_tasks[ref.m_index];
  CellLog()->warn(
      "job-failed id={} reason={} task={}.{} run={} failures={}/{} crashes={} "
      "evidence={:.1f} long_running={} epoch={} view_age_ms={}",
      job.m_id, FailureName(failure), job.m_id, ref.m_index, task.m_run,
      task.m_failures, job.m_queue.m_max_attempts, task.m_crashes,
      DecadesOfEvidence(task), StepOf(*ref.m_job, ref.m_index).m_long_running,
      m_settings.m_epoch,
      ToMillis(now - std::min(m_operators_current_at, m_workers_current_at)));
  EndJob(ref.m_job, JobState::kFailed, now);
}

std::optional<JobState> Cell::StateOf(const std::string& job_id) const {
  const Job* const job = FindJob(job_id);
  if (job == nullptr) {
    const auto ended = m_ended_jobs.find(job_id);
    return ended == m_ended_jobs.end()
               ? std::nullopt
               : std::optional<JobState>(ended->second.m_state);
  }
  const bool end_not_stored = IsTerminal(job->m_state) &&
                              job->m_state != JobState::kCancelled &&
                              job->m_stored_state != job->m_state;
  return end_not_stored ? JobState::kRunning : job->m_state;
}

std::size_t Cell::CountPendingJobs(const std::string& queue) const {
  return static_cast<std::size_t>(std::count_if(
      m_open_jobs.begin(), m_open_jobs.end(), [&](const Job* job) {
        return !job->m_has_started_task &&
               job->m_submission.m_queue.m_name == queue;
      }));
}

std::vector<JobEnd> Cell::TakeJobEnds() {
  return std::exchange(m_job_ends, {});
}

StageTimes Cell::TakeStageTimes() {
  return std::exchange(m_stage_times, {});
}

std::vector<Action> Cell::TakeActions() {
  return std::exchange(m_actions, {});
}

void Cell::Tick(TimePoint now) {
  if (!m_active || m_is_fenced) {
    return;
  }
  UpdateTouchedWorkers(now);
  EndRunsWithExpiredLeases(now);
  DropLapsedUnexpectedRuns(now);
  if (m_schedule_needed || now >= m_next_schedule) {
    Schedule(now);
  }
  Flush(now);
  UpdateTouchedWorkers(now);
  SendHeartbeats(now);
  UpdateTouchedWorkers(now);
  TombstoneEndedJobs(now);
  ReportLoad(now);
}

TimePoint Cell::NextDeadline() const {
  if (!m_active || m_is_fenced) {
    return TimePoint::max();
  }
  TimePoint next = m_next_schedule;
  if (m_batch_in_flight) {
    next = std::min(next, m_batch_retry_at);
  } else {
    const TimePoint batch_at = m_dirty_jobs.empty() ? NextProbe() : TimePoint();
    next = std::min(next, std::max(m_next_flush, batch_at));
  }
  if (!m_agenda.m_lease_expiries.empty()) {
    next = std::min(next, m_agenda.m_lease_expiries.begin()->first);
  }
  if (!m_ownership_lease_expired && !m_agenda.m_heartbeats.empty()) {
    next = std::min(next, m_agenda.m_heartbeats.begin()->first);
  }
  return next;
}

}  // namespace hyssopspar::jobs
