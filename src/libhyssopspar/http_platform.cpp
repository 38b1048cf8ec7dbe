#include "hyssopspar/http_platform.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "hyssopspar/json_depth.h"
#include "hyssopspar/platform_codec.h"

namespace hyssopspar {

namespace {

constexpr std::size_t kMaxDetailBytes = 300;

/// Error for a response with a status other than 200.
Error StatusError(const HttpResponse& response) {
  const std::string detail = "status " + std::to_string(response.m_status) +
                             " " + response.m_body.substr(0, kMaxDetailBytes);
  switch (response.m_status) {
    case 404:
      return Error{ErrorCode::kNotFound, detail};
    case 500:
    case 502:
    case 504:
      // The platform may have executed the request before its answer was lost,
      // so the effect is unknown, as after a timeout.
      return Error{ErrorCode::kTimeout, detail};
    default:
      return Error{ErrorCode::kUnavailable, detail};
  }
}

}  // namespace

HttpLogStore::HttpLogStore(std::string address)
    : m_client(std::move(address)) {}

Result<Offset> HttpLogStore::Append(const std::string& stream,
                                    const std::string& payload,
                                    TimePoint deadline) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/v1/streams/" + stream + "/records";
  request.m_headers["content-type"] = "application/octet-stream";
  request.m_body = payload;
  const Result<HttpResponse> response = m_client.Send(request, deadline);
  if (!response) {
    return response.error();
  }
  if (response.value().m_status != 200) {
    return StatusError(response.value());
  }
  const nlohmann::json json =
      IsNestedDeeperThan(response.value().m_body, kMaxJsonDepth)
          ? nlohmann::json()
          : nlohmann::json::parse(response.value().m_body, nullptr, false);
  if (!json.is_object() || !json.contains("offset") ||
      !json["offset"].is_number_unsigned()) {
    return Fail(ErrorCode::kMalformed, "append answer without offset");
  }
  return json["offset"].get<Offset>();
}

Result<LogSlice> HttpLogStore::Read(const std::string& stream,
                                    Offset from,
                                    std::size_t max_records,
                                    milliseconds wait,
                                    TimePoint deadline) {
  HttpRequest request;
  request.m_target = "/v1/streams/" + stream +
                     "/records?from=" + std::to_string(from) +
                     "&max=" + std::to_string(max_records) +
                     "&wait_ms=" + std::to_string(wait.count());
  const Result<HttpResponse> response = m_client.Send(request, deadline);
  if (!response) {
    return response.error();
  }
  if (response.value().m_status != 200) {
    return StatusError(response.value());
  }
  return DecodeSlice(response.value().m_body);
}

Result<WorkerReport> HttpWorkerControl::Sync(const std::string& address,
                                             const std::string& worker,
                                             const WorkerSync& sync,
                                             TimePoint deadline) {
  std::unique_ptr<HttpClient>& client = m_clients[address];
  if (client == nullptr) {
    client = std::make_unique<HttpClient>(address);
  }
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/v1/workers/" + worker + "/sync";
  request.m_headers["content-type"] = "application/json";
  request.m_body = EncodeSync(sync);
  const Result<HttpResponse> response = client->Send(request, deadline);
  if (!response) {
    return response.error();
  }
  if (response.value().m_status != 200) {
    return StatusError(response.value());
  }
  return DecodeReport(response.value().m_body);
}

HttpVmDirectory::HttpVmDirectory(std::string address)
    : m_client(std::move(address)) {}

Result<std::vector<Vm>> HttpVmDirectory::Fetch(TimePoint deadline) {
  HttpRequest request;
  request.m_target = "/v1/vms";
  const Result<HttpResponse> response = m_client.Send(request, deadline);
  if (!response) {
    return response.error();
  }
  if (response.value().m_status != 200) {
    return StatusError(response.value());
  }
  return DecodeVms(response.value().m_body);
}

}  // namespace hyssopspar
