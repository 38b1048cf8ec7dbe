/// \file
/// Time by which a request has to be answered.

#pragma once

#include <optional>

#include "hyssopspar/http_message.h"
#include "hyssopspar/time.h"

namespace hyssopspar::node {

/// Header with the time that a client waits for the answer, in milliseconds.
inline constexpr const char* kTimeoutHeader = "x-deadline-ms";

/// The client's timeout, or nothing without a valid positive one.
std::optional<milliseconds> TimeoutOf(const HttpRequest& request);

/// Time by which a caller's request that was received at \p received has to be
/// handled. Time that the request waited since then counts.
TimePoint DeadlineOf(const HttpRequest& request, TimePoint received);

}  // namespace hyssopspar::node
