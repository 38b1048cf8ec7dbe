#include "node/store_answer.h"

namespace hyssopspar::node {

HttpResponse Unavailable(const std::string& detail,
                         std::chrono::seconds retry_after) {
  HttpResponse response = ErrorResponse(503, "not-run", detail);
  response.m_headers["retry-after"] = std::to_string(retry_after.count());
  return response;
}

HttpResponse StoreAnswer(StoreOutcome outcome,
                         std::chrono::seconds retry_after) {
  switch (outcome) {
    case StoreOutcome::kStored:
      return JsonResponse(200, "{}");
    case StoreOutcome::kNotStored:
      return Unavailable("the store can't be reached", retry_after);
    case StoreOutcome::kRefused:
      // The record is within the store's limits, which were checked before, so
      // that the store may take it later.
      return Unavailable("the store has refused the record", retry_after);
    case StoreOutcome::kUnknown:
      break;
  }
  return ErrorResponse(504, "unknown", "the store did not confirm in time");
}

HttpResponse RelayAnswer(const Result<Offset>& end) {
  if (end) {
    return JsonResponse(200, "{}");
  }
  const ErrorCode code = end.error().m_code;
  const int status = code == ErrorCode::kInvalidArgument ? 400
                     : CertainlyHadNoEffect(code)        ? 503
                                                         : 504;
  return ErrorResponse(status, std::string(ToString(code)),
                       end.error().m_detail);
}

}  // namespace hyssopspar::node
