// What a cell's owner hears and does.

#include <utility>

#include "hyssopspar/logging.h"
#include "node/cell_host.h"

namespace hyssopspar::node {

namespace {

constexpr const char* kLogPart = "owner";
/// Limits of one call to the store and of one order to a worker.
constexpr milliseconds kStoreLimit{1500};
constexpr milliseconds kOrderLimit{1000};
/// Limit of one question to the adviser, which takes them in turn.
constexpr milliseconds kAdviceLimit{5000};

}  // namespace

void CellHost::EnterJobs(const std::vector<KeyedRecord>& records) {
  const TimePoint now = Clock::now();
  for (const KeyedRecord& record : records) {
    m_loader.EnterJob(record, m_cell.get(), now);
  }
  Pump();
}

void CellHost::EnterWorkers(const std::vector<KeyedRecord>& records) {
  const TimePoint now = Clock::now();
  for (const KeyedRecord& record : records) {
    const Result<jobs::WorkerEntry> entry = m_platform->DecodeWorker(record);
    if (entry) {
      m_cell->SetWorker(entry.value(), now);
      continue;
    }
    if (record.m_value) {
      Log(kLogPart)->warn("worker-ignored key={} error={}", record.m_key,
                          ToString(entry.error()));
    }
    m_cell->RemoveWorker(record.m_key);
  }
  Pump();
}

void CellHost::ReplaceWorkers(const std::vector<KeyedRecord>& records) {
  std::set<std::string> present;
  for (const KeyedRecord& record : records) {
    present.insert(record.m_key);
  }
  for (const jobs::Worker& worker : m_cell->Workers()) {
    if (present.count(worker.m_entry.m_id) == 0) {
      m_cell->RemoveWorker(worker.m_entry.m_id);
    }
  }
  EnterWorkers(records);
}

void CellHost::Pump() {
  if (m_phase != Phase::kOwning) {
    return;
  }
  const TimePoint now = Clock::now();
  m_cell->SetViewTimes(m_operators->Verified(), m_worker_stream->Verified());
  m_cell->SetUnixTime(std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch()),
                      now);
  m_cell->Tick(now);
  for (jobs::Action& action : m_cell->TakeActions()) {
    std::visit([this](auto& a) { Perform(std::move(a)); }, action);
  }
  CountEnds();
  if (m_cell->IsFenced()) {
    StepDown("fenced");
    ArmReview();
    return;
  }
  m_loop->SetDeadline(m_cell->NextDeadline(), [this] { Pump(); });
}

void CellHost::CountEnds() {
  for (const jobs::JobEnd& end : m_cell->TakeEnds()) {
    const std::string labels = Label("queue", end.m_queue) + "," +
                               Label("state", jobs::ToString(end.m_state));
    m_metrics->Histogram("hyssopspar_job_seconds", labels).Add(end.m_age);
  }
}

void CellHost::Perform(jobs::StartAction action) {
  m_metrics->Value("hyssopspar_starts_total").fetch_add(1);
  const TimePoint deadline = Clock::now() + kOrderLimit;
  const jobs::WorkerTarget target = action.m_target;
  const jobs::StartOrder order = action.m_order;
  m_platform->Workers().Start(target, order, deadline,
                              OnLoop<Result<jobs::StartAnswer>>(
                                  [this, action = std::move(action)](
                                      const Result<jobs::StartAnswer>& answer) {
                                    m_cell->OnStartAnswer(action, answer,
                                                          Clock::now());
                                    Pump();
                                  }));
}

void CellHost::Perform(jobs::StopAction action) {
  m_metrics->Value("hyssopspar_stops_total").fetch_add(1);
  const jobs::WorkerTarget target = action.m_target;
  const jobs::StopOrder order = action.m_order;
  m_platform->Workers().Stop(
      target, order, Clock::now() + kOrderLimit,
      OnLoop<Result<void>>(
          [this, action = std::move(action)](const Result<void>& answer) {
            m_cell->OnStopAnswer(action, answer, Clock::now());
            Pump();
          }));
}

void CellHost::Perform(const jobs::PaceAction& action) {
  m_platform->Workers().Pace(
      action.m_target, action.m_order, Clock::now() + kOrderLimit,
      [id = action.m_target.m_id](const Result<void>& answer) {
        if (!answer) {
          Log(kLogPart)->warn("pace-failed worker={} error={}", id,
                              ToString(answer.error()));
        }
      });
}

void CellHost::Perform(jobs::HoldAction action) {
  m_metrics->Value("hyssopspar_holds_total").fetch_add(1);
  const TimePoint deadline = Clock::now() + kOrderLimit + action.m_order.m_wait;
  const jobs::WorkerTarget target = action.m_target;
  const jobs::HoldOrder order = action.m_order;
  m_platform->Workers().Hold(
      target, order, deadline,
      OnLoop<Result<jobs::HoldReport>>(
          [this,
           action = std::move(action)](const Result<jobs::HoldReport>& answer) {
            m_cell->OnHoldAnswer(action, answer, Clock::now());
            Pump();
          }));
}

void CellHost::Perform(jobs::AdviseAction action) {
  m_metrics->Value("hyssopspar_advice_total").fetch_add(1);
  std::vector<std::string> workers;
  for (const jobs::AdviceCandidate& candidate : action.m_candidates) {
    workers.push_back(candidate.m_id);
  }
  const jobs::StepName step = action.m_step;
  m_platform->Adviser().Ask(
      step, workers, Clock::now() + kAdviceLimit,
      OnLoop<Result<jobs::AdvisedWorkers>>(
          [this, action = std::move(action)](
              const Result<jobs::AdvisedWorkers>& answer) {
            m_cell->OnAdvice(action, answer, Clock::now());
            Pump();
          }));
}

void CellHost::Perform(const jobs::StoreAction& action) {
  m_metrics->Value("hyssopspar_batches_total").fetch_add(1);
  AppendGuard guard;
  guard.m_writer = jobs::kOwnerWriter;
  guard.m_epoch = m_claim.m_epoch;
  guard.m_sequence = action.m_batch;
  m_platform->Log().Append(
      PartitionOf(jobs::kProgressStream), action.m_records, guard,
      Clock::now() + kStoreLimit,
      OnLoop<Result<Offset>>(
          [this, batch = action.m_batch](const Result<Offset>& end) {
            m_cell->OnStored(batch, end, Clock::now());
            Pump();
          }));
}

void CellHost::Perform(const jobs::RetireAction& action) {
  std::vector<KeyedRecord> markers;
  for (const std::string& id : action.m_jobs) {
    markers.push_back({id, jobs::kRetiredMarker});
  }
  Tidy(markers);
}

void CellHost::Perform(const jobs::ForgetAction& action) {
  std::vector<KeyedRecord> drops;
  for (const std::string& id : action.m_jobs) {
    drops.push_back({id, std::nullopt});
    drops.push_back({jobs::CancelKey(id), std::nullopt});
  }
  Tidy(drops);
}

/// Shortens the job stream. Nothing depends on it but the time to load.
void CellHost::Tidy(const std::vector<KeyedRecord>& drops) {
  m_platform->Log().Append(
      PartitionOf(jobs::kJobStream), drops, AppendGuard(),
      Clock::now() + kStoreLimit, [](const Result<Offset>& end) {
        if (!end) {
          Log(kLogPart)->warn("tidy-failed error={}", ToString(end.error()));
        }
      });
}

}  // namespace hyssopspar::node
