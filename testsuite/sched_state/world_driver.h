/// \file
/// Turns numbers into faults, so that random tests and long runs share them.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sched_state/sched_world.h"

namespace hyssopspar::testsuite {

/// One generated step: what to do, to whom, and how long to let it be.
struct DriverStep {
  std::uint32_t m_action = 0;
  std::uint32_t m_target = 0;
  std::uint32_t m_span = 0;
};

/// Name of the action of a step, for reports.
std::string Describe(const DriverStep& step);

/// Carries out \p step, then lets time pass.
void Drive(SchedWorld* world, const DriverStep& step);

/// Runs all steps, heals the world and lets it finish. Returns violations.
std::vector<std::string> DriveAll(SchedWorld* world,
                                  const std::vector<DriverStep>& steps);

}  // namespace hyssopspar::testsuite
