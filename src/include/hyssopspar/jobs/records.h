/// \file
/// Streams, keys and encodings of the records that the job plane stores.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "hyssopspar/error.h"
#include "hyssopspar/jobs/admission/load_summary.h"
#include "hyssopspar/jobs/interference.h"
#include "hyssopspar/jobs/job_plan.h"
#include "hyssopspar/jobs/job_progress.h"
#include "hyssopspar/jobs/tenants/job_access.h"
#include "hyssopspar/store/store_limits.h"

namespace hyssopspar::jobs {

/// Names of the streams. Each cell has its own partition in them.
inline constexpr const char* kJobStream = "jobs";
inline constexpr const char* kProgressStream = "progress";
inline constexpr const char* kOwnerStream = "owners";

/// Writer name in appends to the progress stream. The store rejects appends
/// with an epoch below the highest one of this writer.
inline constexpr const char* kOwnerWriter = "owner";

/// Key of the interference model in the progress stream.
inline constexpr const char* kModelKey = "model";

/// Tombstone that replaces the submission of a job that ended.
inline constexpr const char* kTombstoneValue = "-";

/// Key of the record of a job's cancellation in the job stream. Tenants have
/// different keys, so that none replaces another's record.
std::string CancelKey(const std::string& job_id,
                      const std::string& tenant = "");

/// Value of a cancellation record.
std::string EncodeCancellation(const CallerIdentity& caller);
/// Fails with kMalformed.
Result<CallerIdentity> DecodeCancellation(const std::string& bytes);

/// Id of the job whose cancellation has this key, or "" for other keys.
std::string JobIdOfCancelKey(const std::string& key);

/// Owner of a cell. Each claim has a higher epoch than all earlier claims.
struct OwnerRecord {
  std::uint64_t m_epoch = 0;
  std::string m_node;
  std::string m_process;         ///< Unique for each start of the node process.
  std::string m_address;         ///< Address of the owner's internal interface.
  std::uint64_t m_renewals = 0;  ///< Renewals of this claim.
  bool m_released = false;       ///< The owner has released the cell.
  /// Of a release: all leases that this owner and earlier ones granted expire
  /// within this time of its being stored; 0 if the owner may have granted
  /// others since.
  milliseconds m_leases_expire_within{0};
  double m_cpu_capacity = 0;  ///< CPU capacity of the owner's node.
  /// CPU capacity, in processors, of the largest node that has owned the cell
  /// or offered to take it over.
  double m_max_cpu_capacity = 0;
  /// Absent unless the owner measures the load. Builds without it can't decode
  /// a record that contains it.
  std::optional<LoadSummary> m_load;
};

/// Size limit of a renewal with a load summary. All nodes read each of them.
inline constexpr std::size_t kMaxRenewalBytes = 300;

/// Adds \p load to \p owner without what does not fit into kMaxRenewalBytes:
/// tenants first, then the queues with the shortest wait.
void AttachLoad(LoadSummary load, OwnerRecord* owner);

std::string EncodeSubmission(const Submission& job);
/// Same, if the store can take the job and, at any later time, its progress.
/// Fails with kTooLarge otherwise.
Result<std::string> EncodeStorableSubmission(const Submission& job,
                                             const StoreLimits& limits);
Result<Submission> DecodeSubmission(const std::string& bytes);
std::string EncodeProgress(const JobProgress& progress);
Result<JobProgress> DecodeProgress(const std::string& bytes);
std::string EncodeModel(const InterferenceModel& model);
Result<InterferenceModel> DecodeModel(const std::string& bytes);
std::string EncodeOwner(const OwnerRecord& owner);
Result<OwnerRecord> DecodeOwner(const std::string& bytes);

}  // namespace hyssopspar::jobs
