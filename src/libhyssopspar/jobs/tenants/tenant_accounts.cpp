#include "hyssopspar/jobs/tenants/tenant_accounts.h"

#include <algorithm>
#include <cstdint>

namespace hyssopspar::jobs {

namespace {

double ShareOf(std::int64_t used, std::int64_t total) {
  return total > 0 ? static_cast<double>(used) / static_cast<double>(total) : 0;
}

/// True if \p used does not exceed \p limit, in which 0 means no limit.
bool IsWithin(const Resources& used, const Resources& limit) {
  return (limit.m_cpu_milli == 0 || used.m_cpu_milli <= limit.m_cpu_milli) &&
         (limit.m_memory_mib == 0 || used.m_memory_mib <= limit.m_memory_mib) &&
         (limit.m_accelerators == 0 ||
          used.m_accelerators <= limit.m_accelerators);
}

/// Number of tasks that \p limit allows beside \p used; 0 as \p limit: all.
std::int64_t RoomFor(std::int64_t limit,
                     std::int64_t used,
                     std::int64_t each,
                     std::int64_t wanted) {
  if (limit == 0 || each == 0) {
    return wanted;
  }
  return std::clamp<std::int64_t>((limit - used) / each, 0, wanted);
}

}  // namespace

std::size_t AccountIndex(TenantAccounts* accounts, const std::string& tenant) {
  const auto inserted =
      accounts->m_index.emplace(tenant, accounts->m_accounts.size());
  if (inserted.second) {
    TenantAccount account;
    account.m_policy.m_name = tenant;
    accounts->m_accounts.push_back(std::move(account));
  }
  return inserted.first->second;
}

bool ApplyPolicies(TenantAccounts* accounts,
                   const std::vector<TenantPolicy>& policies) {
  bool changed = false;
  if (policies.empty()) {
    for (TenantAccount& account : accounts->m_accounts) {
      TenantPolicy unlimited;
      unlimited.m_name = account.m_policy.m_name;
      changed = changed || !(account.m_policy == unlimited);
      account.m_policy = unlimited;
    }
  }
  for (const TenantPolicy& policy : policies) {
    TenantPolicy& current =
        accounts->m_accounts[AccountIndex(accounts, policy.m_name)].m_policy;
    changed = changed || !(current == policy);
    current = policy;
  }
  return changed;
}

Resources CountedResourcesOf(const StepPlan& step) {
  // Unlike on a worker, the CPU of best-effort tasks counts: the platform
  // limits what a tenant runs, whoever else could have used it.
  return step.m_size;
}

std::size_t StartsWithinQuota(const TenantAccount& account,
                              const Resources& each,
                              std::size_t wanted) {
  const Resources& limit = account.m_policy.m_maximum;
  const Resources used = account.m_used + account.m_unexpected;
  std::int64_t room = static_cast<std::int64_t>(wanted);
  room = RoomFor(limit.m_cpu_milli, used.m_cpu_milli, each.m_cpu_milli, room);
  room =
      RoomFor(limit.m_memory_mib, used.m_memory_mib, each.m_memory_mib, room);
  room = RoomFor(limit.m_accelerators, used.m_accelerators, each.m_accelerators,
                 room);
  if (room == 0 && wanted > 0 && used == Resources()) {
    return 1;
  }
  return static_cast<std::size_t>(room);
}

std::size_t StepStartsWithinQuota(const TenantAccount& account,
                                  const StepPlan& step,
                                  std::size_t wanted) {
  const Resources each = CountedResourcesOf(step);
  if (!step.m_gang || wanted == 0) {
    return StartsWithinQuota(account, each, wanted);
  }
  Resources all_but_one;
  for (std::size_t i = 1; i < wanted; ++i) {
    all_but_one += each;
  }
  const Resources& limit = account.m_policy.m_maximum;
  const Resources used = account.m_used + account.m_unexpected;
  const bool fits = IsWithin(used + all_but_one + each, limit) ||
                    (used == Resources() && IsWithin(all_but_one, limit));
  return fits ? wanted : 0;
}

bool IsStartStillAllowed(const TenantAccount& account, const StepPlan& step) {
  const std::size_t placed = step.m_gang ? step.m_tasks : 1;
  TenantAccount others = account;
  for (std::size_t i = 0; i < placed; ++i) {
    others.m_used -= CountedResourcesOf(step);
  }
  return StepStartsWithinQuota(others, step, placed) > 0;
}

bool FitsQuotaEventually(const TenantAccount& account,
                         const StepPlan& step,
                         std::size_t wanted) {
  TenantAccount later;
  later.m_policy = account.m_policy;
  later.m_used = account.m_used_lastingly;
  return StepStartsWithinQuota(later, step, wanted) > 0;
}

void AddUse(TenantAccount* account, const StepPlan& step) {
  account->m_used += CountedResourcesOf(step);
  if (step.m_long_running) {
    account->m_used_lastingly += CountedResourcesOf(step);
  }
}

void RemoveUse(TenantAccount* account, const StepPlan& step) {
  account->m_used -= CountedResourcesOf(step);
  if (step.m_long_running) {
    account->m_used_lastingly -= CountedResourcesOf(step);
  }
}

double DominantShare(const TenantAccount& account, const Resources& total) {
  const Resources used = account.m_used + account.m_unexpected;
  return std::max({ShareOf(used.m_cpu_milli, total.m_cpu_milli),
                   ShareOf(used.m_memory_mib, total.m_memory_mib),
                   ShareOf(used.m_accelerators, total.m_accelerators)});
}

std::vector<bool> FindTenantsOverShare(const TenantAccounts& accounts,
                                       const std::vector<bool>& active,
                                       const Resources& total) {
  double weights = 0;
  double shares = 0;
  std::vector<double> share_of(accounts.m_accounts.size(), 0);
  for (std::size_t i = 0; i < accounts.m_accounts.size(); ++i) {
    share_of[i] = DominantShare(accounts.m_accounts[i], total);
    if (active[i]) {
      weights += accounts.m_accounts[i].m_policy.m_weight;
      shares += share_of[i];
    }
  }
  std::vector<bool> over(accounts.m_accounts.size(), false);
  for (std::size_t i = 0; i < over.size() && weights > 0; ++i) {
    over[i] =
        active[i] && share_of[i] * weights >
                         shares * accounts.m_accounts[i].m_policy.m_weight;
  }
  return over;
}

}  // namespace hyssopspar::jobs
