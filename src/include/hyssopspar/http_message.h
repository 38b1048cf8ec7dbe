/// \file
/// HTTP messages as plain types, free of any transport.

#pragma once

#include <map>
#include <string>

namespace hyssopspar {

/// Header fields by lower-case name.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
  std::string m_method = "GET";
  std::string m_target = "/";
  HttpHeaders m_headers;
  std::string m_body;
};

struct HttpResponse {
  int m_status = 200;
  HttpHeaders m_headers;
  std::string m_body;
};

/// Value of the header \p name (lower case), or "" when absent.
std::string HeaderOr(const HttpHeaders& headers,
                     const std::string& name,
                     const std::string& fallback = "");

/// Value of \p key in the query part of \p target, or \p fallback.
std::string QueryOr(const std::string& target,
                    const std::string& key,
                    const std::string& fallback = "");

/// The part of \p target before the query.
std::string PathOf(const std::string& target);

/// A JSON answer `{"error": code, "detail": ...}` with status \p status.
HttpResponse ErrorResponse(int status,
                           const std::string& code,
                           const std::string& detail);

/// A JSON answer.
HttpResponse JsonResponse(int status, std::string body);

}  // namespace hyssopspar
