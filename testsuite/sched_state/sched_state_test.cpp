#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "hyssopspar/logging.h"
#include "sched_state/sched_world.h"
#include "sched_state/world_driver.h"

namespace rc {

template <>
struct Arbitrary<hyssopspar::testsuite::ScenarioStep> {
  static Gen<hyssopspar::testsuite::ScenarioStep> arbitrary() {
    using hyssopspar::testsuite::ScenarioStep;
    return gen::build<ScenarioStep>(
        gen::set(&ScenarioStep::m_action, gen::inRange<std::uint32_t>(0, 24)),
        gen::set(&ScenarioStep::m_target,
                 gen::inRange<std::uint32_t>(0, 30000)),
        gen::set(&ScenarioStep::m_span, gen::inRange<std::uint32_t>(0, 4000)));
  }
};

}  // namespace rc

namespace hyssopspar::testsuite {

void showValue(const ScenarioStep& step, std::ostream& os) {
  os << Describe(step);
}

namespace {

/// Limits log output to critical messages, which report broken invariants.
class SchedStateTest : public testing::Test {
 protected:
  void SetUp() override { SetLogLevel("critical"); }
};

TEST_F(SchedStateTest, EveryTaskFinishesOnceWithoutFaults) {
  SchedSimulation simulation(SimulationSettings{});
  simulation.Advance(std::chrono::seconds(3));
  for (int i = 0; i < 6; ++i) {
    simulation.Submit(4, 1000, milliseconds(1500));
  }
  simulation.Advance(std::chrono::seconds(30));
  EXPECT_EQ(simulation.CheckCompleted(), std::vector<std::string>());
  EXPECT_EQ(simulation.StartCount(), 24U);
}

TEST_F(SchedStateTest, KilledOwnerIsReplacedWithoutRestartingTasks) {
  SchedSimulation simulation(SimulationSettings{});
  simulation.Advance(std::chrono::seconds(3));
  simulation.Submit(4, 1000, milliseconds(8000));
  simulation.Submit(4, 1000, milliseconds(8000));
  simulation.Advance(std::chrono::seconds(2));
  simulation.Kill(0);
  simulation.Advance(std::chrono::seconds(60));
  EXPECT_EQ(simulation.Check(), std::vector<std::string>());
  // The new owner adopts the running tasks and starts none again.
  EXPECT_EQ(simulation.StartCount(), 8U);
}

TEST_F(SchedStateTest, TasksKeepRunningDuringLogOutage) {
  SchedSimulation simulation(SimulationSettings{});
  simulation.Advance(std::chrono::seconds(3));
  simulation.Submit(4, 1000, milliseconds(12000));
  simulation.Advance(std::chrono::seconds(2));
  simulation.SetLogDown(true);
  simulation.Advance(std::chrono::seconds(15));
  simulation.SetLogDown(false);
  simulation.Advance(std::chrono::seconds(60));
  EXPECT_EQ(simulation.CheckCompleted(), std::vector<std::string>());
  EXPECT_EQ(simulation.StartCount(), 4U);
}

TEST_F(SchedStateTest, TasksKeepRunningDuringElevenMinuteLogOutage) {
  SimulationSettings settings;
  settings.m_outage_limit = std::chrono::minutes(15);
  SchedSimulation simulation(settings);
  simulation.Advance(std::chrono::seconds(3));
  // The tasks of the first job end during the outage, those of the second job
  // after it.
  simulation.Submit(3, 1000, std::chrono::minutes(3));
  simulation.Submit(3, 1000, std::chrono::minutes(30));
  simulation.Advance(std::chrono::seconds(3));
  const std::uint64_t starts_before = simulation.StartCount();
  simulation.SetLogDown(true);
  simulation.Advance(std::chrono::minutes(11));
  EXPECT_EQ(simulation.StartCount(), starts_before);
  simulation.SetLogDown(false);
  simulation.Advance(std::chrono::minutes(90));
  EXPECT_EQ(simulation.CheckCompleted(), std::vector<std::string>());
  EXPECT_EQ(simulation.StartCount(), 6U);
}

TEST_F(SchedStateTest, EveryTaskReachesOneFinalStateInBurstOfCancellations) {
  SchedSimulation simulation(SimulationSettings{});
  simulation.Advance(std::chrono::seconds(3));
  for (int i = 0; i < 40; ++i) {
    simulation.Submit(2, 800, milliseconds(300 + 100 * i));
  }
  simulation.Advance(std::chrono::seconds(2));
  for (int i = 0; i < 20; ++i) {
    simulation.CancelNextJob();
  }
  simulation.Advance(std::chrono::seconds(90));
  EXPECT_EQ(simulation.CheckCompleted(), std::vector<std::string>());
}

TEST_F(SchedStateTest, TasksFinishAfterFailureDomainIsTakenOutOfService) {
  SchedSimulation simulation(SimulationSettings{});
  simulation.Advance(std::chrono::seconds(3));
  simulation.Submit(6, 1000, milliseconds(6000));
  simulation.Submit(6, 1000, milliseconds(6000));
  simulation.Advance(std::chrono::seconds(2));
  simulation.SetOutOfService(0, true);
  simulation.Advance(std::chrono::seconds(90));
  EXPECT_EQ(simulation.CheckCompleted(), std::vector<std::string>());
}

// Under any sequence of faults no task runs in two places or finishes twice, no
// worker is overcommitted, and no task starts in a failure domain that has been
// out of service for longer than a few seconds. After the faults end, every
// task reaches a final state.
RC_GTEST_FIXTURE_PROP(SchedStateTest,
                      InvariantsHoldUnderRandomFaults,
                      (std::uint64_t seed,
                       const std::vector<ScenarioStep>& steps)) {
  SimulationSettings settings;
  settings.m_seed = seed;
  SchedSimulation simulation(settings);
  const std::vector<std::string> violations = RunScenario(&simulation, steps);
  RC_ASSERT(violations == std::vector<std::string>());
}

}  // namespace
}  // namespace hyssopspar::testsuite
