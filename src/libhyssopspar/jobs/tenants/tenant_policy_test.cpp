#include "hyssopspar/jobs/tenants/tenant_policy.h"

#include <gtest/gtest.h>

#include <limits>

namespace hyssopspar::jobs {
namespace {

TenantPolicy Policy(const std::string& name,
                    double weight = 1,
                    const Resources& maximum = {}) {
  return {name, weight, maximum};
}

TEST(TenantPolicyTest, AcceptsWeightsAndQuotasInRange) {
  EXPECT_TRUE(ValidateTenants({}));
  EXPECT_TRUE(ValidateTenants({Policy("a", 0.5, {5806172, 10844168, 0}),
                               Policy("b", 16), Policy("c", 1e9)}));
}

// A wrong policy in force would stop a tenant, or let it take everything.
TEST(TenantPolicyTest, RefusesPoliciesOutOfRange) {
  const std::int64_t huge = std::numeric_limits<std::int64_t>::max();
  for (const TenantPolicy& policy :
       {Policy("a", -1), Policy("a", 0), Policy("a", 1e300),
        Policy("a", std::numeric_limits<double>::quiet_NaN()),
        Policy("a", std::numeric_limits<double>::infinity()),
        Policy("a", 1, {-1, 0, 0}), Policy("a", 1, {0, -1, 0}),
        Policy("a", 1, {0, 0, -1}), Policy("a", 1, {huge, 0, 0}),
        Policy("a", 1, {0, huge, 0}), Policy("a", 1, {0, 0, huge})}) {
    const Result<void> valid = ValidateTenants({policy});
    ASSERT_FALSE(valid);
    EXPECT_EQ(valid.error().m_code, ErrorCode::kInvalidArgument);
  }
}

// Names become headers, log lines and keys of records.
TEST(TenantPolicyTest, RefusesNamesThatAreNotPrintableAndDuplicates) {
  for (const std::string& name :
       {std::string(), std::string("a b"), std::string("a\r\nx: 1"),
        std::string("\xff"), std::string("a\0", 2), std::string(201, 'a')}) {
    EXPECT_FALSE(ValidateTenants({Policy(name)})) << name;
  }
  EXPECT_FALSE(ValidateTenants({Policy("a"), Policy("b"), Policy("a")}));
}

}  // namespace
}  // namespace hyssopspar::jobs
