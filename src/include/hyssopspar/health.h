/// \file
/// The HTTP routes that every server of ours has.

#pragma once

#include <optional>

#include "hyssopspar/http_message.h"
#include "hyssopspar/metrics.h"

namespace hyssopspar {

/// Answers /healthz, /readyz and /metrics; nothing for other targets.
std::optional<HttpResponse> AnswerHealth(const HttpRequest& request,
                                         const Metrics& metrics,
                                         bool ready);

}  // namespace hyssopspar
