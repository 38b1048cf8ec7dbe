#include "hyssopspar/health.h"

#include "hyssopspar/connection_budget.h"

namespace hyssopspar {

namespace {

HttpResponse TextResponse(int status, std::string body) {
  HttpResponse response;
  response.m_status = status;
  response.m_headers["content-type"] = "text/plain; version=0.0.4";
  response.m_body = std::move(body);
  return response;
}

}  // namespace

std::optional<HttpResponse> HandleMonitoringRequest(const HttpRequest& request,
                                                    const Metrics& metrics,
                                                    bool ready) {
  const std::string path = PathOf(request.m_target);
  if (path == "/healthz") {
    return TextResponse(200, "ok\n");
  }
  if (path == "/readyz") {
    return ready ? TextResponse(200, "ready\n")
                 : TextResponse(503, "not ready\n");
  }
  if (path == "/metrics") {
    return TextResponse(
        200, metrics.Render() + ConnectionBudget::Process().Render());
  }
  return std::nullopt;
}

}  // namespace hyssopspar
