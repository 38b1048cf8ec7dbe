/// \file
/// Scenario file of `hyssopspar-load`: the requests and jobs to send.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hyssopspar/settings_reader.h"
#include "hyssopspar/time.h"

namespace hyssopspar::load {

/// Requests of one tenant and class, sent as a Poisson process.
struct TrafficConfig {
  std::string m_service;
  std::string m_class;
  std::string m_tenant;
  double m_requests_per_second = 0;  ///< Mean rate.
  bool m_uses_idempotency_key = false;
  /// Probability that a request with an idempotency key is sent a second time,
  /// through a gate drawn at random.
  double m_repeat_probability = 0;
  milliseconds m_timeout{1000};
  std::size_t m_body_bytes = 200;
};

/// Instances of one configured job to submit.
struct BatchConfig {
  std::string m_job;
  std::uint32_t m_count = 0;
};

/// A scenario.
struct LoadConfig {
  std::string m_name;
  std::vector<std::string> m_gates;   ///< Addresses of gates.
  std::vector<std::string> m_scheds;  ///< Addresses of schedulers.
  milliseconds m_duration{10000};     ///< Time over which load is sent.
  /// Time limit for jobs to end after m_duration.
  milliseconds m_settle_time{30000};
  std::uint64_t m_seed = 1;
  int m_threads = 2;
  std::string m_report_directory;  ///< For WriteReport(); empty for none.
  std::vector<TrafficConfig> m_traffic;
  std::vector<BatchConfig> m_batches;
};

/// Reads the scenario and reports problems to \p reader.
LoadConfig ReadLoadConfig(SettingsReader* reader);

}  // namespace hyssopspar::load
