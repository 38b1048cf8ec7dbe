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

TEST_F(Gates, AnswerEveryRequestWhenNothingFails) {
  GateSimulation simulation(GateSimulationSettings{});
  for (int i = 0; i < 8; ++i) {
    simulation.Call(i % 3, "", milliseconds(500));
  }
  simulation.Call(0, "order-1", milliseconds(500));
  simulation.Advance(std::chrono::seconds(2));
  EXPECT_EQ(simulation.CheckInvariants(true), Lines());
  for (const std::pair<const RequestId, CallerRequest>& entry :
       simulation.CallerRequests()) {
    EXPECT_EQ(entry.second.m_outcome, Outcome::kAnswered);
  }
}

TEST_F(Gates, RepeatThroughAnotherGateGetsTheRecordedAnswer) {
  GateSimulation simulation(GateSimulationSettings{});
  simulation.Call(0, "order-1", milliseconds(500));
  simulation.Advance(std::chrono::seconds(1));
  simulation.Call(1, "order-1", milliseconds(500));
  simulation.Advance(std::chrono::seconds(1));
  EXPECT_EQ(simulation.CheckInvariants(true), Lines());
  EXPECT_EQ(simulation.Executions().size(), 1U);
  EXPECT_TRUE(simulation.CallerRequests().rbegin()->second.m_replayed);
}

TEST_F(Gates, RepeatAfterClaimingGateWasKilledIsNotRunAgain) {
  GateSimulation simulation(GateSimulationSettings{});
  simulation.Call(0, "order-1", milliseconds(500));
  simulation.Advance(milliseconds(60));
  ASSERT_EQ(simulation.Executions().size(), 1U);
  simulation.Kill(0);
  simulation.Call(1, "order-1", milliseconds(500));
  simulation.Advance(std::chrono::seconds(2));
  EXPECT_EQ(simulation.CheckInvariants(true), Lines());
  EXPECT_EQ(simulation.Executions().size(), 1U);
  EXPECT_EQ(simulation.CallerRequests().rbegin()->second.m_outcome,
            Outcome::kInProgress);
}

TEST_F(Gates, KeyedRequestIsReportedNotRunWhileLogIsDown) {
  GateSimulation simulation(GateSimulationSettings{});
  simulation.SetLogDown(true);
  simulation.Call(0, "order-1", milliseconds(500));
  simulation.Call(0, "", milliseconds(500));
  simulation.Advance(std::chrono::seconds(2));
  EXPECT_EQ(simulation.CheckInvariants(true), Lines());
  EXPECT_EQ(simulation.CallerRequests().begin()->second.m_outcome,
            Outcome::kNotRun);
  EXPECT_EQ(simulation.CallerRequests().rbegin()->second.m_outcome,
            Outcome::kAnswered);
}

TEST_F(Gates, LostAnswerOfEndpointGivesOutcomeUnknownWithoutRetry) {
  GateSimulation simulation(GateSimulationSettings{});
  for (int i = 0; i < simulation.Endpoints(); ++i) {
    simulation.EndpointAt(i).m_drops_answers = true;
  }
  simulation.Call(0, "", milliseconds(300));
  simulation.Advance(std::chrono::seconds(1));
  EXPECT_EQ(simulation.CheckInvariants(true), Lines());
  EXPECT_EQ(simulation.CallerRequests().begin()->second.m_outcome,
            Outcome::kUnknown);
  EXPECT_EQ(simulation.Executions().size(), 1U);
}

// Under any faults: each idempotency key runs at most once, each request runs
// at one endpoint at most, "not run" is reported only for requests that did not
// run, and each caller gets exactly one answer.
RC_GTEST_FIXTURE_PROP(Gates,
                      KeepInvariantsUnderRandomFaults,
                      (std::uint64_t seed,
                       const std::vector<GateStep>& steps)) {
  GateSimulationSettings settings;
  settings.m_seed = seed;
  GateSimulation simulation(settings);
  RC_ASSERT(RunSteps(&simulation, steps) == Lines());
}

}  // namespace
}  // namespace hyssopspar::testsuite
