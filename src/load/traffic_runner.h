/// \file
/// Open-loop load generator: requests are sent at their scheduled times,
/// independent of the answers.

#pragma once

#include <vector>

#include "load/call_record.h"
#include "load/load_config.h"

namespace hyssopspar::load {

/// Sends all requests of the scenario and returns a record of each. Latency
/// counts from the scheduled time, so that delays of the sender are included
/// (no coordinated omission).
std::vector<CallRecord> RunTraffic(const LoadConfig& config);

}  // namespace hyssopspar::load
