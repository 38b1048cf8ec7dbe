/// \file
/// Whose calls may see and cancel whose jobs.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace hyssopspar::jobs {

/// Whose call it is, and by which configuration that was decided.
struct CallerIdentity {
  /// Empty for a call without a key to a public queue; nullopt where callers
  /// are not authenticated, and all jobs are open to all of them.
  std::optional<std::string> m_tenant;
  std::int64_t m_config_revision = 0;  ///< 0 without tenants.
};

/// True if the caller may see and cancel a job of the tenant \p job_tenant,
/// which is empty for a job without a tenant.
bool MayAccess(const CallerIdentity& caller, const std::string& job_tenant);

}  // namespace hyssopspar::jobs
