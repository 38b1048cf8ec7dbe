#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace fleet {

struct FleetOptions {
  std::string m_program;
  std::string m_log_dir;
  std::string m_scenario = "mixed";
  std::uint64_t m_seed = 1;
  std::chrono::seconds m_duration{40};  ///< In which disruptions begin.
  int m_nodes = 3;
  int m_workers = 12;
  int m_max_attempts = 3;
};

}  // namespace fleet
