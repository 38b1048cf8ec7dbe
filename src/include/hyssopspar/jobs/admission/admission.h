/// \file
/// Whether a node refuses a job that the cell can't end in time.

#pragma once

#include <cstdint>

#include "hyssopspar/jobs/admission/load_summary.h"
#include "hyssopspar/jobs/job_plan.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Age from which a summary is too old to refuse a job.
inline constexpr milliseconds kMaxSummaryAge{2500};

enum class AdmissionReason {
  kNoSummary,    ///< The owner publishes none, or the cell has no owner.
  kStale,        ///< The summary is too old.
  kNoDeadline,   ///< A long-running or scheduled job, which may wait.
  kNoBacklog,    ///< No task of the queue waits.
  kNoHistory,    ///< The drain rate is not known.
  kWorkersFree,  ///< A worker that could run a first task may be free.
  kInTime,       ///< The job can meet its objective.
  /// It can end within the late limit according to the summary, but not if
  /// many jobs have been admitted since. The owner knows.
  kMayBeLate,
  kTooLate,  ///< It can't end within the late limit.
};

/// Name as in metrics and logs.
const char* ToString(AdmissionReason reason);

/// The decision and its inputs.
struct AdmissionEstimate {
  AdmissionReason m_reason = AdmissionReason::kNoSummary;
  milliseconds m_wait{0};      ///< For the work ahead.
  milliseconds m_run_time{0};  ///< Of the job without any wait.
  milliseconds m_objective{0};
  milliseconds m_late_limit{0};  ///< A job that ends later has no value.
};

/// Decides about a new job. \p summary may be null; \p age is the time since it
/// was true.
AdmissionEstimate EstimateAdmission(const Submission& job,
                                    const LoadSummary* summary,
                                    Duration age);

/// Reserved CPU of all tasks, in thousandths of a processor.
std::int64_t CpuDemandOf(const JobPlan& plan);

}  // namespace hyssopspar::jobs
