#include "node/cell_host.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/logging.h"

namespace hyssopspar::node {

namespace {

constexpr const char* kLogComponent = "owner";
constexpr const char* kOwnerKey = "owner";
/// Time limit of one call to the store.
constexpr milliseconds kStoreTimeout{1500};
constexpr milliseconds kRetryDelay{150};
/// Time that the store waits for new records before it answers a read of the
/// owner or job stream.
constexpr milliseconds kOwnerLongPoll{1000};
constexpr milliseconds kJobLongPoll{1000};
/// Time between reads of the platform's list of workers.
constexpr milliseconds kWorkerPollInterval{400};
/// A job that is missing from an older view of the job stream may exist.
constexpr milliseconds kMaxJobViewAge{2500};
/// An owner ignores takeover offers for this long after it has loaded the cell.
constexpr milliseconds kMinTenure{1000};

/// Time limit of the call by which a node finds out for an owner whether it
/// reaches the store.
constexpr milliseconds kStoreCheckTimeout{200};
/// Time for which a node leaves the cell to others after an unexpected error.
constexpr milliseconds kClaimPauseAfterError{5000};

}  // namespace

CellHost::CellHost(const NodeSettings& settings,
                   int cell,
                   jobs::PlatformAdapter* platform,
                   DecisionLoop* loop,
                   const OperatorView* operator_view,
                   HandoverPort* handover,
                   Metrics* metrics)
    : m_settings(settings),
      m_cell_number(cell),
      m_platform(platform),
      m_loop(loop),
      m_operator_view(operator_view),
      m_handover(handover),
      m_metrics(metrics) {}

CellHost::~CellHost() = default;

Partition CellHost::PartitionOf(const char* stream) const {
  return {stream, m_cell_number};
}

void CellHost::Start() {
  FollowerCallbacks callbacks;
  callbacks.m_snapshot = [this](const std::vector<KeyedRecord>& records) {
    // Without an owner record, the wait before the first claim starts now.
    if (records.empty() && !m_owner.m_record) {
      m_owner.m_last_record_at = Clock::now();
    }
    OnOwnerRecords(records);
  };
  callbacks.m_records = [this](const std::vector<KeyedRecord>& records) {
    OnOwnerRecords(records);
  };
  m_owner_stream = std::make_shared<StreamFollower>(
      &m_platform->Log(), m_loop, PartitionOf(jobs::kOwnerStream),
      FollowerSettings{kOwnerLongPoll, milliseconds(0)}, std::move(callbacks));
  m_owner_stream->Start();
}

void CellHost::OnOwnerRecords(const std::vector<KeyedRecord>& records) {
  const TimePoint now = Clock::now();
  m_owner_stream_end = std::max(m_owner_stream_end, m_owner_stream->Next());
  for (const KeyedRecord& record : records) {
    const Result<jobs::OwnerRecord> owner =
        jobs::DecodeOwner(record.m_value.value_or(""));
    if (record.m_key != kOwnerKey || !owner) {
      Log(kLogComponent)->warn("owner-record-ignored key={}", record.m_key);
      continue;
    }
    const bool owner_changed =
        !m_owner.m_record ||
        owner.value().m_epoch != m_owner.m_record->m_epoch ||
        owner.value().m_released != m_owner.m_record->m_released;
    jobs::ApplyOwnerRecord(&m_owner, owner.value(), now);
    if (owner_changed) {
      Log(kLogComponent)
          ->info("owner cell={} epoch={} node={} released={}", m_cell_number,
                 owner.value().m_epoch, owner.value().m_node,
                 owner.value().m_released);
    }
  }
  Reevaluate();
  if (m_phase == Phase::kNotOwner && !m_releasing &&
      jobs::ShouldOfferTakeover(m_owner, m_settings.m_ownership)) {
    m_takeover_offer_handler();
  }
}

void CellHost::SetTakeoverOfferHandler(std::function<void()> handler) {
  m_takeover_offer_handler = std::move(handler);
}

void CellHost::OnTakeoverOffer(double cpu_capacity) {
  if (m_phase != Phase::kOwning ||
      !jobs::HasMuchLessCpuCapacity(m_settings.m_ownership.m_cpu_capacity,
                                    cpu_capacity) ||
      Clock::now() - m_owning_since < kMinTenure) {
    return;
  }
  m_offered_cpu_capacity = std::max(m_offered_cpu_capacity, cpu_capacity);
  Reevaluate();
}

void CellHost::MarkOwnerUnreachable(std::uint64_t epoch) {
  if (m_owner.m_record && m_owner.m_record->m_epoch == epoch &&
      !m_owner.m_unreachable) {
    Log(kLogComponent)
        ->warn("owner-unreachable cell={} epoch={} node={}", m_cell_number,
               epoch, m_owner.m_record->m_node);
    m_owner.m_unreachable = true;
    Reevaluate();
  }
}

void CellHost::Reevaluate() {
  const bool should_release = m_releasing || m_offered_cpu_capacity > 0;
  // Waits for a renewal in flight: of two appends that expect the same end of
  // the stream, the store refuses the second.
  if (should_release && m_phase == Phase::kOwning && !m_renewing) {
    ReleaseOwnership(m_releasing ? "stopping" : "handed-over");
  }
  if (m_releasing || !m_owner_stream->IsLoaded()) {
    return;
  }
  const TimePoint now = Clock::now();
  const bool owned_here = jobs::OwnsCell(m_owner, m_settings.m_ownership) &&
                          m_owner.m_record->m_epoch == m_claim.m_epoch;
  switch (m_phase) {
    case Phase::kNotOwner: {
      if (MayClaim(now)) {
        Claim();
      }
      break;
    }
    case Phase::kClaiming:
      if (owned_here) {
        Fence();
      } else if (m_owner.m_record &&
                 m_owner.m_record->m_epoch >= m_claim.m_epoch) {
        StepDown("claim-lost");
      } else if (now - m_claim_sent_at > kStoreTimeout + kStoreTimeout) {
        StepDown("claim-unanswered");
      }
      break;
    default:
      if (!owned_here) {
        StepDown("replaced");
      } else if (m_phase == Phase::kOwning && now >= m_renew_at &&
                 !should_release) {
        RenewOwnership();
      }
      break;
  }
  ScheduleReevaluation();
}

bool CellHost::MayClaim(TimePoint now) {
  m_owner.m_store_connected_since = m_owner_stream->ConnectedSince();
  const jobs::ClaimTime claim =
      jobs::NextClaim(m_owner, m_settings.m_ownership);
  // A renewal that has not been read yet may have extended the owner's lease.
  const bool expiry_confirmed = !claim.m_requires_current_view ||
                                m_owner_stream->CurrentAsOf() >= claim.m_at;
  // A node that can't read the store could not store a claim either.
  if (!m_operator_view->HasConfig() || !m_owner_stream->IsConnected() ||
      now < claim.m_at || now < m_no_claim_before || !expiry_confirmed) {
    m_free_since.reset();
    return false;
  }
  m_free_since = m_free_since.value_or(now);
  return now >= *m_free_since + claim.m_jitter + claim.m_low_capacity_wait;
}

void CellHost::ScheduleReevaluation() {
  const TimePoint now = Clock::now();
  TimePoint at = now + kOwnerLongPoll;
  if (m_phase == Phase::kOwning) {
    at = m_renewing ? at : m_renew_at;
  } else if (m_phase == Phase::kNotOwner) {
    const jobs::ClaimTime claim =
        jobs::NextClaim(m_owner, m_settings.m_ownership);
    at = m_free_since
             ? *m_free_since + claim.m_jitter + claim.m_low_capacity_wait
             : claim.m_at;
  }
  // A time in the past must not keep the loop busy.
  at = std::max(at, now + milliseconds(20));
  if (m_reevaluate_at > now && m_reevaluate_at <= at) {
    return;
  }
  m_reevaluate_at = at;
  m_loop->PostAt(at, [this, at] {
    if (m_reevaluate_at == at) {
      m_reevaluate_at = TimePoint::max();
      Reevaluate();
    }
  });
}

void CellHost::Claim() {
  m_phase = Phase::kClaiming;
  ++m_generation;
  m_previous_renewal_at = m_owner.m_last_record_at;
  m_claim = jobs::MakeClaim(m_owner, m_settings.m_ownership);
  m_claim_sent_at = Clock::now();
  Log(kLogComponent)
      ->info("claim cell={} epoch={} silence_ms={} refused={}", m_cell_number,
             m_claim.m_epoch,
             ToMillis(m_claim_sent_at - m_owner.m_last_record_at),
             m_owner.m_unreachable);
  AppendOwner(m_claim,
              [this](const Result<Offset>& end) { OnClaimAnswer(end); });
}

void CellHost::AppendOwner(const jobs::OwnerRecord& record,
                           std::function<void(Result<Offset>)> done) {
  AppendGuard guard;
  guard.m_expected_end = m_owner_stream_end;
  m_platform->Log().Append(PartitionOf(jobs::kOwnerStream),
                           {{kOwnerKey, jobs::EncodeOwner(record)}}, guard,
                           Clock::now() + kStoreTimeout,
                           BindToGeneration<Result<Offset>>(std::move(done)));
}

void CellHost::RetryLater(std::function<void()> step) {
  m_loop->PostAt(Clock::now() + kRetryDelay,
                 [this, generation = m_generation, step = std::move(step)] {
                   if (generation == m_generation) {
                     step();
                   }
                 });
}

void CellHost::OnClaimAnswer(const Result<Offset>& result) {
  if (m_phase != Phase::kClaiming) {
    return;
  }
  if (result) {
    m_owner_stream_end = std::max(m_owner_stream_end, result.value());
    jobs::ApplyOwnerRecord(&m_owner, m_claim, Clock::now());
    Fence();
    return;
  }
  Log(kLogComponent)
      ->info("claim-failed cell={} epoch={} error={}", m_cell_number,
             m_claim.m_epoch, ToString(result.error()));
  const ErrorCode code = result.error().m_code;
  if (code == ErrorCode::kConflict || code == ErrorCode::kNotSent ||
      code == ErrorCode::kUnavailable) {
    StepDown("claim-refused");
  }
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
        Log(kLogComponent)
            ->warn("fence-failed cell={} epoch={} error={}", m_cell_number,
                   m_claim.m_epoch, ToString(end.error()));
        if (end.error().m_code == ErrorCode::kFenced) {
          StepDown("fenced");
          return;
        }
        RetryLater([this] { Fence(); });
      }));
}

