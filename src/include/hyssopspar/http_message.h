/// \file
/// HTTP messages as plain types, independent of a transport.

#pragma once

#include <map>
#include <set>
#include <string>

namespace hyssopspar {

/// Values of header fields by lower-case name.
using HttpHeaders = std::map<std::string, std::string>;

/// A request; m_target is the path with the query.
struct HttpRequest {
  std::string m_method = "GET";
  std::string m_target = "/";
  HttpHeaders m_headers;
  std::string m_body;
  /// Names of the header fields that occur with different values. m_headers has
  /// the last of them.
  std::set<std::string> m_ambiguous_headers;
};

struct HttpResponse {
  int m_status = 200;
  HttpHeaders m_headers;
  std::string m_body;
};

/// Value of the header \p name (lower case), or \p fallback when absent.
std::string HeaderOr(const HttpHeaders& headers,
                     const std::string& name,
                     const std::string& fallback = "");

/// Value of the parameter \p key in the query of \p target, without decoding of
/// percent escapes; \p fallback when absent.
std::string QueryParameterOr(const std::string& target,
                             const std::string& key,
                             const std::string& fallback = "");

/// Path of \p target: the part before the query.
std::string PathOf(const std::string& target);

/// Response with the JSON body `{"error": code, "detail": detail}`.
HttpResponse ErrorResponse(int status,
                           const std::string& code,
                           const std::string& detail);

/// Response with the JSON text \p body.
HttpResponse JsonResponse(int status, std::string body);

}  // namespace hyssopspar
