#include "hyssopspar/jobs/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace hyssopspar::jobs {

namespace {

/// Ratio of CPU capacities below which a node leaves a cell to the larger node.
/// At higher ratios a takeover costs more than it gains.
constexpr double kLowCapacityRatio = 0.6;

/// Number of nodes up to which few nodes have nearly the shortest delay.
constexpr double kMaxNodes = 1024;

/// Delay of this node's claim relative to other nodes; constant within an
/// epoch. The delays of all nodes are distributed exponentially towards the
/// upper bound, so that few nodes claim before they can read the first claim,
/// however many nodes there are.
Duration ClaimJitter(const OwnerView& view, const OwnershipSettings& settings) {
  const std::uint64_t epoch = view.m_record ? view.m_record->m_epoch : 0;
  const std::uint64_t hash =
      XXH64(settings.m_node.data(), settings.m_node.size(), epoch);
  const double uniform =
      (static_cast<double>(hash) + 1) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const double share = 1 + std::log(uniform) / std::log(kMaxNodes);
  return std::chrono::duration_cast<Duration>(settings.m_claim_jitter *
                                              std::clamp(share, 0.0, 1.0));
}

/// Wait in favor of nodes with more CPU capacity.
milliseconds LowCapacityWait(const OwnerView& view,
                             const OwnershipSettings& settings) {
  if (!view.m_record) {
    return std::chrono::duration_cast<milliseconds>(
        settings.m_low_capacity_delay *
        (1 - std::min(1.0, settings.m_cpu_capacity)));
  }
  return HasMuchLessCpuCapacity(settings.m_cpu_capacity,
                                view.m_record->m_max_cpu_capacity)
             ? settings.m_low_capacity_delay
             : milliseconds(0);
}

}  // namespace

void ApplyOwnerRecord(OwnerView* view,
                      const OwnerRecord& record,
                      TimePoint now) {
  const bool is_stale =
      view->m_record && record.m_epoch < view->m_record->m_epoch;
  if (is_stale) {
    return;
  }
  const bool same_owner =
      view->m_record && record.m_epoch == view->m_record->m_epoch;
  view->m_unreachable = view->m_unreachable && same_owner;
  view->m_record = record;
  view->m_last_record_at = now;
}

bool OwnsCell(const OwnerView& view, const OwnershipSettings& settings) {
  return view.m_record && view.m_record->m_process == settings.m_process &&
         !view.m_record->m_released;
}

TimePoint InheritedLeaseDeadline(const OwnerView& view,
                                 milliseconds max_lease_after_renewal) {
  const bool is_known = view.m_record && view.m_record->m_released &&
                        view.m_record->m_leases_expire_within > milliseconds(0);
  return view.m_last_record_at +
         (is_known ? std::min(view.m_record->m_leases_expire_within,
                              max_lease_after_renewal)
                   : max_lease_after_renewal);
}

bool HasMuchLessCpuCapacity(double capacity, double other) {
  return capacity < kLowCapacityRatio * other;
}

bool ShouldOfferTakeover(const OwnerView& view,
                         const OwnershipSettings& settings) {
  return view.m_record && !view.m_record->m_released &&
         view.m_record->m_node != settings.m_node &&
         HasMuchLessCpuCapacity(view.m_record->m_cpu_capacity,
                                settings.m_cpu_capacity);
}

ClaimTime NextClaim(const OwnerView& view, const OwnershipSettings& settings) {
  ClaimTime claim;
  claim.m_at = view.m_last_record_at;
  claim.m_jitter = ClaimJitter(view, settings);
  claim.m_low_capacity_wait = LowCapacityWait(view, settings);
  if (!view.m_record || view.m_record->m_released || view.m_unreachable) {
    return claim;
  }
  // The owner is an earlier process of this node, which no longer runs.
  if (view.m_record->m_node == settings.m_node) {
    claim.m_jitter = Duration::zero();
    return claim;
  }
  claim.m_at =
      std::max(claim.m_at + settings.m_takeover_timeout,
               view.m_store_connected_since + settings.m_reconnect_grace);
  claim.m_requires_current_view = true;
  return claim;
}

OwnerRecord MakeClaim(const OwnerView& view,
                      const OwnershipSettings& settings) {
  OwnerRecord claim;
  claim.m_epoch = view.m_record ? view.m_record->m_epoch + 1 : 1;
  claim.m_node = settings.m_node;
  claim.m_process = settings.m_process;
  claim.m_address = settings.m_address;
  claim.m_cpu_capacity = settings.m_cpu_capacity;
  claim.m_max_cpu_capacity =
      std::max(settings.m_cpu_capacity,
               view.m_record ? view.m_record->m_max_cpu_capacity : 0.0);
  return claim;
}

}  // namespace hyssopspar::jobs
