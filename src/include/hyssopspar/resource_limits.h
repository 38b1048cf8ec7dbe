/// \file
/// Resources of the machine that a process may use.

#pragma once

#include <cstddef>

#include "hyssopspar/settings_reader.h"

namespace hyssopspar {

/// The table `[limits]` of the settings. Zero: as the operating system says.
struct ResourceLimits {
  std::size_t m_memory_bytes = 0;     ///< Memory of the machine.
  std::size_t m_max_descriptors = 0;  ///< Descriptors of the process.
};

/// Reads the table `[limits]` of \p reader.
ResourceLimits ReadResourceLimits(SettingsReader* reader);

/// Bytes of memory: the setting, or the machine's memory.
std::size_t EffectiveMemory(const ResourceLimits& limits);

/// Descriptors: the setting or the operating system's limit, whichever is less.
std::size_t EffectiveDescriptors(const ResourceLimits& limits);

/// The share of the descriptors that the connections of one server may take:
/// one of \p divisor parts, and at least 16. 0, which means no limit, unless
/// the settings name the number of descriptors.
std::size_t MaxServerConnections(const ResourceLimits& limits,
                                 std::size_t divisor);

}  // namespace hyssopspar
