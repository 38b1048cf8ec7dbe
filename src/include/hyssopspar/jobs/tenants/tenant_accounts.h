/// \file
/// What each tenant has on the workers, compared with its quota and its share.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hyssopspar/jobs/job_plan.h"
#include "hyssopspar/jobs/tenants/tenant_policy.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

struct TenantAccount {
  TenantPolicy m_policy;
  /// Of placed tasks, which includes starts that may still be executed and runs
  /// on workers out of reach.
  Resources m_used;
  /// Part of m_used that is not freed by itself: of long-running tasks.
  Resources m_used_lastingly;
  /// Of runs that workers report and that are not placed.
  Resources m_unexpected;
  std::size_t m_waiting_tasks = 0;  ///< For the quota, in the last pass.
  /// In the present pass, what the quota leaves is kept for a task.
  bool m_is_kept_for_task = false;
  TimePoint m_next_wait_report;
};

/// Accounts are created on first use and never removed, so that their indexes
/// stay valid.
struct TenantAccounts {
  std::vector<TenantAccount> m_accounts;
  std::map<std::string, std::size_t> m_index;  ///< By the tenant's name.
};

/// Resources of one tenant's runs on a worker.
struct TenantRuns {
  std::size_t m_account = 0;
  Resources m_resources;
};

/// Index of the tenant's account, which is created without limits if there is
/// none.
std::size_t AccountIndex(TenantAccounts* accounts, const std::string& tenant);

/// Sets the policies of the tenants. A tenant that is not in \p policies keeps
/// its last one, since its jobs go on; without any tenant there are no quotas.
/// Returns true if a policy changed.
bool ApplyPolicies(TenantAccounts* accounts,
                   const std::vector<TenantPolicy>& policies);

/// Resources of a task of the step that count against its tenant's quota.
Resources CountedResourcesOf(const StepPlan& step);

/// Number of tasks of the size \p each, at most \p wanted, that the tenant may
/// start now. A task that is larger than the quota may start while the tenant
/// has nothing else.
std::size_t StartsWithinQuota(const TenantAccount& account,
                              const Resources& each,
                              std::size_t wanted);

/// Same for a step, whose tasks all start at once if it is a gang: all that
/// wait, or none. A gang exceeds the quota by at most one task.
std::size_t StepStartsWithinQuota(const TenantAccount& account,
                                  const StepPlan& step,
                                  std::size_t wanted);

/// True if a task of the step that has been placed, or its gang, would be
/// placed by the present quota.
bool IsStartStillAllowed(const TenantAccount& account, const StepPlan& step);

/// True if a task of the step could start once the tenant's other tasks that
/// are not long-running have ended.
bool FitsQuotaEventually(const TenantAccount& account,
                         const StepPlan& step,
                         std::size_t wanted);

/// Adds the resources of a task that is placed.
void AddUse(TenantAccount* account, const StepPlan& step);
void RemoveUse(TenantAccount* account, const StepPlan& step);

/// Largest share of any resource of \p total that the tenant has.
double DominantShare(const TenantAccount& account, const Resources& total);

/// For each account, whether the tenant has more than its share: its dominant
/// share relative to its weight exceeds that of all tenants in \p active
/// together.
std::vector<bool> FindTenantsOverShare(const TenantAccounts& accounts,
                                       const std::vector<bool>& active,
                                       const Resources& total);

}  // namespace hyssopspar::jobs
