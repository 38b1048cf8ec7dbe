#include "node/tenant_metrics.h"

#include <gtest/gtest.h>

#include <string>

namespace hyssopspar::node {
namespace {

jobs::TenantAccounts ManyAccounts(std::size_t count) {
  jobs::TenantAccounts accounts;
  for (std::size_t i = 0; i < count; ++i) {
    jobs::TenantAccount& account =
        accounts
            .m_accounts[jobs::AccountIndex(&accounts, "t" + std::to_string(i))];
    account.m_policy.m_maximum = {8000, 9000, 1};
    account.m_used = {1000, 2000, 0};
    account.m_unexpected = {500, 0, 0};
    account.m_waiting_tasks = 3;
  }
  return accounts;
}

std::int64_t ValueOf(Metrics* metrics,
                     const std::string& name,
                     const std::string& tenant) {
  return metrics->Value("hyssopspar_tenant_" + name,
                        FormatMetricLabel("tenant", tenant));
}

// Thousands of tenants must not become thousands of metrics.
TEST(TenantMetricsTest, NamesAtMostAHundredTenants) {
  Metrics metrics;
  WriteTenantMetrics(ManyAccounts(103), &metrics);
  EXPECT_EQ(ValueOf(&metrics, "used_cpu_milli", "t99"), 1500);
  EXPECT_EQ(ValueOf(&metrics, "quota_memory_mib", "t0"), 9000);
  EXPECT_EQ(ValueOf(&metrics, "used_cpu_milli", "other"), 4500);
  EXPECT_EQ(ValueOf(&metrics, "waiting_tasks", "other"), 9);
  EXPECT_EQ(metrics.Render().find("tenant=\"t100\""), std::string::npos);
}

// A former owner must not go on reporting what it had placed.
TEST(TenantMetricsTest, AreZeroOnceTheNodeIsNotTheOwner) {
  Metrics metrics;
  const jobs::TenantAccounts accounts = ManyAccounts(103);
  WriteTenantMetrics(accounts, &metrics);
  ClearTenantMetrics(accounts, &metrics);
  EXPECT_EQ(ValueOf(&metrics, "used_cpu_milli", "t7"), 0);
  EXPECT_EQ(ValueOf(&metrics, "waiting_tasks", "other"), 0);
}

}  // namespace
}  // namespace hyssopspar::node
