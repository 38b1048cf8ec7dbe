#include "hyssopspar/jobs/admission/admission.h"

#include <algorithm>
#include <numeric>

#include "hyssopspar/jobs/job.h"
#include "hyssopspar/jobs/urgency.h"

namespace hyssopspar::jobs {

namespace {

/// True if some worker may have room for a task that can start at once.
bool MayStartNow(const JobPlan& plan, const Resources& free) {
  return std::any_of(
      plan.m_steps.begin(), plan.m_steps.end(), [&free](const StepPlan& step) {
        return step.m_depends_on.empty() && Fits(step.m_size, free);
      });
}

}  // namespace

const char* ToString(AdmissionReason reason) {
  switch (reason) {
    case AdmissionReason::kNoSummary:
      return "no-summary";
    case AdmissionReason::kStale:
      return "stale";
    case AdmissionReason::kNoDeadline:
      return "no-deadline";
    case AdmissionReason::kNoBacklog:
      return "no-backlog";
    case AdmissionReason::kNoHistory:
      return "no-history";
    case AdmissionReason::kWorkersFree:
      return "workers-free";
    case AdmissionReason::kInTime:
      return "in-time";
    case AdmissionReason::kMayBeLate:
      return "may-be-late";
    case AdmissionReason::kTooLate:
      return "too-late";
  }
  return "unknown";
}

AdmissionEstimate EstimateAdmission(const Submission& job,
                                    const LoadSummary* summary,
                                    Duration age) {
  AdmissionEstimate estimate;
  const auto decide = [&estimate](AdmissionReason reason) {
    estimate.m_reason = reason;
    return estimate;
  };
  if (summary == nullptr) {
    return decide(AdmissionReason::kNoSummary);
  }
  if (age >= kMaxSummaryAge) {
    return decide(AdmissionReason::kStale);
  }
  if (job.m_plan.m_occurrences > 0 || IsLongRunning(job.m_plan)) {
    return decide(AdmissionReason::kNoDeadline);
  }
  const QueueLoad* const queue =
      FindQueueLoad(*summary, NameHash(job.m_queue.m_name));
  if (queue == nullptr) {
    return decide(AdmissionReason::kNoBacklog);
  }
  const bool is_over_share =
      !job.m_tenant.empty() && IsOverShare(*summary, NameHash(job.m_tenant));
  const std::optional<milliseconds> wait = ExpectedWait(*queue, is_over_share);
  if (!wait) {
    return decide(AdmissionReason::kNoHistory);
  }
  const std::uint32_t steps = CriticalPathSteps(job.m_plan);
  estimate.m_wait = *wait;
  estimate.m_run_time = steps * queue->m_step_time;
  estimate.m_objective = ObjectiveOf(job.m_queue, steps, queue->m_step_time);
  estimate.m_late_limit = kLateLimitFactor * estimate.m_objective;
  if (MayStartNow(job.m_plan, queue->m_free)) {
    return decide(AdmissionReason::kWorkersFree);
  }
  const milliseconds end = estimate.m_wait + estimate.m_run_time;
  return decide(end > estimate.m_late_limit  ? AdmissionReason::kTooLate
                : end > estimate.m_objective ? AdmissionReason::kMayBeLate
                                             : AdmissionReason::kInTime);
}

std::int64_t CpuDemandOf(const JobPlan& plan) {
  return std::accumulate(plan.m_steps.begin(), plan.m_steps.end(),
                         std::int64_t{0},
                         [](std::int64_t sum, const StepPlan& step) {
                           return sum + step.m_tasks * step.m_size.m_cpu_milli;
                         });
}

}  // namespace hyssopspar::jobs
