/// \file
/// Sizes that the store accepts.

#pragma once

#include <cstddef>

namespace hyssopspar {

/// Limits that leave room for the keys and the framing of records.
struct StoreLimits {
  std::size_t m_max_value_bytes = 261888;   ///< Of one record.
  std::size_t m_max_batch_bytes = 1835008;  ///< Of the values of one append.
};

}  // namespace hyssopspar
