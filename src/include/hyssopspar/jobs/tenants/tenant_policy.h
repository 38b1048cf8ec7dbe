/// \file
/// Policy of a tenant in the operators' configuration.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/resources.h"

namespace hyssopspar::jobs {

struct TenantPolicy {
  std::string m_name;
  double m_weight = 1;  ///< Share under saturation, relative to the others'.
  Resources m_maximum;  ///< Quota over all workers; 0 in a field: no limit.
};

inline bool operator==(const TenantPolicy& a, const TenantPolicy& b) {
  return a.m_name == b.m_name && a.m_weight == b.m_weight &&
         a.m_maximum == b.m_maximum;
}

/// Checks names, weights and quotas, and that no tenant is listed twice. Fails
/// with kInvalidArgument.
Result<void> ValidateTenants(const std::vector<TenantPolicy>& tenants);

}  // namespace hyssopspar::jobs
