#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace fleet {

/// A run of a task, as the workers have seen it. Times count from the start of
/// the fleet.
struct RunSeen {
  std::string m_task;
  std::uint32_t m_run = 0;
  std::string m_worker;
  std::chrono::milliseconds m_began{0};
  std::chrono::milliseconds m_ended{-1};  ///< -1 ms while it runs.
  std::string m_how;                      ///< Empty while it runs.

  bool IsRunning() const { return m_ended < std::chrono::milliseconds(0); }
  bool IsOf(const std::string& job) const {
    return m_task.compare(0, job.size(), job) == 0;
  }
};

}  // namespace fleet
