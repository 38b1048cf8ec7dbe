/// \file
/// Who owns a cell, decided from the records of its owner stream.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "hyssopspar/jobs/records.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

struct OwnershipSettings {
  std::string m_node;
  std::string m_process;  ///< Differs for each start of the node.
  std::string m_address;  ///< Of the node's internal interface.
  /// An owner that has not renewed for so long may be replaced.
  milliseconds m_silence{2300};
  milliseconds m_renewal{800};
  /// Claims of different nodes are spread over this time.
  milliseconds m_spread{250};
  /// Processors of this node. The work of an owner goes to strong nodes.
  double m_strength = 1;
  /// Nodes much weaker than the strongest leave a free cell to others so long.
  milliseconds m_weaker_delay{1500};
};

/// What one node knows of the owner of a cell.
struct OwnerView {
  std::optional<OwnerRecord> m_record;
  TimePoint m_changed;         ///< When the record last changed, as seen here.
  bool m_unreachable = false;  ///< The owner refuses connections.
};

/// Enters a record read at \p now.
void NoteOwner(OwnerView* view, const OwnerRecord& record, TimePoint now);

/// True when the view names this very process as a live owner.
bool OwnsCell(const OwnerView& view, const OwnershipSettings& settings);

/// True when a node of \p strength should leave a cell to one of \p other.
bool IsMuchWeaker(double strength, double other);

/// True when this node should ask the live owner for the cell.
bool ShouldOffer(const OwnerView& view, const OwnershipSettings& settings);

/// When a node may claim a cell.
struct ClaimTime {
  TimePoint m_at;
  /// The claim rests on silence, which counts only as far as the stream was
  /// read.
  bool m_needs_silence = false;
  /// Time for which the cell is left to stronger nodes, from when it was first
  /// seen to be free.
  milliseconds m_yield{0};
};

/// When this node may claim the cell, if nothing changes in the stream.
ClaimTime NextClaim(const OwnerView& view, const OwnershipSettings& settings);

/// The claim that this node would make now.
OwnerRecord MakeClaim(const OwnerView& view, const OwnershipSettings& settings);

}  // namespace hyssopspar::jobs
