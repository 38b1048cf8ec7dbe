/// \file
/// Settings of `hyssopspar-standin`, the simulated platform for tests.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hyssopspar/resources.h"
#include "hyssopspar/settings_reader.h"
#include "hyssopspar/time.h"

namespace hyssopspar::standin {

/// One failure domain of the simulated platform, and its VMs.
struct DomainSettings {
  std::string m_name;
  std::int64_t m_worker_count = 0;
  std::int64_t m_endpoint_count = 0;
};

/// A request class and the mean time an endpoint takes to serve it.
struct ClassSettings {
  std::string m_name;
  milliseconds m_service_time{30};
};

struct StandinSettings {
  std::string m_listen = "127.0.0.1:0";
  std::string m_log_level = "info";
  std::string m_service_name;  ///< Service that all endpoints belong to.
  std::int64_t m_workers_per_rack = 6;
  Resources m_worker_capacity;
  std::int64_t m_slots = 8;  ///< Requests an endpoint serves concurrently.
  std::int64_t m_max_connections = 64;        ///< Of one endpoint.
  std::int64_t m_retention_records = 100000;  ///< Kept in each log stream.
  milliseconds m_append_delay{2};             ///< Latency of an append.
  milliseconds m_vm_list_lag{1000};  ///< Age of the VM list that is returned.
  milliseconds m_usage_lag{5000};    ///< Age of the usage that is reported.
  std::int64_t m_seed = 1;
  /// Whether actual run times deviate from the declared ones.
  bool m_randomize_run_times = true;
  std::vector<DomainSettings> m_domain_settings;
  std::vector<ClassSettings> m_class_settings;
};

/// Reads all settings and reports problems to \p reader.
StandinSettings ReadStandinSettings(SettingsReader* reader);

}  // namespace hyssopspar::standin
