/// \file
/// Record of one request sent to a gate.

#pragma once

#include <cstdint>
#include <string>

#include "hyssopspar/time.h"

namespace hyssopspar::load {

/// A request and its result, as the caller sees them.
struct CallRecord {
  std::uint64_t m_id = 0;
  std::size_t m_traffic_index = 0;  ///< Index in LoadConfig::m_traffic.
  std::string m_gate_address;
  std::string m_key;            ///< Idempotency key, or empty.
  TimePoint m_scheduled_time;   ///< When it was due to be sent.
  TimePoint m_completion_time;  ///< When the answer or the error arrived.
  int m_status = 0;             ///< HTTP status; 0 without an answer.
  std::string m_outcome;        ///< Outcome header of the gate, or "none".
  /// False for an answer that is incomplete or belongs to another request.
  bool m_answer_valid = true;
};

}  // namespace hyssopspar::load
