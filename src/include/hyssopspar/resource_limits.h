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

}  // namespace hyssopspar
