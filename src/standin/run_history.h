/// \file
/// Records of the attempts that workers ran, and checks of their invariants.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/time.h"
#include "hyssopspar/worker_control.h"

namespace hyssopspar::standin {

/// An attempt of a task on one worker.
struct AttemptRun {
  AttemptId m_id;
  std::string m_worker;
  std::string m_failure_domain;
  TimePoint m_start;
  TimePoint m_end;  ///< TimePoint::max() while running.
  bool m_finished = false;
};

/// Checks that no two attempts of a task ran at the same time. Returns one line
/// for each violation.
std::vector<std::string> CheckNoConcurrentAttempts(
    const std::vector<AttemptRun>& runs);

/// Performs CheckNoConcurrentAttempts(), and checks that no task finished more
/// than once. Returns one line for each violation.
std::vector<std::string> CheckRunInvariants(
    const std::vector<AttemptRun>& runs);

}  // namespace hyssopspar::standin
