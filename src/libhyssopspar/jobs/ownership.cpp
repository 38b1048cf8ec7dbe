#include "hyssopspar/jobs/ownership.h"

#include <xxhash.h>

#include <algorithm>

namespace hyssopspar::jobs {

namespace {

/// Ratio of CPU capacities below which a node leaves a cell to the larger node.
/// At higher ratios a takeover costs more than it gains.
constexpr double kLowCapacityRatio = 0.6;

/// Delay of this node's claim relative to other nodes; constant within an
/// epoch.
Duration ClaimJitter(const OwnerView& view, const OwnershipSettings& settings) {
  const std::uint64_t epoch = view.m_record ? view.m_record->m_epoch : 0;
  const std::uint64_t hash =
      XXH64(settings.m_node.data(), settings.m_node.size(), epoch);
  constexpr std::uint64_t kSlots = 16;
  return Duration(settings.m_claim_jitter) * static_cast<int>(hash % kSlots) /
         static_cast<int>(kSlots);
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
  claim.m_at = view.m_last_record_at + ClaimJitter(view, settings);
  if (view.m_record &&
      HasMuchLessCpuCapacity(settings.m_cpu_capacity,
                             view.m_record->m_max_cpu_capacity)) {
    claim.m_low_capacity_wait = settings.m_low_capacity_delay;
  }
  if (!view.m_record || view.m_record->m_released || view.m_unreachable) {
    return claim;
  }
  // The owner is an earlier process of this node, which no longer runs.
  if (view.m_record->m_node == settings.m_node) {
    claim.m_at = view.m_last_record_at;
    return claim;
  }
  claim.m_at += settings.m_takeover_timeout;
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
