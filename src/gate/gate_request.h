/// \file
/// The HTTP form of requests and outcomes at a gate.

#pragma once

#include <string>

#include "hyssopspar/config_doc.h"
#include "hyssopspar/error.h"
#include "hyssopspar/gate_core.h"
#include "hyssopspar/http_message.h"

namespace hyssopspar::gate {

/// Reads `POST /v1/services/SERVICE/CLASS` with the headers
///   hyssopspar-tenant, hyssopspar-timeout-ms (optional), idempotency-key
/// (needed when the class is not idempotent).
Result<GateRequest> ParseRequest(const ConfigDoc& doc,
                                 const HttpRequest& http,
                                 RequestId id,
                                 TimePoint now);

/// Status of the answer to a request that ParseRequest refused.
HttpResponse RefusalOf(const Error& error);

/// What the endpoint gets.
HttpRequest MakeUpstream(const GateRequest& request, HttpRequest http);

/// The caller's answer when the endpoint gave none.
HttpResponse MakeReply(const ReplyAction& action);

/// The caller's answer out of the endpoint's.
HttpResponse MakeAnswer(HttpResponse upstream);

}  // namespace hyssopspar::gate
