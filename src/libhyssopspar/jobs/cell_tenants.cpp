// Quotas and shares of tenants.

#include <algorithm>
#include <utility>

#include "hyssopspar/jobs/cell.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Minimum time between log lines about a tenant's tasks that wait for its
/// quota.
constexpr milliseconds kWaitReportInterval{1000};

}  // namespace

void Cell::SetTenants(const std::vector<TenantPolicy>& tenants) {
  if (ApplyPolicies(&m_tenants, tenants)) {
    m_schedule_needed = true;
  }
}

TenantAccount* Cell::AccountOf(const Job& job) {
  return job.m_account ? &m_tenants.m_accounts[*job.m_account] : nullptr;
}

void Cell::HoldBackOverQuota(const Job& job,
                             const StepPlan& plan,
                             TimePoint now,
                             std::vector<std::size_t>* pending) {
  TenantAccount* const account = AccountOf(job);
  if (account == nullptr || pending->empty()) {
    return;
  }
  const Resources each = CountedResourcesOf(plan);
  std::size_t allowed = 0;
  if (plan.m_gang) {
    // A gang is placed as a whole or not at all.
    Resources all;
    for (std::size_t i = 0; i < pending->size(); ++i) {
      all += each;
    }
    allowed = StartsWithinQuota(*account, all, 1) * pending->size();
  } else {
    allowed = StartsWithinQuota(*account, each, pending->size());
  }
  if (allowed == pending->size()) {
    return;
  }
  account->m_waiting_tasks += pending->size() - allowed;
  pending->resize(allowed);
  if (now < account->m_next_wait_report) {
    return;
  }
  account->m_next_wait_report = now + kWaitReportInterval;
  const Resources used = account->m_used + account->m_unexpected;
  const Resources& limit = account->m_policy.m_maximum;
  CellLog()->info(
      "quota-wait tenant={} job={} tasks={} cpu={}/{} memory={}/{} "
      "accelerators={}/{} view_age_ms={}",
      account->m_policy.m_name, job.m_submission.m_id,
      account->m_waiting_tasks, used.m_cpu_milli, limit.m_cpu_milli,
      used.m_memory_mib, limit.m_memory_mib, used.m_accelerators,
      limit.m_accelerators, ToMillis(now - m_operators_current_at));
}

void Cell::SetUnexpectedRuns(Worker* worker, std::vector<TenantRuns> runs) {
  for (const TenantRuns& previous : worker->m_unexpected_runs_of_tenants) {
    m_tenants.m_accounts[previous.m_account].m_unexpected -=
        previous.m_resources;
    m_schedule_needed = true;
  }
  for (const TenantRuns& current : runs) {
    m_tenants.m_accounts[current.m_account].m_unexpected +=
        current.m_resources;
  }
  worker->m_unexpected_runs_of_tenants = std::move(runs);
}

void Cell::DropLapsedUnexpectedRuns(TimePoint now) {
  for (Worker& worker : m_workers) {
    if (!worker.m_reachable && now > worker.m_lease_deadline &&
        !worker.m_unexpected_runs_of_tenants.empty()) {
      SetUnexpectedRuns(&worker, {});
    }
  }
}

std::vector<bool> Cell::TenantsOverShare() {
  if (m_tenants.m_accounts.empty()) {
    return {};
  }
  std::vector<bool> active(m_tenants.m_accounts.size(), false);
  for (const Job* const job : m_open_jobs) {
    if (job->m_account) {
      active[*job->m_account] = true;
    }
  }
  Resources total;
  m_work.m_worker_visits += m_workers.size();
  for (const Worker& worker : m_workers) {
    if (worker.m_listed) {
      total += worker.m_entry.m_capacity;
    }
  }
  return FindTenantsOverShare(m_tenants, active, total);
}

}  // namespace hyssopspar::jobs
