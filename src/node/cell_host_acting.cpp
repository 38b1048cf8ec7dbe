// Part of CellHost that runs while this node owns the cell: passes records and
// answers to the cell and executes the cell's actions.

#include <algorithm>
#include <cstddef>
#include <utility>

#include "hyssopspar/cpu_time.h"
#include "hyssopspar/logging.h"
#include "node/cell_host.h"
#include "node/cell_host_limits.h"
#include "node/tenant_metrics.h"

namespace hyssopspar::node {

namespace {

/// Time limit of one order to a worker.
constexpr milliseconds kOrderTimeout{1000};
/// Time limit of one request to the adviser; long, since the adviser handles
/// requests one at a time.
constexpr milliseconds kAdviceTimeout{5000};
/// Most records of ended jobs in one append.
constexpr std::size_t kMaxCompactedRecords = 5000;
/// Delay before such an append that has failed is repeated.
constexpr milliseconds kCompactionRetryDelay{1000};
/// Time between updates of the metrics of tenants.
constexpr milliseconds kTenantMetricsInterval{1000};

}  // namespace

void CellHost::ApplyJobRecords(const std::vector<KeyedRecord>& records) {
  const TimePoint now = Clock::now();
  for (const KeyedRecord& record : records) {
    m_loader.ApplyJobRecord(record, m_cell.get(), now);
  }
  TickAndDispatch();
}

void CellHost::ApplyWorkerRecords(const std::vector<KeyedRecord>& records) {
  const TimePoint now = Clock::now();
  for (const KeyedRecord& record : records) {
    const Result<jobs::WorkerEntry> entry = m_platform->DecodeWorker(record);
    if (entry) {
      m_cell->SetWorker(entry.value(), now);
      continue;
    }
    if (record.m_value) {
      Log(kOwnerLogComponent)
          ->warn("worker-record-ignored key={} error={}", record.m_key,
                 ToString(entry.error()));
    }
    m_cell->RemoveWorker(record.m_key);
  }
  TickAndDispatch();
}

void CellHost::ReplaceWorkers(const std::vector<KeyedRecord>& records) {
  std::set<std::string> listed;
  for (const KeyedRecord& record : records) {
    listed.insert(record.m_key);
  }
  for (const jobs::Worker& worker : m_cell->Workers()) {
    if (listed.count(worker.m_entry.m_id) == 0) {
      m_cell->RemoveWorker(worker.m_entry.m_id);
    }
  }
  ApplyWorkerRecords(records);
}

void CellHost::TickAndDispatch() {
  if (m_phase != Phase::kOwning) {
    return;
  }
  const TimePoint now = Clock::now();
  m_cell->SetViewTimes(m_operator_view->CurrentAsOf(),
                       m_worker_stream->CurrentAsOf());
  m_cell->SetUnixTime(std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch()),
                      now);
  const Duration cpu_before = ThreadCpuTime();
  m_cell->Tick(now);
  const Duration cpu_decided = ThreadCpuTime();
  for (jobs::Action& action : m_cell->TakeActions()) {
    std::visit([this](auto& typed) { Execute(std::move(typed)); }, action);
  }
  m_work_report.AddRound(cpu_decided - cpu_before,
                         ThreadCpuTime() - cpu_decided);
  RecordCompletions();
  ReportWork(now);
  if (m_cell->IsFenced()) {
    StepDown("fenced");
    ScheduleReevaluation();
    return;
  }
  m_loop->SetDeadline(m_cell->NextDeadline(), [this] { TickAndDispatch(); });
}

void CellHost::RecordCompletions() {
  for (const jobs::JobEnd& end : m_cell->TakeJobEnds()) {
    const std::string labels =
        FormatMetricLabel("queue", end.m_queue) + "," +
        FormatMetricLabel("state", jobs::ToString(end.m_state));
    m_metrics->Histogram("hyssopspar_job_seconds", labels).Add(end.m_age);
  }
}

void CellHost::ReportWork(TimePoint now) {
  m_work_report.AddStages(m_cell->TakeStageTimes(), m_metrics);
  if (m_work_report.LogWhenDue(m_cell->Work(), now) &&
      m_settings.m_cell.m_look_ahead) {
    m_work_report.SetReservations(m_cell->Reservations(), m_metrics);
  }
  if (now >= m_next_tenant_metrics) {
    m_next_tenant_metrics = now + kTenantMetricsInterval;
    WriteTenantMetrics(m_cell->Tenants(), m_metrics);
  }
}

bool CellHost::IsExpired(TimePoint send_before) {
  if (Clock::now() <= send_before) {
    return false;
  }
  m_metrics->Value("hyssopspar_expired_orders_total").fetch_add(1);
  return true;
}

void CellHost::Execute(jobs::StartAction action) {
  m_metrics->Value("hyssopspar_starts_total").fetch_add(1);
  const TimePoint deadline = Clock::now() + kOrderTimeout;
  const TimePoint send_before = action.m_send_before;
  const jobs::WorkerTarget target = action.m_target;
  const jobs::StartOrder order = action.m_order;
  const std::function<void(Result<jobs::StartReply>)> answered =
      BindToGeneration<Result<jobs::StartReply>>(
          [this,
           action = std::move(action)](const Result<jobs::StartReply>& answer) {
            m_cell->OnStartAnswer(action, answer, Clock::now());
            TickAndDispatch();
          });
  if (IsExpired(send_before)) {
    answered(Fail(ErrorCode::kNotSent, "the permission to start has expired"));
    return;
  }
  m_platform->Workers().Start(target, order, deadline, answered);
}

