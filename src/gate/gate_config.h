/// \file
/// Settings file of `hyssopspar-gate`.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/gate_settings.h"
#include "hyssopspar/resource_limits.h"
#include "hyssopspar/settings_reader.h"

namespace hyssopspar::gate {

/// Settings of the process.
struct GateConfig {
  GateSettings m_gate;
  std::string m_listen;
  std::string m_peer_listen;
  std::vector<std::string> m_seed_peers;  ///< Peers contacted from the start.
  std::string m_log_address;
  std::string m_vm_list_address;
  std::string m_log_level;
  ResourceLimits m_limits;
  std::size_t m_max_body_bytes = 1 << 20;  ///< Largest request body.
  /// Largest answer body that is recorded under an idempotency key.
  std::size_t m_max_recorded_body_bytes = 4096;
  int m_threads = 2;  ///< Threads of the HTTP server; the client has as many.
  milliseconds m_vm_list_period{1000};
  milliseconds m_report_period{50};     ///< Time between reports to peers.
  milliseconds m_append_timeout{1000};  ///< Time limit of one append.
  /// Time for which the gate reports itself not ready before it stops accepting
  /// requests, so that the load balancer stops using it.
  milliseconds m_shutdown_notice{1000};
};

/// Reads all settings. \p reader records missing and invalid ones.
GateConfig ReadGateConfig(SettingsReader* reader);

}  // namespace hyssopspar::gate
