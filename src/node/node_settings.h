/// \file
/// Settings of hyssopspar-node.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/jobs/cell_settings.h"
#include "hyssopspar/jobs/ownership.h"
#include "hyssopspar/jobs/tenants/caller_auth.h"
#include "hyssopspar/resource_limits.h"
#include "hyssopspar/settings_reader.h"
#include "hyssopspar/time.h"

namespace hyssopspar::node {

/// Contents of the settings file, and values derived from them.
struct NodeSettings {
  std::string m_name;  ///< Unique among the nodes.
  std::string m_failure_domain;
  // Addresses are "ip:port".
  std::string m_store_address;
  std::string m_adviser_address;  ///< Empty without an adviser.
  std::string m_front_listen;     ///< Address for callers' requests.
  std::string m_ready_listen;     ///< Address for the balancer's checks.
  std::string m_internal_listen;  ///< Address for other nodes, and metrics.
  /// Internal addresses of some other nodes; some may be out of date.
  std::vector<std::string> m_peers;
  std::string m_log_level;
  /// Time limit from SIGTERM to the end of the process.
  milliseconds m_shutdown_grace{6000};
  /// An owner may act for this long after its last successful renewal was sent.
  milliseconds m_ownership_lease{3500};
  /// All worker leases that an owner has granted expire within this time after
  /// its last renewal.
  milliseconds m_max_lease_after_renewal{10000};
  ResourceLimits m_limits;
  jobs::CellSettings m_cell;
  jobs::OwnershipSettings m_ownership;
  jobs::KeyViewSettings m_key_view;
};

/// Reads the node's settings. Errors are recorded in \p reader.
NodeSettings ReadNodeSettings(SettingsReader* reader);

}  // namespace hyssopspar::node
