#include "node/caller_headers.h"

#include <gtest/gtest.h>

namespace hyssopspar::node {
namespace {

// A forwarded query that lost the tenant would show every tenant's jobs.
TEST(CallerHeadersTest, CarryTenantAndRevision) {
  for (const char* const tenant : {"kaje80", ""}) {
    HttpHeaders headers;
    SetCallerHeaders({tenant, 7}, &headers);
    const jobs::CallerIdentity caller = CallerFromHeaders(headers);
    EXPECT_EQ(caller.m_tenant, tenant);
    EXPECT_EQ(caller.m_config_revision, 7);
  }
}

// Without tenants, queries are the same as those of earlier versions.
TEST(CallerHeadersTest, AreAbsentForCallersThatAreNotAuthenticated) {
  HttpHeaders headers;
  SetCallerHeaders(jobs::CallerIdentity(), &headers);
  EXPECT_TRUE(headers.empty());
  EXPECT_FALSE(CallerFromHeaders(headers).m_tenant.has_value());
}

}  // namespace
}  // namespace hyssopspar::node
