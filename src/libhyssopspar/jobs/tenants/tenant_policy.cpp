#include "hyssopspar/jobs/tenants/tenant_policy.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hyssopspar::jobs {

namespace {

constexpr std::size_t kMaxTenantNameBytes = 200;
constexpr double kMaxWeight = 1e9;
/// Limit of each quota. Sums over all tenants stay within the type's range.
constexpr std::int64_t kMaxQuota = 1000000000000000;

bool IsPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

bool IsPossibleQuota(const Resources& quota) {
  return IsNonNegative(quota) && quota.m_cpu_milli <= kMaxQuota &&
         quota.m_memory_mib <= kMaxQuota && quota.m_accelerators <= kMaxQuota;
}

}  // namespace

Result<void> ValidateTenants(const std::vector<TenantPolicy>& tenants) {
  std::set<std::string> names;
  for (const TenantPolicy& tenant : tenants) {
    if (tenant.m_name.empty() || tenant.m_name.size() > kMaxTenantNameBytes ||
        !IsPrintable(tenant.m_name)) {
      return Fail(ErrorCode::kInvalidArgument,
                  "a tenant's name is empty, too long or not printable");
    }
    if (!names.insert(tenant.m_name).second) {
      return Fail(ErrorCode::kInvalidArgument,
                  "tenant " + tenant.m_name + " is listed twice");
    }
    if (!std::isfinite(tenant.m_weight) || tenant.m_weight <= 0 ||
        tenant.m_weight > kMaxWeight) {
      return Fail(ErrorCode::kInvalidArgument,
                  "weight of tenant " + tenant.m_name + " is out of range");
    }
    if (!IsPossibleQuota(tenant.m_maximum)) {
      return Fail(ErrorCode::kInvalidArgument,
                  "quota of tenant " + tenant.m_name + " is out of range");
    }
  }
  return Ok();
}

}  // namespace hyssopspar::jobs
