/// \file
/// HTTP API of the scheduler for operators and for submitters of jobs.

#pragma once

#include <optional>
#include <string>

#include "hyssopspar/http_message.h"
#include "hyssopspar/scheduler.h"

namespace hyssopspar::sched {

/// Append to the log that has to succeed before the request is answered.
struct ApiAppend {
  std::string m_stream;
  std::string m_payload;
  HttpResponse m_success_response;
};

/// Result of a request; exactly one member is set.
struct ApiResult {
  std::optional<HttpResponse> m_response;
  std::optional<ApiAppend> m_append;
};

/// Handles one API request:
///   POST   /v1/jobs        {"job", "key"}  submits a configured job
///   GET    /v1/jobs/ID     tasks of a job in the cells this process follows
///   DELETE /v1/jobs/ID     cancels a job
///   GET    /v1/explain/ID  why the pending and parked tasks of a job wait
///   GET    /v1/status      configuration, members, cells
ApiResult HandleApiRequest(const Scheduler& scheduler,
                           const HttpRequest& request,
                           TimePoint now);

}  // namespace hyssopspar::sched
