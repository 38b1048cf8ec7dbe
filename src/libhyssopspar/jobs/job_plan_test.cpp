#include "hyssopspar/jobs/job_plan.h"

#include <gtest/gtest.h>

#include "hyssopspar/jobs/records.h"

namespace hyssopspar::jobs {
namespace {

JobPlan PlanOf(std::uint32_t tasks) {
  JobPlan plan;
  StepPlan step;
  step.m_tasks = tasks;
  step.m_size = {1000, 1000, 0};
  plan.m_steps = {step, step};
  plan.m_steps[1].m_depends_on = {0};
  return plan;
}

TEST(JobPlanTest, AcceptsOrdinaryJobs) {
  EXPECT_TRUE(ValidatePlan(PlanOf(10)));
  JobPlan repeated = PlanOf(10);
  repeated.m_occurrences = 100;
  EXPECT_TRUE(ValidatePlan(repeated));
}

// One such job would take all of the owner's memory, and then that of each
// successor.
TEST(JobPlanTest, RefusesJobsWhoseOccurrencesExceedTheOwnersMemory) {
  JobPlan plan = PlanOf(5000);
  plan.m_occurrences = 10000;
  const Result<void> result = ValidatePlan(plan);
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().m_code, ErrorCode::kInvalidArgument);
}

TEST(JobPlanTest, RefusesWhatCannotBeScheduled) {
  EXPECT_FALSE(ValidatePlan(JobPlan()));
  EXPECT_FALSE(ValidatePlan(PlanOf(0)));
  EXPECT_FALSE(ValidatePlan(PlanOf(5001)));
  JobPlan forward = PlanOf(1);
  forward.m_steps[0].m_depends_on = {1};
  EXPECT_FALSE(ValidatePlan(forward));
  JobPlan negative = PlanOf(1);
  negative.m_steps[0].m_size.m_memory_mib = -1;
  EXPECT_FALSE(ValidatePlan(negative));
  JobPlan huge = PlanOf(1);
  huge.m_steps[0].m_size.m_cpu_milli = std::int64_t{1} << 60;
  EXPECT_FALSE(ValidatePlan(huge));
  JobPlan long_payload = PlanOf(1);
  long_payload.m_payload.assign(4001, 'x');
  EXPECT_FALSE(ValidatePlan(long_payload));
}

// What the store returns is checked like what callers send.
TEST(JobPlanTest, StoredJobWithAnImpossiblePlanIsMalformed) {
  Submission job;
  job.m_id = "0123456789abcdef";
  job.m_plan = PlanOf(3);
  EXPECT_TRUE(DecodeSubmission(EncodeSubmission(job)));
  job.m_plan.m_steps[1].m_depends_on = {7};
  EXPECT_FALSE(DecodeSubmission(EncodeSubmission(job)));
}

}  // namespace
}  // namespace hyssopspar::jobs
