#include "hyssopspar/jobs/worker.h"

#include <algorithm>

namespace hyssopspar::jobs {

WorkerTime WorkerTimeAt(const Worker& worker, TimePoint at) {
  return worker.m_reported_clock + std::chrono::duration_cast<milliseconds>(
                                       at - worker.m_clock_received_at);
}

double CpuCapacityOf(const Worker& worker) {
  return static_cast<double>(
      std::max<std::int64_t>(1, worker.m_entry.m_capacity.m_cpu_milli));
}

double CpuShareOf(const StepPlan& step, const Worker& worker) {
  return static_cast<double>(step.m_size.m_cpu_milli) / CpuCapacityOf(worker);
}

bool HasCurrentEntry(const Worker& worker) {
  return worker.m_entry.m_incarnation_unix_ms == worker.m_incarnation_unix_ms;
}

bool IsUsable(const Worker& worker,
              const std::set<std::string>& excluded_domains) {
  return worker.m_listed && worker.m_epoch_acknowledged && worker.m_reachable &&
         HasCurrentEntry(worker) && !worker.m_entry.m_leaving &&
         excluded_domains.count(worker.m_entry.m_failure_domain) == 0;
}

void LimitExpectedTails(TimePoint reported_at, Worker* worker) {
  worker->m_expected_tails_until =
      std::min(worker->m_expected_tails_until, reported_at + milliseconds(1));
}

bool NeedsHeartbeat(const Worker& worker) {
  return (worker.m_listed || !worker.m_tasks.empty()) &&
         !worker.m_heartbeat_in_flight && !worker.m_entry.m_address.empty();
}

}  // namespace hyssopspar::jobs
