#include "hyssopspar/jobs/ownership.h"

#include <xxhash.h>

#include <algorithm>

namespace hyssopspar::jobs {

namespace {

/// Share of another node's processors below which a node is much weaker; above
/// it, a takeover costs more than it brings.
constexpr double kMuchWeaker = 0.6;

/// Place of this node among the candidates, the same for a whole epoch.
Duration SpreadOf(const OwnerView& view, const OwnershipSettings& settings) {
  const std::uint64_t epoch = view.m_record ? view.m_record->m_epoch : 0;
  const std::uint64_t hash =
      XXH64(settings.m_node.data(), settings.m_node.size(), epoch);
  constexpr std::uint64_t kSlots = 16;
  return Duration(settings.m_spread) * static_cast<int>(hash % kSlots) /
         static_cast<int>(kSlots);
}

}  // namespace

void NoteOwner(OwnerView* view, const OwnerRecord& record, TimePoint now) {
  const bool older = view->m_record && record.m_epoch < view->m_record->m_epoch;
  if (older) {
    return;
  }
  const bool same_owner =
      view->m_record && record.m_epoch == view->m_record->m_epoch;
  view->m_unreachable = view->m_unreachable && same_owner;
  view->m_record = record;
  view->m_changed = now;
}

bool OwnsCell(const OwnerView& view, const OwnershipSettings& settings) {
  return view.m_record && view.m_record->m_process == settings.m_process &&
         !view.m_record->m_released;
}

bool IsMuchWeaker(double strength, double other) {
  return strength < kMuchWeaker * other;
}

bool ShouldOffer(const OwnerView& view, const OwnershipSettings& settings) {
  return view.m_record && !view.m_record->m_released &&
         view.m_record->m_node != settings.m_node &&
         IsMuchWeaker(view.m_record->m_strength, settings.m_strength);
}

ClaimTime NextClaim(const OwnerView& view, const OwnershipSettings& settings) {
  ClaimTime claim;
  claim.m_at = view.m_changed + SpreadOf(view, settings);
  if (view.m_record &&
      IsMuchWeaker(settings.m_strength, view.m_record->m_strongest)) {
    claim.m_yield = settings.m_weaker_delay;
  }
  if (!view.m_record || view.m_record->m_released || view.m_unreachable) {
    return claim;
  }
  // The node's own earlier life can't act any more.
  if (view.m_record->m_node == settings.m_node) {
    claim.m_at = view.m_changed;
    return claim;
  }
  claim.m_at += settings.m_silence;
  claim.m_needs_silence = true;
  return claim;
}

OwnerRecord MakeClaim(const OwnerView& view,
                      const OwnershipSettings& settings) {
  OwnerRecord claim;
  claim.m_epoch = view.m_record ? view.m_record->m_epoch + 1 : 1;
  claim.m_node = settings.m_node;
  claim.m_process = settings.m_process;
  claim.m_address = settings.m_address;
  claim.m_strength = settings.m_strength;
  claim.m_strongest = std::max(
      settings.m_strength, view.m_record ? view.m_record->m_strongest : 0.0);
  return claim;
}

}  // namespace hyssopspar::jobs