void CellHost::CreateCell() {
  jobs::CellSettings settings = m_settings.m_cell;
  settings.m_epoch = m_claim.m_epoch;
  settings.m_inherited_lease_deadline =
      m_previous_renewal_at + m_settings.m_max_lease_after_renewal;
  m_cell = std::make_unique<jobs::Cell>(settings, Clock::now());
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
    Log(kLogComponent)
        ->warn("load-failed cell={} epoch={} error={}", m_cell_number,
               m_claim.m_epoch, ToString(page.error()));
    RetryLater([this] { LoadProgress(""); });
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
  Log(kLogComponent)
      ->info("owning cell={} epoch={} after_ms={}", m_cell_number,
             m_claim.m_epoch, ToMillis(now - m_claim_sent_at));
  m_renew_at = now;
  m_owning_since = now;
  m_store_contact = jobs::StoreContact();
  m_cell->SetOwnershipLeaseDeadline(m_claim_sent_at +
                                    m_settings.m_ownership_lease);
  m_cell->Activate(now);
  OnOperatorChange();
  Reevaluate();
}

void CellHost::RenewOwnership() {
  if (m_renewing) {
    return;
  }
  m_renewing = true;
  jobs::OwnerRecord renewed = m_claim;
  renewed.m_renewals = m_owner.m_record->m_renewals + 1;
  const TimePoint sent = Clock::now();
  m_renew_at = sent + m_settings.m_ownership.m_renewal_interval;
  AppendOwner(renewed, [this, sent, renewed](const Result<Offset>& end) {
    m_renewing = false;
    OnStoreCall(end.has_value(), sent);
    if (m_phase != Phase::kOwning) {
      return;
    }
    if (end) {
      m_owner_stream_end = std::max(m_owner_stream_end, end.value());
      jobs::ApplyOwnerRecord(&m_owner, renewed, Clock::now());
      m_cell->SetOwnershipLeaseDeadline(sent + m_settings.m_ownership_lease);
    } else {
      Log(kLogComponent)
          ->warn("renewal-failed cell={} epoch={} error={}", m_cell_number,
                 m_claim.m_epoch, ToString(end.error()));
      m_renew_at = Clock::now() + kRetryDelay;
    }
    Reevaluate();
    TickAndDispatch();
  });
}

