#include "hyssopspar/jobs/cell_loader.h"

#include <exception>
#include <utility>

#include "hyssopspar/jobs/records.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

void CellLoader::ApplyProgressRecord(const KeyedRecord& record) {
  const std::optional<SplitValueReader::Value> value = m_values.Take(record);
  if (!value) {
    return;
  }
  if (value->m_key == kModelKey) {
    m_model = value->m_bytes;
    return;
  }
  const Result<JobProgress> progress = DecodeProgress(value->m_bytes);
  if (progress) {
    m_progress[value->m_key] = {progress.value(), value->m_parts};
  } else {
    CellLog()->warn("progress-ignored job={} error={}", value->m_key,
                    ToString(progress.error()));
  }
}

bool CellLoader::HasEnded(const std::string& job_id) const {
  const auto stored = m_progress.find(job_id);
  return stored != m_progress.end() &&
         IsTerminal(stored->second.m_progress.m_state) &&
         stored->second.m_progress.m_workers.empty();
}

void CellLoader::ApplyJobRecord(const KeyedRecord& record,
                                Cell* cell,
                                TimePoint now) {
  if (!record.m_value) {
    return;
  }
  const std::string cancelled_job = JobIdOfCancelKey(record.m_key);
  if (!cancelled_job.empty()) {
    const Result<CallerIdentity> caller = DecodeCancellation(*record.m_value);
    if (!caller) {
      CellLog()->warn("cancellation-ignored key={} error={}", record.m_key,
                      ToString(caller.error()));
      return;
    }
    cell->NoteCancellation(cancelled_job, caller.value());
    if (!HasEnded(cancelled_job)) {
      cell->OnCancel(cancelled_job, caller.value(), now);
    }
    return;
  }
  if (*record.m_value == kTombstoneValue || HasEnded(record.m_key)) {
    return;
  }
  const Result<Submission> job = DecodeSubmission(*record.m_value);
  if (!job) {
    CellLog()->warn("job-ignored key={} error={}", record.m_key,
                    ToString(job.error()));
    return;
  }
  // One record that can't be applied must not stop every owner in turn.
  try {
    cell->OnJob(job.value(), now);
  } catch (const std::exception& e) {
    CellLog()->critical("job-set-aside key={} error=\"{}\"", record.m_key,
                        e.what());
  }
}

void CellLoader::Finish(Cell* cell, TimePoint now) {
  for (const std::string& key : m_values.IncompleteKeys()) {
    CellLog()->error("progress-incomplete job={}", key);
  }
  for (const auto& entry : m_progress) {
    const JobProgress& progress = entry.second.m_progress;
    if (HasEnded(entry.first)) {
      cell->RestoreEndedJob(entry.first, progress.m_state, progress.m_tenant,
                            now);
      continue;
    }
    const Result<void> restored =
        cell->RestoreJobProgress(entry.first, progress, entry.second.m_parts);
    if (!restored) {
      CellLog()->warn("progress-ignored job={} error={}", entry.first,
                      ToString(restored.error()));
    }
  }
  m_progress.clear();
  m_values = SplitValueReader();
  if (m_model.empty()) {
    return;
  }
  const Result<void> restored = cell->RestoreInterferenceModel(m_model);
  if (!restored) {
    CellLog()->warn("model-ignored error={}", ToString(restored.error()));
  }
  m_model.clear();
}

}  // namespace hyssopspar::jobs
