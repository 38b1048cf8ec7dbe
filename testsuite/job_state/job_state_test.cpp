#include <gtest/gtest.h>

#include <cstdlib>
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
  /// HYSSOPSPAR_TEST_LOG=info shows what the owners decide.
  void SetUp() override {
    const char* const level = std::getenv("HYSSOPSPAR_TEST_LOG");
    SetLogLevel(level == nullptr ? "off" : level);
  }
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

class GangWorldTest : public JobWorldTest,
                      public testing::WithParamInterface<int> {};

TEST_P(GangWorldTest, GangsMeetThoughSomeStartsNeverLeave) {
  JobWorldOptions options;
  options.m_seed = static_cast<std::uint64_t>(GetParam());
  options.m_faults = false;
  options.m_gangs = true;
  options.m_not_sent_share = 0.03;
  JobWorld world(options);
  world.Run();
  EXPECT_EQ(Join(world.Violations()), "") << "seed " << GetParam();
  EXPECT_GT(world.Completed(), 30U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, GangWorldTest, testing::Range(1, 21));

class AdvisedWorldTest : public JobWorldTest,
                         public testing::WithParamInterface<int> {};

TEST_P(AdvisedWorldTest, JobsFinishOnTheWorkersThatMayRunThem) {
  JobWorldOptions options;
  options.m_seed = static_cast<std::uint64_t>(GetParam());
  options.m_advised = true;
  JobWorld world(options);
  world.Run();
  EXPECT_EQ(Join(world.Violations()), "") << "seed " << GetParam();
  EXPECT_GT(world.Starts(), 100U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, AdvisedWorldTest, testing::Range(1, 31));

INSTANTIATE_TEST_SUITE_P(Seeds, JobWorldSeedTest, testing::Range(1, 121));

// Seeds that failed once. 28: an end that was given up as lapsed was reported
// after the task had been placed again. 36: starts reached a worker's new life
// before its first hold. 82, 362, 368, 467: a worker's new life was told to
// forget ends by the numbers of the earlier one.
INSTANTIATE_TEST_SUITE_P(Regressions,
                         JobWorldSeedTest,
                         testing::Values(28, 36, 82, 362, 368, 467));

}  // namespace
}  // namespace hyssopspar::jobs
