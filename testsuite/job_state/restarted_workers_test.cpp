// Workers that restart under their ids while orders to them are on the way.

#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

#include "hyssopspar/logging.h"
#include "job_state/job_world.h"

namespace hyssopspar::jobs {
namespace {

class RestartedWorkersTest : public testing::TestWithParam<int> {
 protected:
  /// HYSSOPSPAR_TEST_LOG=info prints the owners' decisions.
  void SetUp() override {
    const char* const level = std::getenv("HYSSOPSPAR_TEST_LOG");
    SetLogLevel(level == nullptr ? "off" : level);
  }

  static JobSimulationOptions Options() {
    JobSimulationOptions options;
    options.m_seed = static_cast<std::uint64_t>(GetParam());
    options.m_workers = 16;
    options.m_jobs = 60;
    options.m_fault_count = 0;
    options.m_delayed_orders_outlive_workers = true;
    options.m_delayed_order_share = 0;
    options.m_decide_at_deadlines = true;
    options.m_misobserved.m_silent_losses = 30;
    options.m_misobserved.m_cuts = 40;
    options.m_misobserved.m_lasting_jobs = 6;
    return options;
  }

  /// Violations by tasks that ran twice.
  static std::string Repetitions(const JobSimulation& simulation) {
    std::string repetitions;
    for (const std::string& violation : simulation.Violations()) {
      if (violation.find("two workers at once") != std::string::npos ||
          violation.find("completion was acknowledged") != std::string::npos) {
        repetitions += violation + "\n";
      }
    }
    return repetitions;
  }
};

// Tasks ran twice when an order reached a worker's later incarnation, which
// counts leases by another clock.
TEST_P(RestartedWorkersTest, RunNoTaskTwice) {
  JobSimulation simulation(Options());
  simulation.Run();
  EXPECT_EQ(Repetitions(simulation), "");
  EXPECT_GT(simulation.Completed(), 10U);
}

// Same with owners that stand still, so that a successor takes over.
TEST_P(RestartedWorkersTest, RunNoTaskTwiceUnderNewOwners) {
  JobSimulationOptions options = Options();
  options.m_misobserved.m_owner_pauses = 10;
  JobSimulation simulation(options);
  simulation.Run();
  EXPECT_EQ(Repetitions(simulation), "");
  EXPECT_GT(simulation.Completed(), 10U);
}

// Same with orders that are carried out seconds late.
TEST_P(RestartedWorkersTest, RunNoTaskTwiceByDelayedOrders) {
  JobSimulationOptions options = Options();
  options.m_delayed_order_share = 0.05;
  JobSimulation simulation(options);
  simulation.Run();
  EXPECT_EQ(Repetitions(simulation), "");
  EXPECT_GT(simulation.Completed(), 10U);
}

/// HYSSOPSPAR_LAST_SEED plays more seeds than CI does.
int LastSeed() {
  const char* const value = std::getenv("HYSSOPSPAR_LAST_SEED");
  return value == nullptr ? 30 : std::atoi(value);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         RestartedWorkersTest,
                         testing::Range(1, LastSeed() + 1));

}  // namespace
}  // namespace hyssopspar::jobs
