/// \file
/// Submits the batch jobs of a scenario and polls them until they end.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load/load_config.h"

namespace hyssopspar::load {

/// A submitted job and its last polled state.
struct JobOutcome {
  std::string m_job;
  std::string m_key;
  std::string m_id;  ///< Empty when the job was not accepted.
  std::uint32_t m_task_count = 0;
  std::uint32_t m_finished_tasks = 0;
  std::uint32_t m_cancelled_tasks = 0;
  std::uint32_t m_parked_tasks = 0;
  std::uint32_t m_attempt_count = 0;  ///< Sum over all tasks.
  TimePoint m_submit_time;
  /// Time of the first poll that found all tasks finished, cancelled or parked;
  /// TimePoint() until then.
  TimePoint m_end_time;
};

/// Submits the scenario's jobs evenly over its duration, then waits up to its
/// settle time for all tasks to end.
std::vector<JobOutcome> RunBatchJobs(const LoadConfig& config);

}  // namespace hyssopspar::load
