/// \file
/// Settings of the stand-in platform.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hyssopspar/resources.h"
#include "hyssopspar/settings_reader.h"
#include "hyssopspar/time.h"

namespace hyssopspar::standin {

struct DomainSettings {
  std::string m_name;
  std::int64_t m_workers = 0;
  std::int64_t m_endpoints = 0;
};

/// Mean service time of a class of requests.
struct ClassSettings {
  std::string m_name;
  milliseconds m_service{30};
};

struct StandinSettings {
  std::string m_listen = "127.0.0.1:0";
  std::string m_log_level = "info";
  std::string m_service;
  std::int64_t m_rack_size = 6;
  Resources m_worker;
  std::int64_t m_slots = 8;
  std::int64_t m_connections = 64;
  std::int64_t m_retention = 100000;
  milliseconds m_append_delay{2};
  milliseconds m_vm_list_lag{1000};
  milliseconds m_usage_lag{5000};
  std::int64_t m_seed = 1;
  bool m_spread_work = true;
  std::vector<DomainSettings> m_domains;
  std::vector<ClassSettings> m_classes;
};

StandinSettings ReadStandinSettings(SettingsReader* reader);

}  // namespace hyssopspar::standin
