// Quotas and shares of tenants, and the cancellation of their jobs.

#include <algorithm>
#include <utility>

#include "hyssopspar/invariant.h"
#include "hyssopspar/jobs/cell.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Minimum time between log lines about a tenant's tasks that wait for its
/// quota.
constexpr milliseconds kWaitReportInterval{1000};
/// Time between checks for unexpected runs whose leases have expired.
constexpr milliseconds kLapseCheckInterval{1000};
/// Time after which a job that waits for its tenant's quota holds that tenant's
/// less urgent jobs back. Otherwise smaller tasks could take all that becomes
/// free, for ever.
constexpr milliseconds kQuotaWaitLimit{3000};

}  // namespace

void Cell::SetTenants(const std::vector<TenantPolicy>& tenants) {
  if (ApplyPolicies(&m_tenants, tenants)) {
    m_schedule_needed = true;
  }
}

TenantAccount* Cell::AccountOf(const Job& job) {
  return job.m_account ? &m_tenants.m_accounts[*job.m_account] : nullptr;
}

void Cell::OnCancel(const std::string& job_id,
                    const CallerIdentity& caller,
                    TimePoint now) {
  Job* const job = FindMutableJob(job_id);
  if (job == nullptr) {
    if (m_ended_jobs.count(job_id) == 0) {
      m_early_cancellations[job_id].insert(caller.m_tenant);
    }
    return;
  }
  if (job->m_cancelled || IsTerminal(job->m_state)) {
    return;
  }
  if (!MayAccess(caller, job->m_submission.m_tenant)) {
    CellLog()->info("cancellation-ignored job={} tenant={} caller={}", job_id,
                    job->m_submission.m_tenant, caller.m_tenant.value_or(""));
    return;
  }
  job->m_cancelled = true;
  if (m_active) {
    EndJob(job, JobState::kCancelled, now);
  }
}

void Cell::NoteCancellation(const std::string& job_id,
                            const CallerIdentity& caller) {
  m_cancellation_records[job_id].insert(caller.m_tenant.value_or(""));
}

const std::string& Cell::TenantOf(const std::string& job_id) const {
  static const std::string kNone;
  const Job* const job = FindJob(job_id);
  if (job != nullptr) {
    return job->m_submission.m_tenant;
  }
  const auto ended = m_ended_jobs.find(job_id);
  return ended == m_ended_jobs.end() ? kNone : ended->second.m_tenant;
}

void Cell::AddTenantUse(const Job& job, const StepPlan& step) {
  if (TenantAccount* const account = AccountOf(job)) {
    AddUse(account, step);
  }
}

void Cell::RemoveTenantUse(const Job& job, const StepPlan& step) {
  if (TenantAccount* const account = AccountOf(job)) {
    RemoveUse(account, step);
    HYSSOPSPAR_INVARIANT(IsNonNegative(account->m_used));
  }
}

bool Cell::IsWithinQuota(const TaskRef& ref) const {
  const Job& job = *ref.m_job;
  return !job.m_account ||
         IsStartStillAllowed(m_tenants.m_accounts[*job.m_account],
                             StepOf(job, ref.m_index));
}

void Cell::HoldBackOverQuota(Job* job,
                             const StepPlan& plan,
                             TimePoint now,
                             std::vector<std::size_t>* pending) {
  TenantAccount* const account = AccountOf(*job);
  if (account == nullptr || pending->empty()) {
    return;
  }
  const std::size_t allowed =
      account->m_is_kept_for_task
          ? 0
          : StepStartsWithinQuota(*account, plan, pending->size());
  if (allowed > 0) {
    job->m_quota_turn_at = TimePoint::max();
  } else if (job->m_quota_turn_at == TimePoint::max()) {
    job->m_quota_turn_at = now + kQuotaWaitLimit;
  } else if (now >= job->m_quota_turn_at &&
             FitsQuotaEventually(*account, plan, pending->size())) {
    account->m_is_kept_for_task = true;
  }
  if (allowed < pending->size()) {
    account->m_waiting_tasks += pending->size() - allowed;
    pending->resize(allowed);
    ReportQuotaWait(*job, account, now);
  }
}

void Cell::ReportQuotaWait(const Job& job,
                           TenantAccount* account,
                           TimePoint now) {
  if (now < account->m_next_wait_report) {
    return;
  }
  account->m_next_wait_report = now + kWaitReportInterval;
  const Resources used = account->m_used + account->m_unexpected;
  const Resources& limit = account->m_policy.m_maximum;
  CellLog()->info(
      "quota-wait tenant={} job={} tasks={} cpu={}/{} memory={}/{} "
      "accelerators={}/{} view_age_ms={}",
      account->m_policy.m_name, job.m_submission.m_id, account->m_waiting_tasks,
      used.m_cpu_milli, limit.m_cpu_milli, used.m_memory_mib,
      limit.m_memory_mib, used.m_accelerators, limit.m_accelerators,
      ToMillis(now - m_operators_current_at));
}

void Cell::SetUnexpectedRuns(Worker* worker, std::vector<TenantRuns> runs) {
  for (const TenantRuns& previous : worker->m_unexpected_runs_of_tenants) {
    m_tenants.m_accounts[previous.m_account].m_unexpected -=
        previous.m_resources;
    m_schedule_needed = true;
  }
  for (const TenantRuns& current : runs) {
    m_tenants.m_accounts[current.m_account].m_unexpected += current.m_resources;
  }
  worker->m_unexpected_runs_of_tenants = std::move(runs);
}

void Cell::DropLapsedUnexpectedRuns(TimePoint now) {
  if (m_tenants.m_accounts.empty() || now < m_next_lapse_check) {
    return;
  }
  m_next_lapse_check = now + kLapseCheckInterval;
  for (Worker& worker : m_workers) {
    const bool reports = worker.m_listed && worker.m_reachable;
    if (!reports && now > worker.m_lease_deadline &&
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
