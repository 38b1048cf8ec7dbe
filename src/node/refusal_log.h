/// \file
/// Limits the log lines about refused calls to one a second and reason.

#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "hyssopspar/time.h"

namespace hyssopspar::node {

struct RefusalLine {
  std::size_t m_calls = 0;  ///< Since the last line.
  TimePoint m_next_line;
};

/// By reason. Reasons are few and not chosen by callers.
using RefusalLog = std::map<std::string, RefusalLine>;

/// Counts a refused call. Returns the number of calls that a line now stands
/// for, or nullopt if no line is due.
std::optional<std::size_t> CountRefusal(RefusalLog* log,
                                        const std::string& reason,
                                        TimePoint now);

}  // namespace hyssopspar::node