void CellHost::OnUnexpectedError() {
  if (m_phase == Phase::kNotOwner) {
    return;
  }
  m_no_claim_before = Clock::now() + kClaimPauseAfterError;
  if (m_phase == Phase::kOwning) {
    ReleaseOwnership("unexpected-error");
  } else {
    StepDown("unexpected-error");
  }
}

bool CellHost::SeesOtherOwner(std::uint64_t epoch) const {
  return m_phase == Phase::kNotOwner && m_owner_stream->IsLoaded() &&
         m_owner_stream->IsConnected() && m_owner.m_record &&
         m_owner.m_record->m_epoch == epoch && !m_owner.m_record->m_released;
}

void CellHost::CheckStoreForRelease(std::uint64_t epoch,
                                    std::function<void(bool)> done) {
  if (!SeesOtherOwner(epoch)) {
    done(false);
    return;
  }
  // The last read may have succeeded before the store went down.
  m_platform->Log().Read(
      PartitionOf(jobs::kOwnerStream), m_owner_stream_end, milliseconds(0),
      Clock::now() + kStoreCheckTimeout,
      [loop = m_loop, done = std::move(done)](const Result<KeyedSlice>& slice) {
        loop->Post([done, reached = slice.has_value()] { done(reached); });
      });
}

void CellHost::StoreReleaseForPeer(const jobs::OwnerRecord& release,
                                   std::function<void(Result<Offset>)> done) {
  if (!release.m_released || !SeesOtherOwner(release.m_epoch) ||
      release.m_process != m_owner.m_record->m_process) {
    done(Fail(ErrorCode::kConflict, "the cell has another owner"));
    return;
  }
  Log(kLogComponent)
      ->info("release-relayed cell={} epoch={} node={}", m_cell_number,
             release.m_epoch, release.m_node);
  AppendGuard guard;
  guard.m_expected_end = m_owner_stream_end;
  m_platform->Log().Append(
      PartitionOf(jobs::kOwnerStream),
      {{kOwnerKey, jobs::EncodeOwner(release)}}, guard,
      Clock::now() + kStoreTimeout,
      [loop = m_loop, done = std::move(done)](Result<Offset> end) {
        loop->Post([done, end = std::move(end)] { done(end); });
      });
}

