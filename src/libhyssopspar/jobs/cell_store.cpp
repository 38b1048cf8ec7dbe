// Storing of progress records in batches, actions that wait for a stored batch,
// and the removal of ended jobs.

#include <algorithm>
#include <utility>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/records.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Most jobs in one batch, so that an append stays well below the store's size
/// limit.
constexpr std::size_t kMaxBatchJobs = 300;
/// Minimum time between stored versions of the interference model, which are
/// part of a batch.
constexpr milliseconds kModelStoreInterval{2000};
/// Delay before a batch that could not be stored is sent again.
constexpr milliseconds kBatchRetryDelay{100};

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
  AckStoredEnds(now);
  if (m_dirty_jobs.empty() || now < m_next_flush) {
    return;
  }
  PendingBatch batch;
  batch.m_number = ++m_last_batch_number;
  // Ended runs may only be acknowledged when all their effects are stored.
  const bool contains_all = m_dirty_jobs.size() <= kMaxBatchJobs;
  for (std::size_t n = 0; n < kMaxBatchJobs && !m_dirty_jobs.empty(); ++n) {
    Job* const job = FindMutableJob(*m_dirty_jobs.begin());
    const std::string& id = job->m_submission.m_id;
    for (std::size_t i = 0; i < job->m_tasks.size(); ++i) {
      Task& task = job->m_tasks[i];
      if (task.m_state == TaskState::kRecording &&
          task.m_placement_batch == 0) {
        task.m_placement_batch = batch.m_number;
        batch.m_placements.push_back({job, i});
      }
    }
    batch.m_records.push_back(
        {id, EncodeProgress(MakeJobProgress(*job, m_worker_names))});
    batch.m_states.emplace_back(id, job->m_state);
    m_dirty_jobs.erase(m_dirty_jobs.begin());
  }
  if (now >= m_next_model_store) {
    m_next_model_store = now + kModelStoreInterval;
    batch.m_records.push_back({kModelKey, EncodeModel(m_interference)});
  }
  for (const std::string& id : std::exchange(m_dropped_jobs, {})) {
    batch.m_records.push_back({id, std::nullopt});
  }
  if (contains_all) {
    for (const int index : m_agenda.m_with_unacknowledged_ends) {
      ++m_work.m_worker_visits;
      batch.m_end_numbers[index] =
          m_workers[static_cast<std::size_t>(index)].m_received_end_number;
    }
  }
  m_actions.emplace_back(StoreAction{batch.m_number, batch.m_records});
  m_batch_in_flight = std::move(batch);
  m_batch_retry_at = TimePoint::max();
}

/// When no changes wait to be stored, acknowledges all ended runs received so
/// far: their effects are stored, or they had none.
void Cell::AckStoredEnds(TimePoint now) {
  if (!m_dirty_jobs.empty()) {
    return;
  }
  for (const int index : m_agenda.m_with_unacknowledged_ends) {
    ++m_work.m_worker_visits;
    Worker& worker = TouchWorker(index);
    worker.m_acked_end_number = worker.m_received_end_number;
    worker.m_next_heartbeat = now;
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
      return;
    }
    m_batch_retry_at = now + kBatchRetryDelay;
    return;
  }
  const PendingBatch stored = std::move(*m_batch_in_flight);
  m_batch_in_flight.reset();
  m_next_flush = now + m_settings.m_flush_interval;
  for (const auto& entry : stored.m_end_numbers) {
    Worker& worker = TouchWorker(entry.first);
    // A number above the received one is of an earlier incarnation: the worker
    // has been restarted since, and counts its ended runs anew.
    if (entry.second <= worker.m_received_end_number) {
      worker.m_acked_end_number =
          std::max(worker.m_acked_end_number, entry.second);
      worker.m_next_heartbeat = now;
    }
  }
  for (const auto& entry : stored.m_states) {
    Job* const job = FindMutableJob(entry.first);
    if (job == nullptr) {
      continue;
    }
    if (IsTerminal(entry.second) && job->m_stored_state != entry.second) {
      m_job_ends.push_back(
          {job->m_submission.m_queue.m_name, entry.second,
           milliseconds(UnixMillis(now) -
                        job->m_submission.m_accepted_unix_ms)});
    }
    job->m_stored_state = entry.second;
  }
  StartStoredPlacements(stored, now);
}

void Cell::StartStoredPlacements(const PendingBatch& batch, TimePoint now) {
  std::vector<TaskRef> placements = batch.m_placements;
  std::stable_sort(placements.begin(), placements.end(),
                   [](const TaskRef& a, const TaskRef& b) {
                     return a.m_job->m_submission.m_queue.m_priority <
                            b.m_job->m_submission.m_queue.m_priority;
                   });
  for (const TaskRef& ref : placements) {
    const Task& task = ref.m_job->m_tasks[ref.m_index];
    if (task.m_state != TaskState::kRecording ||
        task.m_placement_batch != batch.m_number) {
      continue;
    }
    if (MayStart(*ref.m_job, task, now)) {
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
         m_dirty_jobs.count(job.m_submission.m_id) == 0 &&
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
      m_ended_jobs[it->first] = {it->second->m_state, now};
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
