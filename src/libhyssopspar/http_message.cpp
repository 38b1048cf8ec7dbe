#include "hyssopspar/http_message.h"

#include <nlohmann/json.hpp>

namespace hyssopspar {

std::string HeaderOr(const HttpHeaders& headers,
                     const std::string& name,
                     const std::string& fallback) {
  const HttpHeaders::const_iterator it = headers.find(name);
  return it == headers.end() ? fallback : it->second;
}

std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

std::string QueryParameterOr(const std::string& target,
                             const std::string& key,
                             const std::string& fallback) {
  std::size_t position = target.find('?');
  while (position != std::string::npos) {
    const std::size_t start = position + 1;
    position = target.find('&', start);
    const std::string pair =
        target.substr(start, position == std::string::npos ? std::string::npos
                                                           : position - start);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos && pair.substr(0, equals) == key) {
      return pair.substr(equals + 1);
    }
  }
  return fallback;
}

HttpResponse JsonResponse(int status, std::string body) {
  HttpResponse response;
  response.m_status = status;
  response.m_headers["content-type"] = "application/json";
  response.m_body = std::move(body);
  return response;
}

HttpResponse ErrorResponse(int status,
                           const std::string& code,
                           const std::string& detail) {
  nlohmann::json body;
  body["error"] = code;
  body["detail"] = detail;
  return JsonResponse(
      status,
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace hyssopspar
