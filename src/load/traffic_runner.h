/// \file
/// Open-loop load: requests are sent when due, however slow answers are.

#pragma once

#include <vector>

#include "load/call_record.h"
#include "load/load_config.h"

namespace hyssopspar::load {

/// Runs all traffic of the scenario and returns every call made. Latency counts
/// from the intended time, so that a late sender hides nothing.
std::vector<CallRecord> RunTraffic(const LoadConfig& config);

}  // namespace hyssopspar::load
