/// \file
/// Settings of the `hyssopspar-sched` process, and their reader.

#pragma once

#include <string>

#include "hyssopspar/resource_limits.h"
#include "hyssopspar/sched_settings.h"
#include "hyssopspar/settings_reader.h"

namespace hyssopspar::sched {

struct SchedConfig {
  SchedSettings m_sched;          ///< Settings of the Scheduler.
  std::string m_listen;           ///< Listen address of the HTTP server.
  std::string m_log_address;      ///< The platform's log service.
  std::string m_vm_list_address;  ///< The platform's VM list service.
  std::string m_log_level;
  ResourceLimits m_limits;
  milliseconds m_vm_list_period{1000};  ///< Period of reading the VM list.
  milliseconds m_append_timeout{2000};  ///< Of one append to the log.
};

/// Reads all settings. Missing or invalid values are added to the problems of
/// \p reader.
SchedConfig ReadSchedConfig(SettingsReader* reader);

}  // namespace hyssopspar::sched
