/// \file
/// What a caller recorded of one request.

#pragma once

#include <cstdint>
#include <string>

#include "hyssopspar/time.h"

namespace hyssopspar::load {

struct CallRecord {
  std::uint64_t m_id = 0;
  std::size_t m_traffic = 0;  ///< Index of its traffic in the scenario.
  std::string m_gate;
  std::string m_key;
  TimePoint m_intended;  ///< When it should have been sent.
  TimePoint m_done;
  int m_status = 0;       ///< 0 when no answer came.
  std::string m_outcome;  ///< Of the gate, or "none".
  bool m_whole = true;    ///< The answer was to this request, and complete.
};

}  // namespace hyssopspar::load
