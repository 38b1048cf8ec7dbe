#include "node/caller_headers.h"

#include <charconv>
#include <string>

namespace hyssopspar::node {

namespace {

constexpr const char* kTenantHeader = "hyssopspar-tenant";
constexpr const char* kRevisionHeader = "hyssopspar-config-revision";

}  // namespace

void SetCallerHeaders(const jobs::CallerIdentity& caller,
                      HttpHeaders* headers) {
  if (caller.m_tenant) {
    (*headers)[kTenantHeader] = *caller.m_tenant;
    (*headers)[kRevisionHeader] = std::to_string(caller.m_config_revision);
  }
}

jobs::CallerIdentity CallerFromHeaders(const HttpHeaders& headers) {
  jobs::CallerIdentity caller;
  const auto tenant = headers.find(kTenantHeader);
  if (tenant != headers.end()) {
    caller.m_tenant = tenant->second;
    const std::string revision = HeaderOr(headers, kRevisionHeader);
    std::from_chars(revision.data(), revision.data() + revision.size(),
                    caller.m_config_revision);
  }
  return caller;
}

}  // namespace hyssopspar::node
