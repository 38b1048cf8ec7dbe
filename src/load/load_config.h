/// \file
/// Scenario file of `hyssopspar-load`.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hyssopspar/settings_reader.h"
#include "hyssopspar/time.h"

namespace hyssopspar::load {

/// Requests of one tenant and class, arriving at random at a mean rate.
struct TrafficConfig {
  std::string m_service;
  std::string m_class;
  std::string m_tenant;
  double m_rate = 0;  ///< Requests per second.
  bool m_keyed = false;
  /// Share of keyed requests that are sent a second time through another gate.
  double m_repeat = 0;
  milliseconds m_timeout{1000};
  std::size_t m_body_bytes = 200;
};

/// Jobs submitted evenly over the run.
struct BatchConfig {
  std::string m_job;
  std::uint32_t m_count = 0;
};

struct LoadConfig {
  std::string m_name;
  std::vector<std::string> m_gates;
  std::vector<std::string> m_scheds;
  milliseconds m_duration{10000};
  milliseconds m_settle{30000};  ///< Time for jobs to finish afterwards.
  std::uint64_t m_seed = 1;
  int m_threads = 2;
  std::string m_report;  ///< Directory for CSV, SVG and history; may be empty.
  std::vector<TrafficConfig> m_traffic;
  std::vector<BatchConfig> m_batch;
};

LoadConfig ReadLoadConfig(SettingsReader* reader);

}  // namespace hyssopspar::load
