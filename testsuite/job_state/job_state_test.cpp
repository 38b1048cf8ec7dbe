#include <gtest/gtest.h>

#include <numeric>

#include "hyssopspar/logging.h"
#include "job_state/job_world.h"

namespace hyssopspar::jobs {
namespace {

std::string Join(const std::vector<std::string>& lines) {
  return std::accumulate(lines.begin(), lines.end(), std::string(),
                         [](const std::string& all, const std::string& line) {
                           return all + line + "\n";
                         });
}

class JobWorldTest : public testing::Test {
 protected:
  void SetUp() override { SetLogLevel("off"); }
};

TEST_F(JobWorldTest, CalmWorldFinishesEveryJob) {
  JobWorldOptions options;
  options.m_faults = false;
  JobWorld world(options);
  world.Run();
  EXPECT_EQ(Join(world.Violations()), "");
  EXPECT_GT(world.Completed(), 30U);
}

class JobWorldSeedTest : public JobWorldTest,
                         public testing::WithParamInterface<int> {};

TEST_P(JobWorldSeedTest, PromisesHoldUnderFaults) {
  JobWorldOptions options;
  options.m_seed = static_cast<std::uint64_t>(GetParam());
  JobWorld world(options);
  world.Run();
  EXPECT_EQ(Join(world.Violations()), "") << "seed " << GetParam();
  EXPECT_GT(world.Starts(), 100U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, JobWorldSeedTest, testing::Range(1, 41));

}  // namespace
}  // namespace hyssopspar::jobs
