/// \file
/// HTTP routes for health checks and metrics, which all programs serve.

#pragma once

#include <optional>

#include "hyssopspar/http_message.h"
#include "hyssopspar/metrics.h"

namespace hyssopspar {

/// Response to a request for /healthz, /readyz (200 when \p ready, else 503) or
/// /metrics; nullopt for other paths.
std::optional<HttpResponse> HandleMonitoringRequest(const HttpRequest& request,
                                                    const Metrics& metrics,
                                                    bool ready);

}  // namespace hyssopspar
