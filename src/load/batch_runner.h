/// \file
/// Submits jobs and follows them to their end.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load/load_config.h"

namespace hyssopspar::load {

/// What came of one submitted job.
struct JobRecord {
  std::string m_job;
  std::string m_key;
  std::string m_id;  ///< Empty when the submit was not accepted.
  std::uint32_t m_tasks = 0;
  std::uint32_t m_finished = 0;
  std::uint32_t m_cancelled = 0;
  std::uint32_t m_parked = 0;
  std::uint32_t m_attempts = 0;
  TimePoint m_submitted;
  TimePoint m_ended;  ///< TimePoint() while tasks are under way.
};

/// Submits the scenario's jobs over its duration, then waits up to its settle
/// time for their tasks to end.
std::vector<JobRecord> RunBatch(const LoadConfig& config);

}  // namespace hyssopspar::load
