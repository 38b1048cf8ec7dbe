/// \file
/// State of the configuration stream: the configuration in force.

#pragma once

#include <set>
#include <string>
#include <variant>

#include "hyssopspar/config_doc.h"
#include "hyssopspar/error.h"
#include "hyssopspar/ids.h"
#include "hyssopspar/log_store.h"

namespace hyssopspar {

/// Replaces the document if \p m_base is still the revision in force.
struct ConfigPublish {
  Revision m_base = 0;
  std::uint64_t m_writer = 0;  ///< Tells an operator's own record from others'.
  ConfigDoc m_doc;
};

/// Takes a failure domain or VM out of service, or back in.
struct ConfigDrain {
  std::string m_name;
  bool m_out = true;
};

/// All of the state, so that the stream's oldest records may go.
struct ConfigSnapshot {
  Offset m_covers = 0;  ///< Next offset the writer would have applied.
  Revision m_revision = 0;
  ConfigDoc m_doc;
  std::set<std::string> m_out;
};

using ConfigRecord = std::variant<ConfigPublish, ConfigDrain, ConfigSnapshot>;

struct ConfigState {
  Offset m_next = 0;
  Revision m_revision = 0;  ///< Never decreases.
  ConfigDoc m_doc;
  std::set<std::string> m_out;  ///< Failure domains and VMs out of service.
  Offset m_snapshot = 0;        ///< Offset of the last snapshot record.
};

enum class ConfigVerdict { kApplied, kConflict, kNoChange };

/// Applies the record at \p offset. A publish whose base is not the revision in
/// force is a conflict; a snapshot older than the state changes nothing.
ConfigVerdict ApplyConfig(ConfigState* state,
                          Offset offset,
                          const ConfigRecord& record);

std::string EncodeConfig(const ConfigRecord& record);
Result<ConfigRecord> DecodeConfig(const std::string& bytes);

/// True when the failure domain or the VM itself is out of service.
bool IsOut(const ConfigState& state,
           const std::string& failure_domain,
           const std::string& vm);

}  // namespace hyssopspar
