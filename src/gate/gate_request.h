/// \file
/// Conversion between HTTP messages and a gate's requests and outcomes.

#pragma once

#include <string>

#include "hyssopspar/config_doc.h"
#include "hyssopspar/error.h"
#include "hyssopspar/gate_core.h"
#include "hyssopspar/http_message.h"

namespace hyssopspar::gate {

/// Parses `POST /v1/services/SERVICE/CLASS` with the headers hyssopspar-tenant,
/// hyssopspar-timeout-ms (optional) and idempotency-key (required unless the
/// class is idempotent). \p now is the arrival time, from which the timeout
/// runs. Errors: kNotFound for an unknown path, service or class;
/// kInvalidArgument for a missing or invalid header.
Result<GateRequest> ParseRequest(const ConfigDoc& doc,
                                 const HttpRequest& http,
                                 RequestId id,
                                 TimePoint now);

/// The answer to a request that ParseRequest refused with \p error.
HttpResponse MakeRefusal(const Error& error);

/// The HTTP request to send to the endpoint.
HttpRequest MakeUpstreamRequest(const GateRequest& request, HttpRequest http);

/// The answer to the caller for any outcome other than a new answer of an
/// endpoint: a recorded answer, or an error status.
HttpResponse MakeOutcomeReply(const ReplyAction& action);

/// The answer to the caller that forwards the endpoint's answer.
HttpResponse MakeForwardedReply(HttpResponse upstream);

}  // namespace hyssopspar::gate
