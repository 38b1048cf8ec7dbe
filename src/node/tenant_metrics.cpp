#include "node/tenant_metrics.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace hyssopspar::node {

namespace {

struct TenantFigures {
  Resources m_used;
  Resources m_quota;
  std::size_t m_waiting_tasks = 0;
};

void Write(const std::string& tenant,
           const TenantFigures& figures,
           Metrics* metrics) {
  const std::string label = FormatMetricLabel("tenant", tenant);
  const auto write = [&](const char* name, std::int64_t value) {
    metrics->Value(std::string("hyssopspar_tenant_") + name, label)
        .store(value);
  };
  write("used_cpu_milli", figures.m_used.m_cpu_milli);
  write("used_memory_mib", figures.m_used.m_memory_mib);
  write("used_accelerators", figures.m_used.m_accelerators);
  write("quota_cpu_milli", figures.m_quota.m_cpu_milli);
  write("quota_memory_mib", figures.m_quota.m_memory_mib);
  write("quota_accelerators", figures.m_quota.m_accelerators);
  write("waiting_tasks", static_cast<std::int64_t>(figures.m_waiting_tasks));
}

}  // namespace

void WriteTenantMetrics(const jobs::TenantAccounts& accounts,
                        Metrics* metrics) {
  TenantFigures others;
  for (std::size_t i = 0; i < accounts.m_accounts.size(); ++i) {
    const jobs::TenantAccount& account = accounts.m_accounts[i];
    const TenantFigures figures{account.m_used + account.m_unexpected,
                                account.m_policy.m_maximum,
                                account.m_waiting_tasks};
    if (i < kMaxNamedTenants) {
      Write(account.m_policy.m_name, figures, metrics);
    } else {
      others.m_used += figures.m_used;
      others.m_quota += figures.m_quota;
      others.m_waiting_tasks += figures.m_waiting_tasks;
    }
  }
  if (accounts.m_accounts.size() > kMaxNamedTenants) {
    Write("other", others, metrics);
  }
}

void ClearTenantMetrics(const jobs::TenantAccounts& accounts,
                        Metrics* metrics) {
  const std::size_t named =
      std::min(accounts.m_accounts.size(), kMaxNamedTenants);
  for (std::size_t i = 0; i < named; ++i) {
    Write(accounts.m_accounts[i].m_policy.m_name, {}, metrics);
  }
  if (accounts.m_accounts.size() > kMaxNamedTenants) {
    Write("other", {}, metrics);
  }
}

}  // namespace hyssopspar::node
