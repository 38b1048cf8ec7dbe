/// \file
/// Encoding of what the job plane keeps in the store.

#pragma once

#include <cstdint>
#include <string>

#include "hyssopspar/error.h"
#include "hyssopspar/jobs/interference.h"
#include "hyssopspar/jobs/job_plan.h"
#include "hyssopspar/jobs/job_progress.h"

namespace hyssopspar::jobs {

/// Streams of the store. Partitions are cells.
inline constexpr const char* kJobStream = "jobs";
inline constexpr const char* kProgressStream = "progress";
inline constexpr const char* kOwnerStream = "owners";

/// Writer under which the owner's epoch guards the progress stream.
inline constexpr const char* kOwnerWriter = "owner";

/// Key of the interference model in the progress stream.
inline constexpr const char* kModelKey = "model";

/// Value that takes the place of a retired job's submission.
inline constexpr const char* kRetiredMarker = "-";

/// Key of a job's cancellation in the job stream.
std::string CancelKey(const std::string& job_id);

/// Job named by a cancellation's key, or "" for other keys.
std::string CancelledJob(const std::string& key);

/// Who owns a cell. Each claim has a higher epoch than all before.
struct OwnerRecord {
  std::uint64_t m_epoch = 0;
  std::string m_node;
  std::string m_process;  ///< New with each start of the node.
  std::string m_address;  ///< Of the owner's internal interface.
  std::uint64_t m_renewals = 0;
  bool m_released = false;  ///< The owner has stopped acting.
  double m_strength = 0;    ///< Processors of the owner's node.
  /// Processors of the strongest node that has owned the cell or offered to.
  double m_strongest = 0;
};

std::string EncodeSubmission(const Submission& job);
Result<Submission> DecodeSubmission(const std::string& bytes);
std::string EncodeProgress(const JobProgress& progress);
Result<JobProgress> DecodeProgress(const std::string& bytes);
std::string EncodeModel(const InterferenceModel& model);
Result<InterferenceModel> DecodeModel(const std::string& bytes);
std::string EncodeOwner(const OwnerRecord& owner);
Result<OwnerRecord> DecodeOwner(const std::string& bytes);

}  // namespace hyssopspar::jobs