void CellHost::OnStoreCall(bool succeeded, TimePoint sent) {
  const TimePoint now = Clock::now();
  jobs::RecordStoreCall(&m_store_contact, succeeded, sent);
  if (m_phase != Phase::kOwning || m_releasing ||
      !jobs::ShouldAskPeers(
          m_store_contact, m_owning_since + m_settings.m_ownership.m_min_tenure,
          now)) {
    return;
  }
  jobs::RecordQuestion(&m_store_contact, now);
  m_handover->FindPeer(m_claim.m_epoch, [this, generation = m_generation](
                                            const std::string& peer) {
    // The store may have answered since.
    const bool is_still_failing =
        m_store_contact.m_failing_since != TimePoint::max();
    if (generation == m_generation && m_phase == Phase::kOwning &&
        is_still_failing) {
      HandOverThrough(peer);
    }
  });
}

void CellHost::HandOverThrough(const std::string& peer) {
  jobs::OwnerRecord release = m_claim;
  release.m_released = true;
  m_handover->StoreRelease(
      peer, release,
      [this, peer, release,
       generation = m_generation](const Result<void>& stored) {
        Log(kLogComponent)
            ->info("handed-over cell={} epoch={} peer={} stored={}",
                   m_cell_number, release.m_epoch, peer, stored.has_value());
        if (!stored || generation != m_generation) {
          return;
        }
        jobs::ApplyOwnerRecord(&m_owner, release, Clock::now());
        StepDown("store-lost");
      });
}

