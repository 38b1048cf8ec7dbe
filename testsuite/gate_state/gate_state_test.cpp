#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "gate_state/gate_world.h"
#include "hyssopspar/logging.h"

namespace rc {

template <>
struct Arbitrary<hyssopspar::testsuite::GateStep> {
  static Gen<hyssopspar::testsuite::GateStep> arbitrary() {
    using hyssopspar::testsuite::GateStep;
    return gen::build<GateStep>(
        gen::set(&GateStep::m_action, gen::inRange<std::uint32_t>(0, 14)),
        gen::set(&GateStep::m_target, gen::inRange<std::uint32_t>(0, 30000)),
        gen::set(&GateStep::m_span, gen::inRange<std::uint32_t>(0, 4000)));
  }
};

}  // namespace rc

namespace hyssopspar::testsuite {

void showValue(const GateStep& step, std::ostream& os) {
  os << step.m_action << "/" << step.m_target << "/" << step.m_span;
}

namespace {

using Lines = std::vector<std::string>;

class Gates : public testing::Test {
 protected:
  void SetUp() override { SetLogLevel("critical"); }
};

TEST_F(Gates, AnswerEveryRequestWithoutFaults) {
  GateWorld world(GateWorldSettings{});
  for (int i = 0; i < 8; ++i) {
    world.Call(i % 3, "", milliseconds(500));
  }
  world.Call(0, "order-1", milliseconds(500));
  world.Advance(std::chrono::seconds(2));
  EXPECT_EQ(world.Check(true), Lines());
  for (const std::pair<const RequestId, Caller>& entry : world.Callers()) {
    EXPECT_EQ(entry.second.m_outcome, Outcome::kAnswered);
  }
}

TEST_F(Gates, RepeatThroughAnotherGateGetsTheRecordedAnswer) {
  GateWorld world(GateWorldSettings{});
  world.Call(0, "order-1", milliseconds(500));
  world.Advance(std::chrono::seconds(1));
  world.Call(1, "order-1", milliseconds(500));
  world.Advance(std::chrono::seconds(1));
  EXPECT_EQ(world.Check(true), Lines());
  EXPECT_EQ(world.Executions().size(), 1U);
  EXPECT_TRUE(world.Callers().rbegin()->second.m_replayed);
}

TEST_F(Gates, RepeatAfterTheClaimantsDeathNeverRunsAgain) {
  GateWorld world(GateWorldSettings{});
  world.Call(0, "order-1", milliseconds(500));
  world.Advance(milliseconds(60));
  ASSERT_EQ(world.Executions().size(), 1U);
  world.Kill(0);
  world.Call(1, "order-1", milliseconds(500));
  world.Advance(std::chrono::seconds(2));
  EXPECT_EQ(world.Check(true), Lines());
  EXPECT_EQ(world.Executions().size(), 1U);
  EXPECT_EQ(world.Callers().rbegin()->second.m_outcome, Outcome::kInProgress);
}

TEST_F(Gates, OrdersAreDefinitelyNotRunWhileTheLogIsDown) {
  GateWorld world(GateWorldSettings{});
  world.SetLogDown(true);
  world.Call(0, "order-1", milliseconds(500));
  world.Call(0, "", milliseconds(500));
  world.Advance(std::chrono::seconds(2));
  EXPECT_EQ(world.Check(true), Lines());
  EXPECT_EQ(world.Callers().begin()->second.m_outcome, Outcome::kNotRun);
  EXPECT_EQ(world.Callers().rbegin()->second.m_outcome, Outcome::kAnswered);
}

TEST_F(Gates, SilentEndpointYieldsUnknownAndNoSecondTry) {
  GateWorld world(GateWorldSettings{});
  for (int i = 0; i < world.Endpoints(); ++i) {
    world.At(i).m_silent = true;
  }
  world.Call(0, "", milliseconds(300));
  world.Advance(std::chrono::seconds(1));
  EXPECT_EQ(world.Check(true), Lines());
  EXPECT_EQ(world.Callers().begin()->second.m_outcome, Outcome::kUnknown);
  EXPECT_EQ(world.Executions().size(), 1U);
}

// At most once for each key, one place at a time, "not run" only for what did
// not run, one answer for each caller, whatever fails.
RC_GTEST_FIXTURE_PROP(Gates,
                      KeepPromisesUnderRandomFaults,
                      (std::uint64_t seed,
                       const std::vector<GateStep>& steps)) {
  GateWorldSettings settings;
  settings.m_seed = seed;
  GateWorld world(settings);
  RC_ASSERT(DriveGates(&world, steps) == Lines());
}

}  // namespace
}  // namespace hyssopspar::testsuite
