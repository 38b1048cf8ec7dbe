/// \file
/// Small functions on strings.

#pragma once

#include <string>

namespace hyssopspar {

inline bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace hyssopspar