void CellHost::Execute(jobs::StopAction action) {
  m_metrics->Value("hyssopspar_stops_total").fetch_add(1);
  const jobs::WorkerTarget target = action.m_target;
  const jobs::StopOrder order = action.m_order;
  m_platform->Workers().Stop(
      target, order, Clock::now() + kOrderTimeout,
      BindToGeneration<Result<void>>(
          [this, action = std::move(action)](const Result<void>& answer) {
            m_cell->OnStopAnswer(action, answer, Clock::now());
            TickAndDispatch();
          }));
}

void CellHost::Execute(const jobs::ThrottleAction& action) {
  m_platform->Workers().Throttle(
      action.m_target, action.m_order, Clock::now() + kOrderTimeout,
      [id = action.m_target.m_id](const Result<void>& answer) {
        if (!answer) {
          Log(kOwnerLogComponent)
              ->warn("throttle-failed worker={} error={}", id,
                     ToString(answer.error()));
        }
      });
}

void CellHost::Execute(jobs::HeartbeatAction action) {
  m_metrics->Value("hyssopspar_holds_total").fetch_add(1);
  const TimePoint deadline =
      Clock::now() + kOrderTimeout + action.m_order.m_wait;
  const TimePoint send_before = action.m_send_before;
  const jobs::WorkerTarget target = action.m_target;
  const jobs::HeartbeatRequest order = action.m_order;
  const std::function<void(Result<jobs::HeartbeatReport>)> answered =
      BindToGeneration<Result<jobs::HeartbeatReport>>(
          [this, action = std::move(action)](
              const Result<jobs::HeartbeatReport>& answer) {
            m_cell->OnHeartbeatAnswer(action, answer, Clock::now());
            TickAndDispatch();
          });
  if (IsExpired(send_before)) {
    answered(Fail(ErrorCode::kNotSent, "the ownership lease has expired"));
    return;
  }
  m_platform->Workers().ExchangeHeartbeat(target, order, deadline, answered);
}

void CellHost::Execute(jobs::AdviseAction action) {
  m_metrics->Value("hyssopspar_advice_total").fetch_add(1);
  std::vector<std::string> workers;
  for (const jobs::AdviceCandidate& candidate : action.m_candidates) {
    workers.push_back(candidate.m_id);
  }
  const jobs::StepName step = action.m_step;
  m_platform->Adviser().Ask(
      step, workers, Clock::now() + kAdviceTimeout,
      BindToGeneration<Result<jobs::TicketsByWorker>>(
          [this, action = std::move(action)](
              const Result<jobs::TicketsByWorker>& answer) {
            m_cell->OnAdvice(action, answer, Clock::now());
            TickAndDispatch();
          }));
}

void CellHost::Execute(const jobs::StoreAction& action) {
  m_metrics->Value("hyssopspar_batches_total").fetch_add(1);
  AppendGuard guard;
  guard.m_writer = jobs::kOwnerWriter;
  guard.m_epoch = m_claim.m_epoch;
  guard.m_sequence = action.m_batch;
  m_platform->Log().Append(
      PartitionOf(jobs::kProgressStream), action.m_records, guard,
      Clock::now() + kStoreTimeout,
      BindToGeneration<Result<Offset>>(
          [this, batch = action.m_batch,
           sent = Clock::now()](const Result<Offset>& end) {
            m_cell->OnStored(batch, end, Clock::now());
            // A refusal is an answer of the store: it is in reach.
            OnStoreCall(
                end || end.error().m_code == ErrorCode::kInvalidArgument, sent);
            TickAndDispatch();
          }));
}

void CellHost::Execute(const jobs::TombstoneJobsAction& action) {
  std::vector<KeyedRecord> tombstones;
  for (const std::string& id : action.m_jobs) {
    tombstones.push_back({id, jobs::kTombstoneValue});
  }
  CompactJobStream(tombstones);
}

void CellHost::Execute(const jobs::DropJobsAction& action) {
  std::vector<KeyedRecord> removals;
  for (const std::string& id : action.m_jobs) {
    removals.push_back({id, std::nullopt});
    removals.push_back({jobs::CancelKey(id), std::nullopt});
  }
  for (const std::string& key : action.m_cancel_keys) {
    removals.push_back({key, std::nullopt});
  }
  CompactJobStream(removals);
}

void CellHost::CompactJobStream(const std::vector<KeyedRecord>& records) {
  for (std::size_t first = 0; first < records.size();
       first += kMaxCompactedRecords) {
    const auto begin = records.begin() + static_cast<std::ptrdiff_t>(first);
    const auto end =
        records.begin() + static_cast<std::ptrdiff_t>(std::min(
                              records.size(), first + kMaxCompactedRecords));
    AppendCompaction({begin, end});
  }
}

void CellHost::AppendCompaction(const std::vector<KeyedRecord>& records) {
  m_platform->Log().Append(
      PartitionOf(jobs::kJobStream), records, AppendGuard(),
      Clock::now() + kStoreTimeout,
      BindToGeneration<Result<Offset>>(
          [this, records](const Result<Offset>& end) {
            if (!end) {
              Log(kOwnerLogComponent)
                  ->warn("compaction-failed error={}", ToString(end.error()));
              RetryLater([this, records] { AppendCompaction(records); },
                         kCompactionRetryDelay);
            }
          }));
}

}  // namespace hyssopspar::node