void CellHost::Release(std::function<void()> done) {
  m_releasing = true;
  m_on_released = std::move(done);
  if (m_phase == Phase::kOwning) {
    Reevaluate();
  } else {
    StepDown("stopping");
  }
}

void CellHost::ReleaseOwnership(const char* reason) {
  jobs::OwnerRecord released = m_claim;
  released.m_released = true;
  released.m_max_cpu_capacity =
      std::max(released.m_max_cpu_capacity, m_offered_cpu_capacity);
  std::function<void()> done = std::exchange(m_on_released, nullptr);
  StepDown(reason);
  AppendOwner(released, [this, released,
                         done = std::move(done)](const Result<Offset>& end) {
    Log(kLogComponent)
        ->info("released cell={} epoch={} stored={}", m_cell_number,
               m_claim.m_epoch, end.has_value());
    if (end) {
      m_owner_stream_end = std::max(m_owner_stream_end, end.value());
      jobs::ApplyOwnerRecord(&m_owner, released, Clock::now());
    }
    if (done) {
      done();
    }
    Reevaluate();
  });
}

void CellHost::StepDown(const char* reason) {
  if (m_phase != Phase::kNotOwner) {
    Log(kLogComponent)
        ->info("step-down cell={} epoch={} reason={}", m_cell_number,
               m_claim.m_epoch, reason);
  }
  ++m_generation;
  m_phase = Phase::kNotOwner;
  m_renewing = false;
  m_offered_cpu_capacity = 0;
  if (m_job_stream != nullptr) {
    m_job_stream->Stop();
  }
  if (m_worker_stream != nullptr) {
    m_worker_stream->Stop();
  }
  m_loop->SetDeadline(TimePoint::max(), nullptr);
  if (m_on_released) {
    m_loop->Post(std::exchange(m_on_released, nullptr));
  }
  // Destroys them from the loop: StepDown may have been called from a callback
  // of one of the streams.
  m_loop->Post([job_stream = std::exchange(m_job_stream, nullptr),
                worker_stream = std::exchange(m_worker_stream, nullptr),
                cell = std::shared_ptr<jobs::Cell>(std::move(m_cell))] {});
}

void CellHost::OnOperatorChange() {
  if (m_cell == nullptr) {
    Reevaluate();
    return;
  }
  std::set<std::string> domains = m_operator_view->ExcludedDomains();
  for (const std::string& domain : m_applied_excluded_domains) {
    if (domains.count(domain) == 0) {
      m_cell->SetDomainExcluded(domain, false);
    }
  }
  for (const std::string& domain : domains) {
    m_cell->SetDomainExcluded(domain, true);
  }
  m_applied_excluded_domains = std::move(domains);
  TickAndDispatch();
}

const jobs::Cell* CellHost::OwnedCell() const {
  return m_phase == Phase::kOwning ? m_cell.get() : nullptr;
}

bool CellHost::IsJobViewFresh() const {
  return m_phase == Phase::kOwning &&
         Clock::now() - m_job_stream->CurrentAsOf() < kMaxJobViewAge;
}

}  // namespace hyssopspar::node
