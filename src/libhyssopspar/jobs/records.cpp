#include "hyssopspar/jobs/records.h"

#include <algorithm>
#include <utility>

#include "pvt/archive.h"

namespace hyssopspar::jobs {

namespace {

constexpr const char* kCancelSuffix = "/cancel";
/// Value of a cancellation by a caller that was not authenticated.
constexpr const char* kOpenCancellation = "1";
/// Most bytes that the progress of one task takes without its checkpoint, when
/// all neighbours differ.
constexpr std::size_t kMaxProgressBytesPerTask = 36;

}  // namespace

/// A column of a progress record: each value with the number of consecutive
/// tasks that have it, since most neighbours are in the same state.
template <class V>
struct RepeatedColumn {
  std::vector<std::uint32_t> m_counts;
  std::vector<V> m_values;

  friend bool operator==(const RepeatedColumn& a, const RepeatedColumn& b) {
    return a.m_counts == b.m_counts && a.m_values == b.m_values;
  }
};

template <class Archive, class T, class V>
void VisitFields(Archive& archive, T& column, const RepeatedColumn<V>* /*t*/) {
  archive(column.m_counts, column.m_values);
}

/// A cancellation by an authenticated caller, as it is stored.
struct CancellationRecord {
  std::string m_tenant;
  std::int64_t m_config_revision = 0;
};

/// JobProgress as it is stored.
struct StoredProgress {
  JobState m_state = JobState::kQueued;
  RepeatedColumn<TaskState> m_task_states;
  RepeatedColumn<std::uint32_t> m_run_numbers;
  RepeatedColumn<std::uint32_t> m_failure_counts;
  RepeatedColumn<std::uint32_t> m_worker_slots;
  RepeatedColumn<std::string> m_task_checkpoints;
  std::vector<std::string> m_workers;
  RepeatedColumn<std::uint32_t> m_crash_counts;
  RepeatedColumn<std::uint32_t> m_crash_evidence;
  RepeatedColumn<std::int64_t> m_worker_incarnations;
  std::string m_tenant;
  std::uint32_t m_dropped_occurrences = 0;
  RepeatedColumn<std::uint32_t> m_unanswered_start_slots;
};

template <class Archive, class T>
void VisitFields(Archive& archive, T& progress, const StoredProgress* /*tag*/) {
  archive(progress.m_state, progress.m_task_states, progress.m_run_numbers,
          progress.m_failure_counts, progress.m_worker_slots,
          progress.m_task_checkpoints, progress.m_workers,
          progress.m_crash_counts, progress.m_crash_evidence,
          progress.m_worker_incarnations);
  archive.Tail(progress.m_tenant, progress.m_dropped_occurrences,
               progress.m_unanswered_start_slots);
}

namespace {

template <class V>
void Compress(const std::vector<V>& values, RepeatedColumn<V>* column) {
  for (const V& value : values) {
    if (!column->m_values.empty() && column->m_values.back() == value) {
      ++column->m_counts.back();
    } else {
      column->m_values.push_back(value);
      column->m_counts.push_back(1);
    }
  }
}

/// False if the column has more entries than a job can have tasks.
template <class V>
bool Expand(const RepeatedColumn<V>& column, std::vector<V>* values) {
  if (column.m_counts.size() != column.m_values.size()) {
    return false;
  }
  for (std::size_t i = 0; i < column.m_counts.size(); ++i) {
    if (column.m_counts[i] > kMaxTasksOfAllOccurrences - values->size()) {
      return false;
    }
    values->insert(values->end(), column.m_counts[i], column.m_values[i]);
  }
  return true;
}

}  // namespace

template <class Archive, class T>
void VisitFields(Archive& archive, T& owner, const OwnerRecord* /*tag*/) {
  archive(owner.m_epoch, owner.m_node, owner.m_process, owner.m_address,
          owner.m_renewals, owner.m_released, owner.m_cpu_capacity,
          owner.m_max_cpu_capacity);
  archive.Tail(owner.m_leases_expire_within);
}

/// An owner record with a load summary, as it is stored.
struct OwnerWithLoad {
  OwnerRecord m_owner;
  LoadSummary m_load;
};

template <class Archive, class T>
void VisitFields(Archive& archive, T& owner, const OwnerWithLoad* /*tag*/) {
  archive(owner.m_owner, owner.m_load);
}

template <class Archive, class T>
void VisitFields(Archive& archive, T& record, const CancellationRecord* /**/) {
  archive(record.m_tenant, record.m_config_revision);
}

std::string CancelKey(const std::string& job_id, const std::string& tenant) {
  return job_id + kCancelSuffix + (tenant.empty() ? "" : "/" + tenant);
}

std::string EncodeCancellation(const CallerIdentity& caller) {
  return caller.m_tenant ? pvt::Encode(CancellationRecord{
                               *caller.m_tenant, caller.m_config_revision})
                         : kOpenCancellation;
}

Result<CallerIdentity> DecodeCancellation(const std::string& bytes) {
  if (bytes == kOpenCancellation) {
    return CallerIdentity();
  }
  const Result<CancellationRecord> record =
      pvt::Decode<CancellationRecord>(bytes);
  if (!record) {
    return record.error();
  }
  return CallerIdentity{record.value().m_tenant,
                        record.value().m_config_revision};
}

std::string JobIdOfCancelKey(const std::string& key) {
  const std::size_t at = key.find(kCancelSuffix);
  return at == std::string::npos ? "" : key.substr(0, at);
}

std::string EncodeSubmission(const Submission& job) {
  return pvt::Encode(job);
}

Result<std::string> EncodeStorableSubmission(const Submission& job,
                                             const StoreLimits& limits) {
  std::string record = EncodeSubmission(job);
  if (record.size() > limits.m_max_value_bytes) {
    return Fail(ErrorCode::kTooLarge,
                "the job takes " + std::to_string(record.size()) +
                    " bytes; the store takes at most " +
                    std::to_string(limits.m_max_value_bytes));
  }
  const std::size_t most_tasks =
      limits.m_max_batch_bytes / kMaxProgressBytesPerTask;
  if (CountTasks(job.m_plan) > most_tasks) {
    return Fail(ErrorCode::kTooLarge,
                "the store takes the progress of at most " +
                    std::to_string(most_tasks) + " tasks of a job");
  }
  return record;
}

Result<Submission> DecodeSubmission(const std::string& bytes) {
  Result<Submission> job = pvt::Decode<Submission>(bytes);
  if (!job) {
    return job;
  }
  BOOST_OUTCOME_TRY(ValidatePlan(job.value().m_plan));
  return job;
}

std::string EncodeProgress(const JobProgress& progress) {
  StoredProgress stored;
  stored.m_state = progress.m_state;
  stored.m_workers = progress.m_workers;
  stored.m_tenant = progress.m_tenant;
  stored.m_dropped_occurrences = progress.m_dropped_occurrences;
  Compress(progress.m_task_states, &stored.m_task_states);
  Compress(progress.m_run_numbers, &stored.m_run_numbers);
  Compress(progress.m_failure_counts, &stored.m_failure_counts);
  Compress(progress.m_worker_slots, &stored.m_worker_slots);
  Compress(progress.m_task_checkpoints, &stored.m_task_checkpoints);
  Compress(progress.m_crash_counts, &stored.m_crash_counts);
  Compress(progress.m_crash_evidence, &stored.m_crash_evidence);
  Compress(progress.m_worker_incarnations, &stored.m_worker_incarnations);
  Compress(progress.m_unanswered_start_slots, &stored.m_unanswered_start_slots);
  return pvt::Encode(stored);
}

Result<JobProgress> DecodeProgress(const std::string& bytes) {
  const Result<StoredProgress> decoded = pvt::Decode<StoredProgress>(bytes);
  if (!decoded) {
    return decoded.error();
  }
  const StoredProgress& stored = decoded.value();
  JobProgress progress;
  progress.m_state = stored.m_state;
  progress.m_workers = stored.m_workers;
  progress.m_tenant = stored.m_tenant;
  progress.m_dropped_occurrences = stored.m_dropped_occurrences;
  const bool expanded =
      Expand(stored.m_task_states, &progress.m_task_states) &&
      Expand(stored.m_run_numbers, &progress.m_run_numbers) &&
      Expand(stored.m_failure_counts, &progress.m_failure_counts) &&
      Expand(stored.m_worker_slots, &progress.m_worker_slots) &&
      Expand(stored.m_task_checkpoints, &progress.m_task_checkpoints) &&
      Expand(stored.m_crash_counts, &progress.m_crash_counts) &&
      Expand(stored.m_crash_evidence, &progress.m_crash_evidence) &&
      Expand(stored.m_worker_incarnations, &progress.m_worker_incarnations) &&
      Expand(stored.m_unanswered_start_slots,
             &progress.m_unanswered_start_slots);
  if (!expanded) {
    return Fail(ErrorCode::kMalformed, "more tasks than a job can have");
  }
  return progress;
}

std::string EncodeModel(const InterferenceModel& model) {
  return pvt::Encode(model.Images());
}

Result<InterferenceModel> DecodeModel(const std::string& bytes) {
  const Result<std::map<std::string, ServingImageModel>> images =
      pvt::Decode<std::map<std::string, ServingImageModel>>(bytes);
  if (!images) {
    return images.error();
  }
  return InterferenceModel(images.value());
}

std::string EncodeOwner(const OwnerRecord& owner) {
  return owner.m_load ? pvt::Encode(OwnerWithLoad{owner, *owner.m_load})
                      : pvt::Encode(owner);
}

void AttachLoad(LoadSummary load, OwnerRecord* owner) {
  std::sort(load.m_queues.begin(), load.m_queues.end(),
            [](const QueueLoad& a, const QueueLoad& b) {
              return ExpectedWait(a, true) > ExpectedWait(b, true);
            });
  owner->m_load = std::move(load);
  while (EncodeOwner(*owner).size() >= kMaxRenewalBytes) {
    if (!owner->m_load->m_tenants_over_share.empty()) {
      owner->m_load->m_tenants_over_share.pop_back();
    } else if (!owner->m_load->m_queues.empty()) {
      owner->m_load->m_queues.pop_back();
    } else {
      owner->m_load.reset();
      return;
    }
  }
}

Result<OwnerRecord> DecodeOwner(const std::string& bytes) {
  Result<OwnerRecord> owner = pvt::Decode<OwnerRecord>(bytes);
  if (owner) {
    return owner;
  }
  Result<OwnerWithLoad> with_load = pvt::Decode<OwnerWithLoad>(bytes);
  if (!with_load) {
    return owner;
  }
  with_load.value().m_owner.m_load = std::move(with_load.value().m_load);
  return with_load.value().m_owner;
}

}  // namespace hyssopspar::jobs
