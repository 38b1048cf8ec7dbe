/// \file
/// Policy for callers during an outage of the store: when a refused caller
/// should try again.

#pragma once

#include <string>

#include "hyssopspar/time.h"

namespace hyssopspar::node {

/// Time after which the caller of request \p key should try again, when the
/// store has been out of reach since \p failing_since. It grows with the
/// outage, which is expected to last about as long again as it has lasted, and
/// differs by key, so that callers do not return together. At least one second;
/// TimePoint::max() means that the store is in reach.
std::chrono::seconds RetryAfter(TimePoint failing_since,
                                const std::string& key,
                                TimePoint now);

}  // namespace hyssopspar::node
