/// \file
/// What workers record of the attempts they ran, and the check of it.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/time.h"
#include "hyssopspar/worker_control.h"

namespace hyssopspar::standin {

/// One attempt from its start to its end on one worker.
struct AttemptRun {
  AttemptId m_id;
  std::string m_worker;
  std::string m_failure_domain;
  TimePoint m_start;
  TimePoint m_end;  ///< TimePoint::max() while it runs.
  bool m_finished = false;
};

/// Violations of "one place at a time", one line each.
std::vector<std::string> CheckOnePlace(const std::vector<AttemptRun>& runs);

/// Violations of "one place at a time" and "finished once", one line each.
std::vector<std::string> CheckRuns(const std::vector<AttemptRun>& runs);

}  // namespace hyssopspar::standin
