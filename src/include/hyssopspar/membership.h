/// \file
/// The schedulers that are alive, and what their cells have free.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/ids.h"
#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// What the owner of a cell tells the others about it.
struct CellSummary {
  std::string m_cell;
  Resources m_free;     ///< Sum over workers that take tasks.
  Resources m_largest;  ///< Largest capacity of one worker.
  std::uint32_t m_pending = 0;
  bool m_out = false;  ///< Failure domain out of service.
};

/// Heartbeat of a scheduler.
struct MemberBeat {
  std::string m_name;
  std::uint64_t m_incarnation = 0;
  std::string m_failure_domain;
  std::string m_address;  ///< Of its HTTP interface.
  bool m_leaving = false;
  std::vector<CellSummary> m_cells;
};

struct Member {
  MemberBeat m_beat;
  TimePoint m_first_seen;
  TimePoint m_last_seen;
};

/// Members by name. Times are those of the reader.
struct Membership {
  Offset m_next = 0;
  std::map<std::string, Member> m_members;
};

std::string EncodeBeat(const MemberBeat& beat);
Result<MemberBeat> DecodeBeat(const std::string& bytes);

/// Enters a heartbeat read at \p now. A beat of an older incarnation than the
/// one known for a live member is taken too: the log's order decides.
void NoteBeat(Membership* membership, const MemberBeat& beat, TimePoint now);

/// Drops members not seen since \p oldest.
void ExpireMembers(Membership* membership, TimePoint oldest);

/// Members fit to own \p cell, best first, by rendezvous hashing among those of
/// the cell's own failure domain and then among the others. Leaving ones are
/// left out.
std::vector<std::string> RankOwners(const Membership& membership,
                                    const std::string& cell);

}  // namespace hyssopspar
