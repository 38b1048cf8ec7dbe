#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "hyssopspar/logging.h"
#include "sched_state/sched_world.h"
#include "sched_state/world_driver.h"

namespace rc {

template <>
struct Arbitrary<hyssopspar::testsuite::DriverStep> {
  static Gen<hyssopspar::testsuite::DriverStep> arbitrary() {
    using hyssopspar::testsuite::DriverStep;
    return gen::build<DriverStep>(
        gen::set(&DriverStep::m_action, gen::inRange<std::uint32_t>(0, 24)),
        gen::set(&DriverStep::m_target, gen::inRange<std::uint32_t>(0, 30000)),
        gen::set(&DriverStep::m_span, gen::inRange<std::uint32_t>(0, 4000)));
  }
};

}  // namespace rc

namespace hyssopspar::testsuite {

void showValue(const DriverStep& step, std::ostream& os) {
  os << Describe(step);
}

namespace {

class Quiet : public testing::Test {
 protected:
  void SetUp() override { SetLogLevel("critical"); }
};

TEST_F(Quiet, WorkFinishesOnceWithoutFaults) {
  SchedWorld world(WorldSettings{});
  world.Advance(std::chrono::seconds(3));
  for (int i = 0; i < 6; ++i) {
    world.Submit(4, 1000, milliseconds(1500));
  }
  world.Advance(std::chrono::seconds(30));
  EXPECT_EQ(world.CheckEnded(), std::vector<std::string>());
  EXPECT_EQ(world.Starts(), 24U);
}

TEST_F(Quiet, AKilledOwnerIsReplacedAndItsTasksGoOn) {
  SchedWorld world(WorldSettings{});
  world.Advance(std::chrono::seconds(3));
  world.Submit(4, 1000, milliseconds(8000));
  world.Submit(4, 1000, milliseconds(8000));
  world.Advance(std::chrono::seconds(2));
  world.Kill(0);
  world.Advance(std::chrono::seconds(60));
  EXPECT_EQ(world.Check(), std::vector<std::string>());
  // Adopted rather than started again.
  EXPECT_EQ(world.Starts(), 8U);
}

TEST_F(Quiet, TasksRunThroughALogOutage) {
  SchedWorld world(WorldSettings{});
  world.Advance(std::chrono::seconds(3));
  world.Submit(4, 1000, milliseconds(12000));
  world.Advance(std::chrono::seconds(2));
  world.SetLogDown(true);
  world.Advance(std::chrono::seconds(15));
  world.SetLogDown(false);
  world.Advance(std::chrono::seconds(60));
  EXPECT_EQ(world.CheckEnded(), std::vector<std::string>());
  EXPECT_EQ(world.Starts(), 4U);
}

TEST_F(Quiet, TasksRunThroughAnOutageOfElevenMinutes) {
  WorldSettings settings;
  settings.m_outage_limit = std::chrono::minutes(15);
  SchedWorld world(settings);
  world.Advance(std::chrono::seconds(3));
  // One that ends during the outage, and one that outlasts it.
  world.Submit(3, 1000, std::chrono::minutes(3));
  world.Submit(3, 1000, std::chrono::minutes(30));
  world.Advance(std::chrono::seconds(3));
  const std::uint64_t before = world.Starts();
  world.SetLogDown(true);
  world.Advance(std::chrono::minutes(11));
  EXPECT_EQ(world.Starts(), before);
  world.SetLogDown(false);
  world.Advance(std::chrono::minutes(90));
  EXPECT_EQ(world.CheckEnded(), std::vector<std::string>());
  EXPECT_EQ(world.Starts(), 6U);
}

TEST_F(Quiet, ABurstOfCancellationsHasOneWinnerForEachTask) {
  SchedWorld world(WorldSettings{});
  world.Advance(std::chrono::seconds(3));
  for (int i = 0; i < 40; ++i) {
    world.Submit(2, 800, milliseconds(300 + 100 * i));
  }
  world.Advance(std::chrono::seconds(2));
  for (int i = 0; i < 20; ++i) {
    world.CancelOldest();
  }
  world.Advance(std::chrono::seconds(90));
  EXPECT_EQ(world.CheckEnded(), std::vector<std::string>());
}

TEST_F(Quiet, WorkLeavesADomainThatIsTakenOut) {
  SchedWorld world(WorldSettings{});
  world.Advance(std::chrono::seconds(3));
  world.Submit(6, 1000, milliseconds(6000));
  world.Submit(6, 1000, milliseconds(6000));
  world.Advance(std::chrono::seconds(2));
  world.SetOut(0, true);
  world.Advance(std::chrono::seconds(90));
  EXPECT_EQ(world.CheckEnded(), std::vector<std::string>());
}

// The property that matters: whatever happens, no task runs in two places or
// finishes twice, no worker is overcommitted, nothing starts in a domain long
// out of service, and once the faults end all work ends.
RC_GTEST_FIXTURE_PROP(Quiet,
                      HoldsUnderRandomFaults,
                      (std::uint64_t seed,
                       const std::vector<DriverStep>& steps)) {
  WorldSettings settings;
  settings.m_seed = seed;
  SchedWorld world(settings);
  const std::vector<std::string> violations = DriveAll(&world, steps);
  RC_ASSERT(violations == std::vector<std::string>());
}

}  // namespace
}  // namespace hyssopspar::testsuite
