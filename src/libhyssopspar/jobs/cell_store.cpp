// What is stored, and what may happen once it is.

#include <algorithm>
#include <utility>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/records.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Jobs in one batch, so that an append stays well below the store's limit.
constexpr std::size_t kBatchJobs = 300;
/// Between stored states of the interference model; they go with a batch.
constexpr milliseconds kModelInterval{2000};
/// Pause before a batch that was not acknowledged is sent again.
constexpr milliseconds kBatchRetry{100};

}  // namespace

void Cell::Flush(TimePoint now) {
  if (m_batch) {
    if (now >= m_batch_retry) {
      m_batch_retry = TimePoint::max();
      m_actions.emplace_back(
          StoreAction{m_batch->m_number, m_batch->m_records});
    }
    return;
  }
  AckStoredEnds(now);
  if (m_dirty.empty() || now < m_next_flush) {
    return;
  }
  PendingBatch batch;
  batch.m_number = ++m_batches;
  const bool whole = m_dirty.size() <= kBatchJobs;
  for (std::size_t n = 0; n < kBatchJobs && !m_dirty.empty(); ++n) {
    Job* const job = Find(*m_dirty.begin());
    const std::string& id = job->m_submission.m_id;
    for (std::size_t i = 0; i < job->m_tasks.size(); ++i) {
      Task& task = job->m_tasks[i];
      if (task.m_state == TaskState::kRecording && task.m_batch == 0) {
        task.m_batch = batch.m_number;
        batch.m_placements.push_back({job, i});
      }
    }
    batch.m_records.push_back(
        {id, EncodeProgress(ProgressOf(*job, m_worker_names))});
    batch.m_states.emplace_back(id, job->m_state);
    m_dirty.erase(m_dirty.begin());
  }
  if (now >= m_next_model) {
    m_next_model = now + kModelInterval;
    batch.m_records.push_back({kModelKey, EncodeModel(m_interference)});
  }
  for (const std::string& id : std::exchange(m_forgotten, {})) {
    batch.m_records.push_back({id, std::nullopt});
  }
  for (std::size_t i = 0; whole && i < m_workers.size(); ++i) {
    if (m_workers[i].m_seen_end > m_workers[i].m_acked_end) {
      batch.m_ends[static_cast<int>(i)] = m_workers[i].m_seen_end;
    }
  }
  m_actions.emplace_back(StoreAction{batch.m_number, batch.m_records});
  m_batch = std::move(batch);
  m_batch_retry = TimePoint::max();
}

/// Ends that changed nothing need no batch.
void Cell::AckStoredEnds(TimePoint now) {
  if (!m_dirty.empty()) {
    return;
  }
  for (Worker& worker : m_workers) {
    if (worker.m_acked_end < worker.m_seen_end) {
      worker.m_acked_end = worker.m_seen_end;
      worker.m_next_hold = now;
    }
  }
}

void Cell::OnStored(std::uint64_t batch,
                    const Result<Offset>& result,
                    TimePoint now) {
  if (!m_batch || m_batch->m_number != batch) {
    return;
  }
  if (!result) {
    CellLog()->warn("store-failed batch={} jobs={} error={}", batch,
                    m_batch->m_records.size(), ToString(result.error()));
    if (result.error().m_code == ErrorCode::kFenced) {
      m_is_fenced = true;
      return;
    }
    m_batch_retry = now + kBatchRetry;
    return;
  }
  const PendingBatch stored = std::move(*m_batch);
  m_batch.reset();
  m_next_flush = now + m_settings.m_flush_interval;
  for (const auto& entry : stored.m_ends) {
    Worker& worker = m_workers[static_cast<std::size_t>(entry.first)];
    // A life that began meanwhile numbers its ends anew.
    if (entry.second <= worker.m_seen_end) {
      worker.m_acked_end = std::max(worker.m_acked_end, entry.second);
      worker.m_next_hold = now;
    }
  }
  for (const auto& entry : stored.m_states) {
    Job* const job = Find(entry.first);
    if (job == nullptr) {
      continue;
    }
    if (IsTerminal(entry.second) && job->m_stored_state != entry.second) {
      m_ends.push_back({job->m_submission.m_queue.m_name, entry.second,
                        milliseconds(UnixMillis(now) -
                                     job->m_submission.m_accepted_unix_ms)});
    }
    job->m_stored_state = entry.second;
  }
  SendPlacements(stored, now);
}

void Cell::SendPlacements(const PendingBatch& batch, TimePoint now) {
  for (const TaskRef& ref : batch.m_placements) {
    const Task& task = ref.m_job->m_tasks[ref.m_index];
    if (task.m_state != TaskState::kRecording ||
        task.m_batch != batch.m_number) {
      continue;
    }
    if (MayStart(*ref.m_job, task, now)) {
      SendStart(ref, now);
    } else {
      Release(ref, "no-longer-allowed", now);
    }
  }
}

bool Cell::MayRetire(const Job& job, TimePoint now) const {
  return IsTerminal(job.m_state) && job.m_stored_state == job.m_state &&
         now - job.m_terminal_since > m_settings.m_retire_age &&
         m_dirty.count(job.m_submission.m_id) == 0 &&
         std::none_of(job.m_tasks.begin(), job.m_tasks.end(), IsPlaced);
}

void Cell::RetireJobs(TimePoint now) {
  if (now < m_next_retire || m_batch) {
    return;
  }
  m_next_retire = now + m_settings.m_retire_interval;
  RetireAction retired;
  for (auto it = m_jobs.begin(); it != m_jobs.end();) {
    if (MayRetire(*it->second, now)) {
      m_ended[it->first] = {it->second->m_state, now};
      retired.m_jobs.push_back(it->first);
      it = m_jobs.erase(it);
    } else {
      ++it;
    }
  }
  if (!retired.m_jobs.empty()) {
    CellLog()->info("jobs-retired count={} open={}", retired.m_jobs.size(),
                    m_jobs.size());
    m_actions.emplace_back(std::move(retired));
  }
  ForgetJobs(now);
}

void Cell::ForgetJobs(TimePoint now) {
  ForgetAction forgotten;
  for (auto it = m_ended.begin(); it != m_ended.end();) {
    if (now - it->second.m_since > m_settings.m_retention) {
      forgotten.m_jobs.push_back(it->first);
      m_forgotten.insert(it->first);
      it = m_ended.erase(it);
    } else {
      ++it;
    }
  }
  if (!forgotten.m_jobs.empty()) {
    CellLog()->info("jobs-forgotten count={}", forgotten.m_jobs.size());
    m_actions.emplace_back(std::move(forgotten));
  }
}

}  // namespace hyssopspar::jobs
