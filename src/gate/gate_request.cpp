#include "gate/gate_request.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace hyssopspar::gate {

namespace {

constexpr const char* kPathPrefix = "/v1/services/";
constexpr const char* kOutcomeHeader = "hyssopspar-outcome";
constexpr milliseconds kMaxTimeout = std::chrono::minutes(10);
constexpr std::size_t kMaxKeyBytes = 256;

/// Parses a timeout of 1 to kMaxTimeout milliseconds.
std::optional<milliseconds> ParseTimeout(const std::string& text) {
  std::int64_t millis = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  const bool valid = parsed.ec == std::errc() &&
                     parsed.ptr == text.data() + text.size() && millis > 0 &&
                     millis <= kMaxTimeout.count();
  return valid ? std::optional<milliseconds>(millis) : std::nullopt;
}

/// True for headers that apply to a single connection, and for those that the
/// sender of a message sets itself.
bool IsNotForwarded(const std::string& name) {
  static const std::set<std::string> kNotForwarded = {"connection",
                                                      "keep-alive",
                                                      "proxy-authenticate",
                                                      "proxy-authorization",
                                                      "te",
                                                      "trailer",
                                                      "transfer-encoding",
                                                      "upgrade",
                                                      "content-length",
                                                      "host"};
  return kNotForwarded.count(name) > 0;
}

/// The headers that are forwarded.
HttpHeaders ForwardedHeaders(const HttpHeaders& headers) {
  HttpHeaders kept;
  for (const HttpHeaders::value_type& header : headers) {
    if (!IsNotForwarded(header.first)) {
      kept.insert(header);
    }
  }
  return kept;
}

}  // namespace

Result<GateRequest> ParseRequest(const ConfigDoc& doc,
                                 const HttpRequest& http,
                                 RequestId id,
                                 TimePoint now) {
  const std::string path = PathOf(http.m_target);
  const std::string prefix = kPathPrefix;
  const std::size_t slash = path.find('/', prefix.size());
  const bool has_valid_form =
      path.compare(0, prefix.size(), prefix) == 0 && slash != std::string::npos;
  if (!has_valid_form) {
    return Fail(ErrorCode::kNotFound, path);
  }
  GateRequest request;
  request.m_id = id;
  request.m_service = path.substr(prefix.size(), slash - prefix.size());
  request.m_class = path.substr(slash + 1);
  request.m_tenant = HeaderOr(http.m_headers, "hyssopspar-tenant");
  request.m_key = HeaderOr(http.m_headers, "idempotency-key");
  const ServiceConfig* service = FindService(doc, request.m_service);
  const RequestClass* request_class =
      service == nullptr ? nullptr : FindClass(*service, request.m_class);
  if (request_class == nullptr) {
    return Fail(ErrorCode::kNotFound, "no class " + request.m_class +
                                          " of service " + request.m_service);
  }
  if (FindTenant(doc, request.m_tenant) == nullptr) {
    return Fail(ErrorCode::kInvalidArgument,
                "header hyssopspar-tenant must name a tenant");
  }
  if (request.m_key.size() > kMaxKeyBytes) {
    return Fail(ErrorCode::kInvalidArgument,
                "header idempotency-key has at most 256 bytes");
  }
  if (!request_class->m_idempotent && request.m_key.empty()) {
    return Fail(
        ErrorCode::kInvalidArgument,
        "header idempotency-key is needed for class " + request.m_class);
  }
  if (request_class->m_idempotent) {
    request.m_key.clear();
  } else {
    // The tenant is part of the key, since tenants choose keys independently
    // and may choose the same.
    request.m_key = request.m_tenant + "/" + request.m_key;
  }
  milliseconds timeout = request_class->m_timeout;
  const std::string timeout_header =
      HeaderOr(http.m_headers, "hyssopspar-timeout-ms");
  if (!timeout_header.empty()) {
    const std::optional<milliseconds> parsed = ParseTimeout(timeout_header);
    if (!parsed) {
      return Fail(ErrorCode::kInvalidArgument,
                  "header hyssopspar-timeout-ms must be 1 to 600000");
    }
    timeout = *parsed;
  }
  request.m_deadline = now + timeout;
  return request;
}

HttpResponse MakeRefusal(const Error& error) {
  const int status = error.m_code == ErrorCode::kNotFound ? 404 : 400;
  HttpResponse response = ErrorResponse(
      status, std::string(ToString(error.m_code)), error.m_detail);
  response.m_headers[kOutcomeHeader] = ToString(Outcome::kNotRun);
  return response;
}

HttpRequest MakeUpstreamRequest(const GateRequest& request, HttpRequest http) {
  HttpRequest upstream;
  upstream.m_method = http.m_method;
  upstream.m_target = "/" + request.m_service + "/" + request.m_class;
  upstream.m_headers = ForwardedHeaders(http.m_headers);
  upstream.m_headers["hyssopspar-request-id"] = FormatJobId(request.m_id);
  if (!request.m_key.empty()) {
    upstream.m_headers["idempotency-key"] = request.m_key;
  }
  upstream.m_body = std::move(http.m_body);
  return upstream;
}

HttpResponse MakeOutcomeReply(const ReplyAction& action) {
  HttpResponse response;
  const std::string outcome(ToString(action.m_outcome));
  switch (action.m_outcome) {
    case Outcome::kAnswered:
      response.m_status = static_cast<int>(action.m_recorded_answer.m_status);
      response.m_body = action.m_recorded_answer.m_body;
      if (!action.m_recorded_answer.m_content_type.empty()) {
        response.m_headers["content-type"] =
            action.m_recorded_answer.m_content_type;
      }
      if (!action.m_recorded_answer.m_has_body) {
        response.m_headers["hyssopspar-body"] = "not-kept";
      }
      response.m_headers["hyssopspar-replayed"] = "true";
      break;
    case Outcome::kNotRun:
      response =
          ErrorResponse(503, outcome, std::string(ToString(action.m_reason)));
      response.m_headers["retry-after"] = "1";
      break;
    case Outcome::kUnknown:
      response = ErrorResponse(504, outcome, "the request may have run");
      break;
    case Outcome::kInProgress:
      response =
          ErrorResponse(409, outcome, "a request with this key is under way");
      response.m_headers["retry-after"] = "1";
      break;
  }
  response.m_headers[kOutcomeHeader] = outcome;
  return response;
}

HttpResponse MakeForwardedReply(HttpResponse upstream) {
  HttpResponse response;
  response.m_status = upstream.m_status;
  response.m_headers = ForwardedHeaders(upstream.m_headers);
  response.m_headers[kOutcomeHeader] = ToString(Outcome::kAnswered);
  response.m_body = std::move(upstream.m_body);
  return response;
}

}  // namespace hyssopspar::gate
