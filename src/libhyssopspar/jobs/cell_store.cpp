// Storing of progress records in batches, actions that wait for a stored batch,
// and the removal of ended jobs.

#include <algorithm>
#include <iterator>
#include <utility>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/records.h"
#include "hyssopspar/jobs/split_record.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Minimum time between stored versions of the interference model, which are
/// part of a batch.
constexpr milliseconds kModelStoreInterval{2000};
/// Delay before a batch that could not be stored is sent again.
constexpr milliseconds kBatchRetryDelay{100};

/// True while the batch is to start the task.
bool IsRecordedBy(std::uint64_t batch, const Task& task) {
  return task.m_state == TaskState::kRecording &&
         task.m_placement_batch == batch;
}

}  // namespace

void Cell::Flush(TimePoint now) {
  if (m_batch_in_flight) {
    if (now >= m_batch_retry_at) {
      m_batch_retry_at = TimePoint::max();
      m_actions.emplace_back(StoreAction{m_batch_in_flight->m_number,
                                         m_batch_in_flight->m_records});
    }
    return;
  }
  const bool probe_due = NextProbe() <= now;
  if ((m_dirty_jobs.empty() && !probe_due) || now < m_next_flush) {
    return;
  }
  PendingBatch batch;
  batch.m_number = ++m_last_batch_number;
  // Other jobs wait for one probe at most.
  batch.m_is_probe =
      probe_due && (m_dirty_jobs.empty() || !m_last_batch_was_probe);
  m_last_batch_was_probe = batch.m_is_probe;
  if (batch.m_is_probe) {
    AddProbedJobs(&batch, now);
  } else {
    AddDirtyJobs(&batch);
  }
  batch.m_is_one_job = batch.m_jobs.size() == 1;
  // While batches are split, what else they could contain waits: it may be
  // what the store refuses.
  if (!batch.m_is_probe && m_batch_job_limit == kMaxBatchJobs) {
    const std::size_t records = batch.m_records.size();
    AddModel(&batch, now);
    AddDroppedJobs(&batch);
    batch.m_is_one_job &= batch.m_records.size() == records;
  }
  m_actions.emplace_back(StoreAction{batch.m_number, batch.m_records});
  m_batch_in_flight = std::move(batch);
  m_batch_retry_at = TimePoint::max();
}

std::vector<KeyedRecord> Cell::ProgressRecords(const Job& job) const {
  JobProgress progress = MakeJobProgress(job, m_worker_names);
  std::string value = EncodeProgress(progress);
  if (value.size() > m_settings.m_store_limits.m_max_batch_bytes) {
    // Without checkpoints, the tasks begin anew after a change of the owner.
    progress.m_task_checkpoints.clear();
    value = EncodeProgress(progress);
  }
  const std::string& id = job.m_submission.m_id;
  std::vector<KeyedRecord> records = SplitValue(
      id, std::move(value), m_settings.m_store_limits.m_max_value_bytes);
  for (std::size_t i = records.size() - 1; i < job.m_stored_parts; ++i) {
    records.push_back({PartKey(id, i), std::nullopt});
  }
  return records;
}

bool Cell::AddJob(Job* job, PendingBatch* batch) {
  std::vector<KeyedRecord> records = ProgressRecords(*job);
  const std::size_t bytes = BytesOf(records);
  if (!batch->m_jobs.empty() &&
      batch->m_bytes + bytes > m_settings.m_store_limits.m_max_batch_bytes) {
    return false;
  }
  batch->m_bytes += bytes;
  const std::size_t parts = static_cast<std::size_t>(std::count_if(
      records.begin() + 1, records.end(),
      [](const KeyedRecord& record) { return record.m_value.has_value(); }));
  batch->m_jobs.push_back(
      {job->m_submission.m_id, job->m_state, parts, job->m_changes});
  batch->m_records.insert(batch->m_records.end(),
                          std::make_move_iterator(records.begin()),
                          std::make_move_iterator(records.end()));
  for (std::size_t i = job->m_tasks.First(); i < job->m_tasks.size(); ++i) {
    Task& task = job->m_tasks[i];
    if (task.m_state == TaskState::kRecording && task.m_placement_batch == 0) {
      task.m_placement_batch = batch->m_number;
      batch->m_placements.push_back({job, i});
    }
  }
  return true;
}

