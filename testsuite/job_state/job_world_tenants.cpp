// Tenants of the simulated jobs, and their quotas.

#include <algorithm>

#include "job_state/job_world_internal.h"

namespace hyssopspar::jobs {

namespace {

/// Time for which a quota that has been replaced may still be used: an owner
/// decides by views of up to 1.5 s of age, and a start is valid for 1.5 s of a
/// worker's clock, which may be 2 percent slow.
constexpr milliseconds kQuotaNotice{3050};
/// Quotas of processors. Some tasks are larger than the lowest of them, and all
/// jobs can end in the time without faults by the last one.
constexpr std::int64_t kLowestQuota = 5000;
constexpr std::int64_t kHighestQuota = 30000;
constexpr std::int64_t kLastQuota = 40000;

Resources Highest(const Resources& a, const Resources& b) {
  return {std::max(a.m_cpu_milli, b.m_cpu_milli),
          std::max(a.m_memory_mib, b.m_memory_mib),
          std::max(a.m_accelerators, b.m_accelerators)};
}

/// Highest of the tenant's quotas that may be in force since \p since.
Resources HighestQuotaSince(const SimulatedTenant& tenant, TimePoint since) {
  Resources highest;
  for (std::size_t i = 0; i < tenant.m_quotas.size(); ++i) {
    const bool is_replaced =
        i + 1 < tenant.m_quotas.size() && tenant.m_quotas[i + 1].first < since;
    if (!is_replaced) {
      highest = Highest(highest, tenant.m_quotas[i].second);
    }
  }
  return highest;
}

}  // namespace

void JobSimulation::AddTenants() {
  for (int i = 0; i < m_options.m_tenants; ++i) {
    m_tenants.push_back({"tenant" + std::to_string(i), {}});
  }
  for (SimulatedTenant& tenant : m_tenants) {
    ChangeQuota(&tenant, kLastQuota);
    ScheduleAtRandom(m_options.m_quota_changes, [this, &tenant] {
      const std::int64_t range = kHighestQuota - kLowestQuota;
      ChangeQuota(&tenant,
                  kLowestQuota + static_cast<std::int64_t>(
                                     m_fault_random() %
                                     static_cast<std::uint64_t>(range)));
    });
    ScheduleAfter(kFaultPeriod,
                  [this, &tenant] { ChangeQuota(&tenant, kLastQuota); });
  }
}

void JobSimulation::ChangeQuota(SimulatedTenant* tenant,
                                std::int64_t cpu_milli) {
  tenant->m_quotas.emplace_back(m_now, Resources{cpu_milli, 2 * cpu_milli, 0});
  ++m_stored_quotas;
}

bool JobSimulation::UpdateTenants(Owner* owner) {
  if (owner->m_quotas_applied == m_stored_quotas) {
    return false;
  }
  owner->m_quotas_applied = m_stored_quotas;
  std::vector<TenantPolicy> policies;
  for (const SimulatedTenant& tenant : m_tenants) {
    policies.push_back({tenant.m_name, 1, tenant.m_quotas.back().second});
  }
  owner->m_cell->SetTenants(policies);
  return true;
}

void JobSimulation::CheckQuota(const std::string& tenant) {
  const auto sender = std::find_if(
      m_tenants.begin(), m_tenants.end(),
      [&](const SimulatedTenant& other) { return other.m_name == tenant; });
  if (sender == m_tenants.end()) {
    return;
  }
  Resources used;
  Resources largest_task;
  for (const std::unique_ptr<SimulatedWorker>& worker : m_workers) {
    worker->Advance(m_now);
    for (const auto& entry : worker->Runs()) {
      const TaskName& task = entry.second.m_task;
      const Submission& job = m_jobs.at(task.m_job);
      if (job.m_tenant == tenant) {
        const Resources& size = job.m_plan.m_steps[task.m_step].m_size;
        used += size;
        largest_task = Highest(largest_task, size);
      }
    }
  }
  if (!Fits(used,
            HighestQuotaSince(*sender, m_now - kQuotaNotice) + largest_task)) {
    ReportViolation("quota exceeded: " + tenant + " uses " +
                    std::to_string(used.m_cpu_milli) + " of the processors");
  }
}

}  // namespace hyssopspar::jobs
