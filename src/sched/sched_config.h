/// \file
/// Settings file of `hyssopspar-sched`.

#pragma once

#include <string>

#include "hyssopspar/sched_settings.h"
#include "hyssopspar/settings_reader.h"

namespace hyssopspar::sched {

struct SchedConfig {
  SchedSettings m_sched;
  std::string m_listen;
  std::string m_log_address;
  std::string m_vm_list_address;
  std::string m_log_level;
  milliseconds m_vm_list_period{1000};
  milliseconds m_append_timeout{2000};
};

SchedConfig ReadSchedConfig(SettingsReader* reader);

}  // namespace hyssopspar::sched
