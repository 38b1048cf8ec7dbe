/// \file
/// Settings file of `hyssopspar-gate`.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/gate_settings.h"
#include "hyssopspar/settings_reader.h"

namespace hyssopspar::gate {

struct GateConfig {
  GateSettings m_gate;
  std::string m_listen;
  std::string m_peer_listen;
  std::vector<std::string> m_peers;  ///< Addresses to begin with.
  std::string m_log_address;
  std::string m_vm_list_address;
  std::string m_log_level;
  std::size_t m_body_bytes = 1 << 20;
  std::size_t m_recorded_bytes = 4096;  ///< Largest answer kept for repeats.
  int m_threads = 2;
  milliseconds m_vm_list_period{1000};
  milliseconds m_report_period{50};
  milliseconds m_append_timeout{1000};
  milliseconds m_notice{1000};  ///< Time the balancer needs to look away.
};

GateConfig ReadGateConfig(SettingsReader* reader);

}  // namespace hyssopspar::gate
