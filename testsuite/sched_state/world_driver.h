/// \file
/// Random scenarios for SchedSimulation: translates generated numbers into
/// faults and operator actions, for the property test and the soak program.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sched_state/sched_world.h"

namespace hyssopspar::testsuite {

/// One step of a scenario. All values are reduced to the valid range.
struct ScenarioStep {
  std::uint32_t m_action = 0;  ///< Index in the table of actions.
  /// Selects the scheduler, worker or failure domain, and the parameters.
  std::uint32_t m_target = 0;
  /// Milliseconds that the simulation advances after the action, in addition to
  /// a fixed minimum.
  std::uint32_t m_span = 0;
};

/// Text form of \p step: the name of its action, its target and its span.
std::string Describe(const ScenarioStep& step);

/// Executes \p step, then advances the simulated time.
void RunStep(SchedSimulation* simulation, const ScenarioStep& step);

/// Executes all steps, ends all faults, allows time for the work to finish, and
/// returns the violations found by CheckCompleted().
std::vector<std::string> RunScenario(SchedSimulation* simulation,
                                     const std::vector<ScenarioStep>& steps);

}  // namespace hyssopspar::testsuite
