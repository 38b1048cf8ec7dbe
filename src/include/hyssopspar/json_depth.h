/// \file
/// Limit of the nesting of JSON texts from other machines.

#pragma once

#include <cstddef>
#include <string>

namespace hyssopspar {

/// Deepest nesting of arrays and objects that is parsed. Messages need less
/// than ten; a megabyte of brackets takes 80 MB when it is parsed, and some
/// uses of the result are recursive.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// True if arrays and objects of \p text are nested deeper than \p depth.
bool IsNestedDeeperThan(const std::string& text, std::size_t depth);

}  // namespace hyssopspar
