// Jobs whose progress records the store refuses. A refusal may be due to the
// record or to the state of the store, and is never the end of a job.

#include <algorithm>
#include <utility>

#include "hyssopspar/jobs/cell.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Delay before the next batch after a refused one; after a refused probe, only
/// probes wait.
constexpr milliseconds kSplitDelay{100};
/// Delay before the record of a job that was refused alone is sent again;
/// doubled with each refusal, from the minimum to the maximum.
constexpr milliseconds kMinProbeDelay{1000};
constexpr milliseconds kMaxProbeDelay{4000};

/// Delay before a refused batch that may be stored is sent again, and the time
/// after which the cell is given up, if the store takes renewals all the while.
constexpr milliseconds kUncertainRetryDelay{200};
constexpr milliseconds kMaxUncertainTime{5000};

milliseconds ProbeDelay(std::uint32_t refusals) {
  return std::min(kMaxProbeDelay,
                  kMinProbeDelay * (1 << std::min(refusals - 1, 8U)));
}

}  // namespace

void Cell::OnRefusedBatch(const Error& error, TimePoint now) {
  if (m_batch_in_flight->m_may_be_stored) {
    RepeatUncertainBatch(now);
  } else {
    SplitRefusedBatch(error, now);
  }
}

/// Another batch may not get the number of one that may be stored: the store
/// would take it for the repeat.
void Cell::RepeatUncertainBatch(TimePoint now) {
  PendingBatch& batch = *m_batch_in_flight;
  m_batch_retry_at = now + kUncertainRetryDelay;
  if (!batch.m_lease_when_refused) {
    batch.m_lease_when_refused = m_ownership_lease_deadline;
  }
  if (m_ownership_lease_deadline - kMaxUncertainTime >
      *batch.m_lease_when_refused) {
    CellLog()->critical("batch-uncertain batch={} jobs={} bytes={}",
                        batch.m_number, batch.m_jobs.size(), batch.m_bytes);
    m_is_fenced = true;
  }
}

void Cell::SplitRefusedBatch(const Error& error, TimePoint now) {
  const PendingBatch refused = std::move(*m_batch_in_flight);
  m_batch_in_flight.reset();
  // The store has not counted the append, so the next one has its number.
  m_last_batch_number = refused.m_number - 1;
  m_dropped_jobs.insert(refused.m_dropped_jobs.begin(),
                        refused.m_dropped_jobs.end());
  for (const TaskRef& ref : refused.m_placements) {
    Task& task = ref.m_job->m_tasks[ref.m_index];
    if (task.m_placement_batch == refused.m_number) {
      task.m_placement_batch = 0;
    }
  }
  const std::size_t half = std::max<std::size_t>(1, refused.m_jobs.size() / 2);
  if (refused.m_is_probe) {
    m_probe_job_limit = half;
    m_next_probe = now + kSplitDelay;
    m_next_flush = now + m_settings.m_flush_interval;
  } else {
    m_batch_job_limit = refused.m_is_one_job ? m_batch_job_limit : half;
    m_next_flush = now + kSplitDelay;
  }
  if (refused.m_is_one_job) {
    SetAside(FindMutableJob(refused.m_jobs.front().m_id), refused.m_bytes,
             error, now);
  } else if (!refused.m_is_probe) {
    for (const StoredJob& job : refused.m_jobs) {
      m_dirty_jobs.insert(job.m_id);
    }
  }
}

void Cell::SetAside(Job* job,
                    std::size_t bytes,
                    const Error& error,
                    TimePoint now) {
  const std::string& id = job->m_submission.m_id;
  StoreRefusals& refusals = job->m_refusals;
  m_set_aside_jobs.erase({refusals.m_retry_at, id});
  if (refusals.m_count++ == 0) {
    refusals.m_since = now;
  }
  refusals.m_retry_at = now + ProbeDelay(refusals.m_count);
  m_set_aside_jobs.insert({refusals.m_retry_at, id});
  m_dirty_jobs.erase(id);
  CellLog()->warn(
      "record-refused id={} bytes={} refusals={} since_ms={} retry_ms={} "
      "error={}",
      id, bytes, refusals.m_count, ToMillis(now - refusals.m_since),
      ToMillis(refusals.m_retry_at - now), ToString(error));
  // Placements that may not be stored for long would only hold room.
  for (std::size_t i = job->m_tasks.First(); i < job->m_tasks.size(); ++i) {
    if (job->m_tasks[i].m_state == TaskState::kRecording) {
      ReturnToPending({job, i}, "record-refused", now);
    }
  }
}

bool Cell::IsSetAside(const Job& job) {
  return job.m_refusals.m_retry_at != TimePoint::max();
}

void Cell::AddProbedJobs(PendingBatch* batch, TimePoint now) {
  for (const auto& entry : m_set_aside_jobs) {
    if (entry.first > now || batch->m_jobs.size() >= m_probe_job_limit ||
        !AddJob(FindMutableJob(entry.second), batch)) {
      return;
    }
  }
}

TimePoint Cell::NextProbe() const {
  return m_set_aside_jobs.empty()
             ? TimePoint::max()
             : std::max(m_next_probe, m_set_aside_jobs.begin()->first);
}

void Cell::EndRefusals(Job* job, TimePoint now) {
  const std::string& id = job->m_submission.m_id;
  CellLog()->info("record-taken id={} refusals={} since_ms={}", id,
                  job->m_refusals.m_count,
                  ToMillis(now - job->m_refusals.m_since));
  m_set_aside_jobs.erase({job->m_refusals.m_retry_at, id});
  job->m_refusals = StoreRefusals();
  if (job->m_changes != job->m_stored_changes) {
    m_dirty_jobs.insert(id);
  }
  m_schedule_needed = true;
}

void Cell::ProbeAllJobs(TimePoint now) {
  m_next_probe = now;
  std::set<std::pair<TimePoint, std::string>> due;
  for (const auto& entry : m_set_aside_jobs) {
    FindMutableJob(entry.second)->m_refusals.m_retry_at = now;
    due.insert({now, entry.second});
  }
  m_set_aside_jobs = std::move(due);
}

}  // namespace hyssopspar::jobs
