#include "hyssopspar/jobs/refusals.h"

#include <gtest/gtest.h>

namespace hyssopspar::jobs {
namespace {

constexpr const char* kPool = "pool";

StepPlan Step(std::int64_t cpu_milli, const std::string& label = "") {
  StepPlan step;
  step.m_tasks = 1;
  step.m_size = {cpu_milli, 1000, 0};
  step.m_label = label;
  return step;
}

StepPlan BestEffort(const std::string& image) {
  StepPlan step = Step(1000);
  step.m_is_best_effort = true;
  step.m_image = image;
  return step;
}

TEST(UnschedulableStepCacheTest, CoversStepsThatRequireAtLeastAsMuch) {
  UnschedulableStepCache cache;
  cache.Add(kPool, Step(4000), 7);
  EXPECT_EQ(cache.UnschedulableAt(kPool, Step(4000)), 7U);
  EXPECT_EQ(cache.UnschedulableAt(kPool, Step(8000, "gpu")), 7U);
  EXPECT_EQ(cache.UnschedulableAt(kPool, Step(3999)), 0U);
  EXPECT_EQ(cache.UnschedulableAt("other", Step(4000)), 0U);
}

TEST(UnschedulableStepCacheTest, NamesTheLastChangeThatIsCovered) {
  UnschedulableStepCache cache;
  cache.Add(kPool, Step(4000), 7);
  cache.Add(kPool, Step(6000), 9);
  EXPECT_EQ(cache.UnschedulableAt(kPool, Step(5000)), 7U);
  EXPECT_EQ(cache.UnschedulableAt(kPool, Step(6000)), 9U);
  cache.Add(kPool, Step(4000), 12);
  EXPECT_EQ(cache.UnschedulableAt(kPool, Step(6000)), 12U);
}

TEST(UnschedulableStepCacheTest, KeepsLabelsAndImagesApart) {
  UnschedulableStepCache cache;
  cache.Add(kPool, Step(4000, "gpu"), 7);
  cache.Add(kPool, BestEffort("a"), 8);
  EXPECT_EQ(cache.UnschedulableAt(kPool, Step(4000)), 0U);
  EXPECT_EQ(cache.UnschedulableAt(kPool, BestEffort("a")), 8U);
  EXPECT_EQ(cache.UnschedulableAt(kPool, BestEffort("b")), 0U);
}

TEST(UnschedulableStepCacheTest, IgnoresStepsThatOwnTasksMayHaveLimited) {
  UnschedulableStepCache cache;
  StepPlan limited = Step(1000);
  limited.m_max_tasks_per_worker = 1;
  StepPlan gang = Step(1000);
  gang.m_gang = true;
  cache.Add(kPool, limited, 7);
  cache.Add(kPool, gang, 8);
  EXPECT_EQ(cache.UnschedulableAt(kPool, Step(1000)), 0U);
}

}  // namespace
}  // namespace hyssopspar::jobs
