/// \file
/// Answers to callers' requests by the outcome of storing them.

#pragma once

#include <chrono>
#include <string>

#include "hyssopspar/http_message.h"
#include "node/job_appender.h"

namespace hyssopspar::node {

/// Answer to a request that has had no effect, and will have none, for a reason
/// that may pass.
HttpResponse Unavailable(
    const std::string& detail,
    std::chrono::seconds retry_after = std::chrono::seconds(1));

/// Answer to a request whose record had \p outcome in the store.
/// \p retry_after is for a request that is not stored.
HttpResponse StoreAnswer(StoreOutcome outcome,
                         std::chrono::seconds retry_after);

/// Answer to another node whose records were appended with the result \p end.
HttpResponse RelayAnswer(const Result<Offset>& end);

}  // namespace hyssopspar::node
