/// \file
/// HTTP interface of the scheduler for operators and submitters.

#pragma once

#include <optional>
#include <string>

#include "hyssopspar/http_message.h"
#include "hyssopspar/scheduler.h"

namespace hyssopspar::sched {

/// A record that answers the request once it is in the log.
struct ApiAppend {
  std::string m_stream;
  std::string m_payload;
  HttpResponse m_done;  ///< Sent when the append succeeded.
};

/// Either the answer, or the append that has to come first.
struct ApiResult {
  std::optional<HttpResponse> m_answer;
  std::optional<ApiAppend> m_append;
};

/// Serves
///   POST   /v1/jobs        {"tenant", "job", "key"}   submits
///   GET    /v1/jobs/ID     what this process knows of a job
///   DELETE /v1/jobs/ID     cancels
///   GET    /v1/explain/ID  why its tasks wait
///   GET    /v1/status      cells, workers, counts
ApiResult AnswerApi(const Scheduler& scheduler,
                    const HttpRequest& request,
                    TimePoint now);

}  // namespace hyssopspar::sched
