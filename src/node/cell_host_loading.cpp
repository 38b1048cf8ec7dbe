// Part of CellHost from a stored claim to the loaded cell.

#include <utility>

#include "hyssopspar/logging.h"
#include "node/cell_host.h"
#include "node/cell_host_limits.h"

namespace hyssopspar::node {

namespace {

/// Time that the store waits for new records before it answers a read of the
/// job stream.
constexpr milliseconds kJobLongPoll{1000};
/// Time between reads of the platform's list of workers.
constexpr milliseconds kWorkerPollInterval{400};

}  // namespace

void CellHost::RetryLater(std::function<void()> step, milliseconds delay) {
  m_loop->PostAt(Clock::now() + delay,
                 [this, generation = m_generation, step = std::move(step)] {
                   if (generation == m_generation) {
                     step();
                   }
                 });
}

void CellHost::Fence() {
  m_phase = Phase::kFencing;
  AppendGuard guard;
  guard.m_writer = jobs::kOwnerWriter;
  guard.m_epoch = m_claim.m_epoch;
  m_platform->Log().Append(
      PartitionOf(jobs::kProgressStream), {}, guard,
      Clock::now() + kStoreTimeout,
      BindToGeneration<Result<Offset>>([this](const Result<Offset>& end) {
        if (end) {
          m_phase = Phase::kLoading;
          m_loader = jobs::CellLoader();
          LoadProgress("");
          return;
        }
        Log(kOwnerLogComponent)
            ->warn("fence-failed cell={} epoch={} error={}", m_cell_number,
                   m_claim.m_epoch, ToString(end.error()));
        if (end.error().m_code == ErrorCode::kFenced) {
          StepDown("fenced");
          return;
        }
        RetryLater([this] { Fence(); }, kStoreRetryDelay);
      }));
}

void CellHost::CreateCell() {
  jobs::CellSettings settings = m_settings.m_cell;
  settings.m_epoch = m_claim.m_epoch;
  settings.m_inherited_lease_deadline = m_inherited_lease_deadline;
  settings.m_inherited_orders_until =
      m_previous_renewal_at + m_settings.m_ownership_lease;
  m_cell = std::make_unique<jobs::Cell>(settings, Clock::now());
  m_cell->SetUnixTime(std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch()),
                      Clock::now());
  m_work_report = OwnerWorkReport();
  m_applied_excluded_domains.clear();
  FollowerCallbacks worker_callbacks;
  worker_callbacks.m_snapshot =
      [this](const std::vector<KeyedRecord>& records) {
        ReplaceWorkers(records);
      };
  worker_callbacks.m_records = [this](const std::vector<KeyedRecord>& records) {
    ApplyWorkerRecords(records);
  };
  m_worker_stream = std::make_shared<StreamFollower>(
      &m_platform->Log(), m_loop, m_platform->WorkerRecords(),
      FollowerSettings{milliseconds(0), kWorkerPollInterval},
      std::move(worker_callbacks));
  m_worker_stream->Start();
  FollowerCallbacks job_callbacks;
  job_callbacks.m_snapshot = [this](const std::vector<KeyedRecord>& records) {
    ApplyJobRecords(records);
    if (m_phase == Phase::kLoading) {
      m_loader.Finish(m_cell.get(), Clock::now());
      BecomeOwner();
    }
  };
  job_callbacks.m_records = [this](const std::vector<KeyedRecord>& records) {
    ApplyJobRecords(records);
  };
  m_job_stream = std::make_shared<StreamFollower>(
      &m_platform->Log(), m_loop, PartitionOf(jobs::kJobStream),
      FollowerSettings{kJobLongPoll, milliseconds(0)},
      std::move(job_callbacks));
  m_job_stream->Start();
}

void CellHost::LoadProgress(const std::string& after_key) {
  m_platform->Log().Newest(
      PartitionOf(jobs::kProgressStream), after_key,
      Clock::now() + kStoreTimeout,
      BindToGeneration<Result<KeyedPage>>(
          [this](const Result<KeyedPage>& page) { OnProgressPage(page); }));
}

void CellHost::OnProgressPage(const Result<KeyedPage>& page) {
  if (!page) {
    Log(kOwnerLogComponent)
        ->warn("load-failed cell={} epoch={} error={}", m_cell_number,
               m_claim.m_epoch, ToString(page.error()));
    RetryLater([this] { LoadProgress(""); }, kStoreRetryDelay);
    return;
  }
  for (const KeyedRecord& record : page.value().m_records) {
    m_loader.ApplyProgressRecord(record);
  }
  if (page.value().m_has_more && !page.value().m_records.empty()) {
    LoadProgress(page.value().m_records.back().m_key);
    return;
  }
  CreateCell();
}

void CellHost::BecomeOwner() {
  m_phase = Phase::kOwning;
  m_metrics->Value("hyssopspar_takeovers_total").fetch_add(1);
  const TimePoint now = Clock::now();
  Log(kOwnerLogComponent)
      ->info("owning cell={} epoch={} after_ms={}", m_cell_number,
             m_claim.m_epoch, ToMillis(now - m_claim_sent_at));
  m_renew_at = now;
  m_owning_since = now;
  m_store_contact = jobs::StoreContact();
  m_cell->SetOwnershipLeaseDeadline(m_claim_sent_at +
                                    m_settings.m_ownership_lease);
  m_cell->SetTenants(m_operator_view->Config().m_tenants);
  m_cell->Activate(now);
  OnOperatorChange();
  Reevaluate();
}

}  // namespace hyssopspar::node
