/// \file
/// Metrics of the tenants whose tasks the owner of a cell places.

#pragma once

#include "hyssopspar/jobs/tenants/tenant_accounts.h"
#include "hyssopspar/metrics.h"

namespace hyssopspar::node {

/// Tenants beyond this number share the label `other`.
inline constexpr std::size_t kMaxNamedTenants = 100;

/// Writes what each tenant has placed, its quota (0: no limit) and its tasks
/// that wait for the quota. Of `other`, the quota is the sum of all limits.
void WriteTenantMetrics(const jobs::TenantAccounts& accounts, Metrics* metrics);

/// Sets all of them to 0, when this node is not the owner any more.
void ClearTenantMetrics(const jobs::TenantAccounts& accounts, Metrics* metrics);

}  // namespace hyssopspar::node
