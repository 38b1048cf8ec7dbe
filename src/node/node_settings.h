/// \file
/// Settings of hyssopspar-node.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/jobs/cell_settings.h"
#include "hyssopspar/jobs/ownership.h"
#include "hyssopspar/settings_reader.h"
#include "hyssopspar/time.h"

namespace hyssopspar::node {

struct NodeSettings {
  std::string m_name;
  std::string m_failure_domain;
  std::string m_store_address;
  std::string m_adviser_address;  ///< "" where there is no adviser.
  std::string m_front_listen;     ///< Callers.
  std::string m_ready_listen;     ///< The balancer's checks.
  std::string m_internal_listen;  ///< Other nodes, and metrics.
  /// Internal addresses of some other nodes; some may be out of date.
  std::vector<std::string> m_peers;
  std::string m_log_level;
  /// Time between SIGTERM and the end of the process.
  milliseconds m_grace{6000};
  /// An owner acts this long on its last renewal.
  milliseconds m_authority{3500};
  /// After an owner's last renewal, its leases last no longer than this.
  milliseconds m_longest_lease{10000};
  jobs::CellSettings m_cell;
  jobs::OwnershipSettings m_ownership;
};

/// Problems are noted in \p reader.
NodeSettings ReadNodeSettings(SettingsReader* reader);

}  // namespace hyssopspar::node
