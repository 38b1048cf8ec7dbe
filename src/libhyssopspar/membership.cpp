#include "hyssopspar/membership.h"

#include <algorithm>
#include <tuple>

#include "hyssopspar/config_doc.h"
#include "pvt/archive.h"

namespace hyssopspar {

template <class A, class T>
void VisitFields(A& a, T& s, const CellSummary* /*tag*/) {
  a(s.m_cell, s.m_free, s.m_largest, s.m_pending, s.m_out);
}
template <class A, class T>
void VisitFields(A& a, T& b, const MemberBeat* /*tag*/) {
  a(b.m_name, b.m_incarnation, b.m_failure_domain, b.m_address, b.m_leaving,
    b.m_cells);
}

std::string EncodeBeat(const MemberBeat& beat) {
  return pvt::Encode(beat);
}

Result<MemberBeat> DecodeBeat(const std::string& bytes) {
  return pvt::Decode<MemberBeat>(bytes);
}

void NoteBeat(Membership* membership, const MemberBeat& beat, TimePoint now) {
  Member& member = membership->m_members[beat.m_name];
  const bool restarted = member.m_beat.m_incarnation != beat.m_incarnation;
  if (restarted) {
    member.m_first_seen = now;
  }
  member.m_beat = beat;
  member.m_last_seen = now;
}

void ExpireMembers(Membership* membership, TimePoint oldest) {
  std::map<std::string, Member>::iterator it = membership->m_members.begin();
  while (it != membership->m_members.end()) {
    it = it->second.m_last_seen < oldest ? membership->m_members.erase(it)
                                         : std::next(it);
  }
}

std::vector<std::string> RankOwners(const Membership& membership,
                                    const std::string& cell) {
  struct Ranked {
    bool m_remote;
    std::uint64_t m_score;
    std::string m_name;
  };
  const std::string home = CellFailureDomain(cell);
  std::vector<Ranked> ranked;
  for (const std::pair<const std::string, Member>& entry :
       membership.m_members) {
    const MemberBeat& beat = entry.second.m_beat;
    if (!beat.m_leaving) {
      ranked.push_back(Ranked{beat.m_failure_domain != home,
                              Hash(cell, Hash(entry.first)), entry.first});
    }
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return std::tie(a.m_remote, a.m_score, a.m_name) <
           std::tie(b.m_remote, b.m_score, b.m_name);
  });
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (const Ranked& entry : ranked) {
    names.push_back(entry.m_name);
  }
  return names;
}

}  // namespace hyssopspar
