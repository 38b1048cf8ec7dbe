#include "node/admission_gate.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/logging.h"

namespace hyssopspar::node {

namespace {

constexpr const char* kLogComponent = "front";
/// Time limit of a question to the owner; a job is admitted without an answer.
constexpr milliseconds kQueryTimeout{300};
/// Minimum time between log lines about refusals.
constexpr milliseconds kLogInterval{100};

HttpResponse Overloaded(std::chrono::seconds retry_after) {
  const std::string time = std::to_string(retry_after.count());
  HttpResponse response =
      ErrorResponse(429, "overloaded",
                    "the job could not end in time; return in " + time + " s");
  response.m_headers["retry-after"] = time;
  return response;
}

}  // namespace

AdmissionGate::AdmissionGate(bool enabled,
                             const CellHost* cell_host,
                             OwnerClient* owner_client,
                             Metrics* metrics)
    : m_enabled(enabled),
      m_cell_host(cell_host),
      m_owner_client(owner_client),
      m_metrics(metrics) {}

Duration AdmissionGate::AgeOfLoad(const jobs::LoadSummary& load) const {
  const milliseconds unix_now = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return std::max<Duration>(
      Clock::now() - m_cell_host->Owner().m_last_record_at,
      unix_now - milliseconds(load.m_as_of_unix_ms));
}

void AdmissionGate::Count(const char* reason) {
  m_metrics
      ->Value("hyssopspar_admission_total", FormatMetricLabel("reason", reason))
      .fetch_add(1);
}

void AdmissionGate::Check(const jobs::Submission& job,
                          TimePoint deadline,
                          const HttpReply& reply,
                          const std::function<void()>& admit) {
  if (!m_enabled) {
    admit();
    return;
  }
  const jobs::OwnerView& owner = m_cell_host->Owner();
  const bool has_load =
      owner.m_record && !owner.m_record->m_released && owner.m_record->m_load;
  const jobs::LoadSummary* const load =
      has_load ? &*owner.m_record->m_load : nullptr;
  const Duration age = has_load ? AgeOfLoad(*load) : Duration::zero();
  const jobs::AdmissionEstimate estimate =
      jobs::EstimateAdmission(job, load, age);
  if (estimate.m_reason != jobs::AdmissionReason::kTooLate &&
      estimate.m_reason != jobs::AdmissionReason::kMayBeLate) {
    Count(jobs::ToString(estimate.m_reason));
    admit();
    return;
  }
  jobs::AdmissionQuery query;
  query.m_job = job.m_id;
  query.m_queue = jobs::NameHash(job.m_queue.m_name);
  query.m_tenant = job.m_tenant.empty() ? 0 : jobs::NameHash(job.m_tenant);
  query.m_cpu_demand = jobs::CpuDemandOf(job.m_plan);
  query.m_on_time_wait = estimate.m_objective - estimate.m_run_time;
  query.m_longest_wait = estimate.m_late_limit - estimate.m_run_time;
  m_owner_client->GetAdmission(
      query, std::min(deadline, Clock::now() + kQueryTimeout),
      [this, job, estimate, age, reply,
       admit](const Result<jobs::AdmissionAnswer>& answer) {
        if (!answer || !answer.value().m_is_refused) {
          Count(answer ? "owner-admits" : "owner-silent");
          admit();
          return;
        }
        Count(jobs::ToString(jobs::AdmissionReason::kTooLate));
        LogRefusal(job, estimate, age, answer.value().m_retry_after);
        reply(Overloaded(answer.value().m_retry_after));
      });
}

void AdmissionGate::LogRefusal(const jobs::Submission& job,
                               const jobs::AdmissionEstimate& estimate,
                               Duration age,
                               std::chrono::seconds retry_after) {
  const TimePoint now = Clock::now();
  if (now < m_next_log) {
    ++m_unlogged_refusals;
    return;
  }
  m_next_log = now + kLogInterval;
  Log(kLogComponent)
      ->info(
          "job-refused-overload id={} queue={} tenant={} wait_ms={} run_ms={} "
          "late_limit_ms={} load_age_ms={} retry_after_s={} unlogged={}",
          job.m_id, job.m_queue.m_name, job.m_tenant, estimate.m_wait.count(),
          estimate.m_run_time.count(), estimate.m_late_limit.count(),
          ToMillis(age), retry_after.count(),
          std::exchange(m_unlogged_refusals, 0));
}

}  // namespace hyssopspar::node
