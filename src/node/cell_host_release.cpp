// Part of CellHost that gives the cell up: to a stronger node, at a shutdown,
// after an error, or through a peer when the store is lost.

#include <algorithm>
#include <utility>

#include "hyssopspar/logging.h"
#include "node/cell_host.h"
#include "node/cell_host_limits.h"
#include "node/tenant_metrics.h"

namespace hyssopspar::node {

namespace {

/// An owner ignores takeover offers for this long after it has loaded the cell.
constexpr milliseconds kMinTenure{1000};
/// Time limit of the call by which a node finds out for an owner whether it
/// reaches the store.
constexpr milliseconds kStoreCheckTimeout{200};
/// Time for which a node leaves the cell to others after an unexpected error.
constexpr milliseconds kClaimPauseAfterError{5000};

}  // namespace

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
  Log(kOwnerLogComponent)
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
        Log(kOwnerLogComponent)
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
  // It grants no lease after StepDown().
  released.m_leases_expire_within =
      std::max(OwnLeaseLimit(), std::chrono::duration_cast<milliseconds>(
                                    m_inherited_lease_deadline - Clock::now()));
  StepDown(reason);
  AppendOwner(released, [this, released,
                         done = std::move(done)](const Result<Offset>& end) {
    Log(kOwnerLogComponent)
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

milliseconds CellHost::OwnLeaseLimit() const {
  return m_settings.m_max_lease_after_renewal - m_settings.m_ownership_lease +
         jobs::kLeaseExpiryMargin;
}

void CellHost::StepDown(const char* reason) {
  if (m_phase != Phase::kNotOwner) {
    Log(kOwnerLogComponent)
        ->info("step-down cell={} epoch={} reason={}", m_cell_number,
               m_claim.m_epoch, reason);
  }
  if (m_phase == Phase::kOwning) {
    ClearTenantMetrics(m_cell->Tenants(), m_metrics);
  }
  ++m_generation;
  m_phase = Phase::kNotOwner;
  m_renewing = false;
  m_offered_cpu_capacity = 0;
  m_load = jobs::LoadSummary();
  m_refusal_book = jobs::RefusalBook();
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

}  // namespace hyssopspar::node
