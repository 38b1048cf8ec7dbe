/// \file
/// Cell ownership rules: interprets the records of a cell's owner stream and
/// decides when this node may claim the cell.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "hyssopspar/jobs/records.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Identity of this node and timing of renewals and claims.
struct OwnershipSettings {
  std::string m_node;
  std::string m_process;  ///< Unique for each start of the node process.
  std::string m_address;  ///< Address of the node's internal interface.
  /// An owner without a renewal for this time may be replaced.
  milliseconds m_takeover_timeout{2300};
  milliseconds m_renewal_interval{800};  ///< Interval between renewals.
  /// An owner may be replaced only this long after this node has regained the
  /// store: when the store was down for all, the owner renews at its return.
  milliseconds m_reconnect_grace{700};
  /// Upper bound of the claim delay that differs by node, so that nodes do not
  /// all claim a free cell at once.
  milliseconds m_claim_jitter{200};
  /// A new owner keeps the cell for this long when it has lost the store, so
  /// that a store that refuses calls of all nodes now and then does not move
  /// the cell around.
  milliseconds m_min_tenure{3000};
  /// CPU capacity of this node, in processors. Nodes with more capacity are
  /// preferred as owners.
  double m_cpu_capacity = 1;
  /// Time for which nodes with much less CPU capacity than the largest node
  /// leave a free cell to other nodes. A cell that never had an owner is left
  /// to larger nodes for a part of it, which shrinks with the node's capacity.
  milliseconds m_low_capacity_delay{1500};
};

/// One node's view of the owner of a cell.
struct OwnerView {
  std::optional<OwnerRecord> m_record;
  /// When the last record was applied, or when the owner stream was found
  /// empty.
  TimePoint m_last_record_at;
  bool m_unreachable = false;  ///< The owner refuses connections.
  /// Since when this node has read the owner stream without a failure. Earlier
  /// silence may be the store's rather than the owner's.
  TimePoint m_store_connected_since;
};

/// Applies a record read at \p now. Records of an older epoch are ignored.
void ApplyOwnerRecord(OwnerView* view,
                      const OwnerRecord& record,
                      TimePoint now);

/// True if this process is the owner and has not released the cell.
bool OwnsCell(const OwnerView& view, const OwnershipSettings& settings);

/// True if a node with CPU capacity \p capacity should leave a cell to a node
/// with capacity \p other.
bool HasMuchLessCpuCapacity(double capacity, double other);

/// True if this node should offer the current owner to take over the cell.
bool ShouldOfferTakeover(const OwnerView& view,
                         const OwnershipSettings& settings);

/// Earliest time of a claim and its conditions.
struct ClaimTime {
  TimePoint m_at;
  /// The claim relies on the absence of a renewal, so the view of the owner
  /// stream must be current as of m_at.
  bool m_requires_current_view = false;
  /// Additional waits, starting when this node first saw the cell free: one
  /// that differs by node, and one in favor of nodes with more CPU capacity.
  Duration m_jitter{0};
  milliseconds m_low_capacity_wait{0};
};

/// Time at which this node may claim the cell if no further record arrives.
ClaimTime NextClaim(const OwnerView& view, const OwnershipSettings& settings);

/// Time by which all leases that owners before this claim may have granted have
/// expired. Without a release, the last owner has granted them until
/// \p max_lease_after_renewal from its last renewal.
TimePoint InheritedLeaseDeadline(const OwnerView& view,
                                 milliseconds max_lease_after_renewal);

/// Builds the record by which this node claims the cell, with the next epoch.
OwnerRecord MakeClaim(const OwnerView& view, const OwnershipSettings& settings);

}  // namespace hyssopspar::jobs