void Cell::AddDirtyJobs(PendingBatch* batch) {
  while (!m_dirty_jobs.empty() && batch->m_jobs.size() < m_batch_job_limit &&
         AddJob(FindMutableJob(*m_dirty_jobs.begin()), batch)) {
    m_dirty_jobs.erase(m_dirty_jobs.begin());
  }
}

void Cell::AddModel(PendingBatch* batch, TimePoint now) {
  if (now < m_next_model_store) {
    return;
  }
  m_next_model_store = now + kModelStoreInterval;
  std::string model = EncodeModel(m_interference);
  const StoreLimits& limits = m_settings.m_store_limits;
  if (model.size() > limits.m_max_value_bytes) {
    // The next owner learns it anew.
    CellLog()->warn("model-not-stored bytes={}", model.size());
  } else if (batch->m_bytes + model.size() <= limits.m_max_batch_bytes) {
    batch->m_bytes += model.size();
    batch->m_records.push_back({kModelKey, std::move(model)});
  }
}

void Cell::AddDroppedJobs(PendingBatch* batch) {
  while (!m_dropped_jobs.empty() &&
         batch->m_dropped_jobs.size() < kMaxBatchJobs) {
    const std::string id = *m_dropped_jobs.begin();
    batch->m_records.push_back({id, std::nullopt});
    batch->m_dropped_jobs.push_back(id);
    m_dropped_jobs.erase(m_dropped_jobs.begin());
  }
}

void Cell::AckStoredEnds(int worker_index, TimePoint now) {
  ++m_work.m_worker_visits;
  Worker& worker = m_workers[static_cast<std::size_t>(worker_index)];
  std::deque<UnstoredEnd>& unstored = worker.m_unstored_ends;
  while (!unstored.empty()) {
    // The end of a job that is gone is stored.
    const Job* const job = FindJob(unstored.front().m_job);
    if (job != nullptr && job->m_stored_changes < unstored.front().m_change) {
      break;
    }
    unstored.pop_front();
  }
  const std::uint64_t acked = unstored.empty() ? worker.m_received_end_number
                                               : unstored.front().m_number - 1;
  if (acked > worker.m_acked_end_number) {
    worker.m_acked_end_number = acked;
    worker.m_next_heartbeat = now;
    TouchWorker(worker_index);
  }
}

void Cell::OnStored(std::uint64_t batch,
                    const Result<Offset>& result,
                    TimePoint now) {
  if (!m_batch_in_flight || m_batch_in_flight->m_number != batch) {
    return;
  }
  if (!result) {
    CellLog()->warn("store-failed batch={} jobs={} error={}", batch,
                    m_batch_in_flight->m_records.size(),
                    ToString(result.error()));
    if (result.error().m_code == ErrorCode::kFenced) {
      m_is_fenced = true;
    } else if (result.error().m_code == ErrorCode::kInvalidArgument) {
      OnRefusedBatch(result.error(), now);
    } else {
      m_batch_in_flight->m_may_be_stored |=
          result.error().m_code != ErrorCode::kNotSent &&
          result.error().m_code != ErrorCode::kUnavailable;
      m_batch_retry_at = now + kBatchRetryDelay;
    }
    return;
  }
  const PendingBatch stored = std::move(*m_batch_in_flight);
  m_batch_in_flight.reset();
  m_next_flush = now + m_settings.m_flush_interval;
  if (stored.m_is_probe) {
    m_probe_job_limit = std::min(kMaxBatchJobs, 2 * m_probe_job_limit);
    ProbeAllJobs(now);
  } else {
    m_batch_job_limit = std::min(kMaxBatchJobs, 2 * m_batch_job_limit);
  }
  for (const StoredJob& job : stored.m_jobs) {
    ApplyStoredJob(job, now);
  }
  UpdateTouchedWorkers(now);
  for (const int index : m_agenda.m_with_unacknowledged_ends) {
    AckStoredEnds(index, now);
  }
  StartStoredPlacements(stored, now);
}

void Cell::ApplyStoredJob(const StoredJob& stored, TimePoint now) {
  Job* const job = FindMutableJob(stored.m_id);
  if (job == nullptr) {
    return;
  }
  if (IsTerminal(stored.m_state) && job->m_stored_state != stored.m_state) {
    m_job_ends.push_back(
        {job->m_submission.m_queue.m_name, stored.m_state,
         milliseconds(UnixMillis(now) - job->m_submission.m_accepted_unix_ms)});
  }
  job->m_stored_state = stored.m_state;
  job->m_stored_parts = stored.m_parts;
  job->m_stored_changes = stored.m_changes;
  if (job->m_changes == stored.m_changes && OccurrenceCount(*job) > 1) {
    const std::uint32_t first = FirstOccurrence(*job);
    DropOccurrences(job, EndedOccurrences(*job));
    // The next ones may have waited for that.
    m_schedule_needed = m_schedule_needed || FirstOccurrence(*job) != first;
  }
  if (job->m_refusals.m_count > 0) {
    EndRefusals(job, now);
  }
}

