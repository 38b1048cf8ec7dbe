/// \file
/// Records of the configuration stream, and the current configuration as the
/// result of applying them.

#pragma once

#include <set>
#include <string>
#include <variant>

#include "hyssopspar/config_doc.h"
#include "hyssopspar/error.h"
#include "hyssopspar/ids.h"
#include "hyssopspar/log_store.h"

namespace hyssopspar {

/// Replaces the document, provided that m_base_revision is still the current
/// revision.
struct ConfigPublish {
  /// Revision that the document was prepared from.
  Revision m_base_revision = 0;
  /// Random id of the publisher, which recognizes its own record by it.
  std::uint64_t m_writer = 0;
  ConfigDoc m_doc;
};

/// Takes a failure domain or a VM out of service, or puts it back.
struct ConfigDrain {
  std::string m_name;            ///< Failure domain or VM.
  bool m_out_of_service = true;  ///< False puts it back into service.
};

/// Complete copy of the state, which allows the log to drop older records.
struct ConfigSnapshot {
  Offset m_end_offset = 0;  ///< All records before this offset are included.
  Revision m_revision = 0;
  ConfigDoc m_doc;
  std::set<std::string> m_out_of_service;  ///< Names that are out of service.
};

using ConfigRecord = std::variant<ConfigPublish, ConfigDrain, ConfigSnapshot>;

struct ConfigState {
  Offset m_next = 0;        ///< Offset of the next record to apply.
  Revision m_revision = 0;  ///< Current revision; never decreases.
  ConfigDoc m_doc;
  /// Failure domains and VMs that are out of service.
  std::set<std::string> m_out_of_service;
  Offset m_snapshot_offset = 0;  ///< Offset of the last snapshot record.
};

/// Outcome of applying a record.
enum class ConfigVerdict { kApplied, kConflict, kNoChange };

/// Applies the record at \p offset. A publish whose m_base_revision is not the
/// current revision conflicts and has no effect. Snapshots, and drains that
/// repeat the current state, change neither the document nor the revision.
ConfigVerdict ApplyConfig(ConfigState* state,
                          Offset offset,
                          const ConfigRecord& record);

std::string EncodeConfig(const ConfigRecord& record);
Result<ConfigRecord> DecodeConfig(const std::string& bytes);

/// True if \p failure_domain or \p vm itself is out of service.
bool IsOutOfService(const ConfigState& state,
                    const std::string& failure_domain,
                    const std::string& vm);

}  // namespace hyssopspar
