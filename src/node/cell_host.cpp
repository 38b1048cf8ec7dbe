// Following the owner stream, and claims and renewals of the cell.

#include "node/cell_host.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/logging.h"
#include "node/cell_host_limits.h"

namespace hyssopspar::node {

namespace {

/// Time that the store waits for new records before it answers a read of the
/// owner stream.
constexpr milliseconds kOwnerLongPoll{1000};
/// A job that is missing from an older view of the job stream may exist.
constexpr milliseconds kMaxJobViewAge{2500};

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
      Log(kOwnerLogComponent)
          ->warn("owner-record-ignored key={}", record.m_key);
      continue;
    }
    const bool owner_changed =
        !m_owner.m_record ||
        owner.value().m_epoch != m_owner.m_record->m_epoch ||
        owner.value().m_released != m_owner.m_record->m_released;
    jobs::ApplyOwnerRecord(&m_owner, owner.value(), now);
    if (owner_changed) {
      Log(kOwnerLogComponent)
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

void CellHost::MarkOwnerUnreachable(std::uint64_t epoch) {
  if (m_owner.m_record && m_owner.m_record->m_epoch == epoch &&
      !m_owner.m_unreachable) {
    Log(kOwnerLogComponent)
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
  m_inherited_lease_deadline = jobs::InheritedLeaseDeadline(
      m_owner, m_settings.m_max_lease_after_renewal);
  m_claim = jobs::MakeClaim(m_owner, m_settings.m_ownership);
  m_claim_sent_at = Clock::now();
  Log(kOwnerLogComponent)
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
  Log(kOwnerLogComponent)
      ->info("claim-failed cell={} epoch={} error={}", m_cell_number,
             m_claim.m_epoch, ToString(result.error()));
  const ErrorCode code = result.error().m_code;
  if (code == ErrorCode::kConflict || code == ErrorCode::kNotSent ||
      code == ErrorCode::kUnavailable) {
    StepDown("claim-refused");
  }
}

void CellHost::RenewOwnership() {
  if (m_renewing) {
    return;
  }
  m_renewing = true;
  jobs::OwnerRecord renewed = m_claim;
  renewed.m_renewals = m_owner.m_record->m_renewals + 1;
  const TimePoint sent = Clock::now();
  PublishLoad(&renewed, sent);
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
      Log(kOwnerLogComponent)
          ->warn("renewal-failed cell={} epoch={} error={}", m_cell_number,
                 m_claim.m_epoch, ToString(end.error()));
      m_renew_at = Clock::now() + kStoreRetryDelay;
    }
    Reevaluate();
    TickAndDispatch();
  });
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
  m_cell->SetTenants(m_operator_view->Config().m_tenants);
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