void Cell::ReleaseGangsNotToStart(const PendingBatch& batch, TimePoint now) {
  for (const TaskRef& ref : batch.m_placements) {
    Job* const job = ref.m_job;
    const StepPlan& step = StepOf(*job, ref.m_index);
    const Task& task = job->m_tasks[ref.m_index];
    if (!step.m_gang ||
        (IsRecordedBy(batch.m_number, task) && MayStart(ref, now))) {
      continue;
    }
    const std::size_t first =
        ref.m_index - NameOfTask(*job, ref.m_index).m_index;
    for (std::size_t i = first; i < first + step.m_tasks; ++i) {
      if (IsRecordedBy(batch.m_number, job->m_tasks[i])) {
        ReturnToPending({job, i}, "gang-not-allowed", now);
      }
    }
  }
}

void Cell::StartStoredPlacements(const PendingBatch& batch, TimePoint now) {
  ReleaseGangsNotToStart(batch, now);
  std::vector<TaskRef> placements = batch.m_placements;
  std::stable_sort(placements.begin(), placements.end(),
                   [](const TaskRef& a, const TaskRef& b) {
                     return a.m_job->m_submission.m_queue.m_priority <
                            b.m_job->m_submission.m_queue.m_priority;
                   });
  for (const TaskRef& ref : placements) {
    const Task& task = ref.m_job->m_tasks[ref.m_index];
    if (!IsRecordedBy(batch.m_number, task)) {
      continue;
    }
    if (MayStart(ref, now)) {
      EndStage(ref, Stage::kStore, now);
      SendStart(ref, now);
    } else {
      ReturnToPending(ref, "no-longer-allowed", now);
    }
  }
}

bool Cell::MayTombstone(const Job& job, TimePoint now) const {
  return IsTerminal(job.m_state) && job.m_stored_state == job.m_state &&
         now - job.m_terminal_since > m_settings.m_tombstone_age &&
         m_dirty_jobs.count(job.m_submission.m_id) == 0 && !IsSetAside(job) &&
         std::none_of(job.m_tasks.begin(), job.m_tasks.end(), IsPlaced);
}

void Cell::TombstoneEndedJobs(TimePoint now) {
  if (now < m_next_tombstone_sweep || m_batch_in_flight) {
    return;
  }
  m_next_tombstone_sweep = now + m_settings.m_tombstone_interval;
  TombstoneJobsAction tombstones;
  for (auto it = m_jobs.begin(); it != m_jobs.end();) {
    if (MayTombstone(*it->second, now)) {
      m_ended_jobs[it->first] = {it->second->m_state, now,
                                 it->second->m_submission.m_tenant};
      tombstones.m_jobs.push_back(it->first);
      it = m_jobs.erase(it);
    } else {
      ++it;
    }
  }
  if (!tombstones.m_jobs.empty()) {
    CellLog()->info("jobs-tombstoned count={} remaining={}",
                    tombstones.m_jobs.size(), m_jobs.size());
    m_actions.emplace_back(std::move(tombstones));
  }
  DropExpiredJobs(now);
}

void Cell::DropExpiredJobs(TimePoint now) {
  DropJobsAction dropped;
  for (auto it = m_ended_jobs.begin(); it != m_ended_jobs.end();) {
    if (now - it->second.m_since > m_settings.m_ended_job_retention) {
      dropped.m_jobs.push_back(it->first);
      const auto cancellations = m_cancellation_records.find(it->first);
      if (cancellations != m_cancellation_records.end()) {
        for (const std::string& tenant : cancellations->second) {
          dropped.m_cancel_keys.push_back(CancelKey(it->first, tenant));
        }
        m_cancellation_records.erase(cancellations);
      }
      m_dropped_jobs.insert(it->first);
      it = m_ended_jobs.erase(it);
    } else {
      ++it;
    }
  }
  if (!dropped.m_jobs.empty()) {
    CellLog()->info("jobs-dropped count={}", dropped.m_jobs.size());
    m_actions.emplace_back(std::move(dropped));
  }
}

}  // namespace hyssopspar::jobs
