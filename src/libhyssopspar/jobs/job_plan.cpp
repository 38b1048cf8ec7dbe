#include "hyssopspar/jobs/job_plan.h"

#include <algorithm>
#include <numeric>

namespace hyssopspar::jobs {

namespace {

constexpr std::size_t kMaxPayloadBytes = 4000;
constexpr std::size_t kMaxSteps = 64;
/// Limit of the tasks of one occurrence.
constexpr std::uint64_t kMaxTasks = 10000;
/// Limit of each resource of a task: a million processors or a petabyte. Sums
/// over all tasks stay far below the range of the type.
constexpr std::int64_t kMaxTaskResource = 1000000000;

/// Limits of a task's times and of the Unix time of the last occurrence, in
/// milliseconds.
constexpr milliseconds kMaxTaskTime{10000000000};
constexpr std::int64_t kMaxDueUnixMs = 1000000000000000;

/// True if no occurrence is due before 1970 or after kMaxDueUnixMs.
bool HasPossibleDueTimes(const JobPlan& plan) {
  const std::int64_t span = kMaxDueUnixMs - plan.m_first_due_unix_ms;
  return plan.m_first_due_unix_ms >= 0 && span >= 0 &&
         plan.m_interval >= milliseconds(0) &&
         (plan.m_occurrences == 0 ||
          plan.m_interval.count() <= span / plan.m_occurrences);
}

bool IsPossibleTime(milliseconds time) {
  return time >= milliseconds(0) && time <= kMaxTaskTime;
}

bool IsPossibleSize(const Resources& size) {
  return IsNonNegative(size) && size.m_cpu_milli <= kMaxTaskResource &&
         size.m_memory_mib <= kMaxTaskResource &&
         size.m_accelerators <= kMaxTaskResource;
}

/// Returns the first rule that the step with the number \p index breaks, or
/// null.
const char* FindStepError(const StepPlan& step, std::size_t index) {
  if (step.m_tasks == 0) {
    return "a step needs a task";
  }
  if (!IsPossibleSize(step.m_size)) {
    return "a task's size is negative or too large";
  }
  if (!IsPossibleTime(step.m_estimate) ||
      !IsPossibleTime(step.m_tail_latency_target)) {
    return "a task's time is negative or too long";
  }
  const bool depends_on_earlier = std::all_of(
      step.m_depends_on.begin(), step.m_depends_on.end(),
      [index](std::uint32_t dependency) { return dependency < index; });
  return depends_on_earlier ? nullptr
                            : "a step may depend on earlier steps only";
}

/// Returns the first rule that \p plan breaks, or null.
const char* FindPlanError(const JobPlan& plan) {
  if (plan.m_payload.size() > kMaxPayloadBytes) {
    return "the specification of the tasks is too long";
  }
  if (plan.m_steps.empty() || plan.m_steps.size() > kMaxSteps) {
    return "a job needs 1 to 64 steps";
  }
  if (!HasPossibleDueTimes(plan)) {
    return "an occurrence is due too far in the future";
  }
  std::uint64_t tasks = 0;
  for (std::size_t i = 0; i < plan.m_steps.size(); ++i) {
    const char* const error = FindStepError(plan.m_steps[i], i);
    if (error != nullptr) {
      return error;
    }
    tasks += plan.m_steps[i].m_tasks;
  }
  if (tasks > kMaxTasks) {
    return "a job may have at most 10000 tasks";
  }
  if (tasks * std::max<std::uint64_t>(1, plan.m_occurrences) >
      kMaxTasksOfAllOccurrences) {
    return "a job may have at most 50000 tasks in all occurrences together";
  }
  return nullptr;
}

}  // namespace

std::uint64_t CountTasks(const JobPlan& plan) {
  const std::uint64_t tasks = std::accumulate(
      plan.m_steps.begin(), plan.m_steps.end(), std::uint64_t{0},
      [](std::uint64_t sum, const StepPlan& step) {
        return sum + step.m_tasks;
      });
  return tasks * std::max<std::uint64_t>(1, plan.m_occurrences);
}

Result<void> ValidatePlan(const JobPlan& plan) {
  const char* const error = FindPlanError(plan);
  if (error != nullptr) {
    return Fail(ErrorCode::kInvalidArgument, error);
  }
  return Ok();
}

}  // namespace hyssopspar::jobs
