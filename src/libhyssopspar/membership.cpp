#include "hyssopspar/membership.h"

#include <algorithm>
#include <tuple>

#include "hyssopspar/config_doc.h"
#include "pvt/archive.h"

namespace hyssopspar {

template <class A, class T>
void VisitFields(A& archive, T& summary, const CellSummary* /*tag*/) {
  archive(summary.m_cell, summary.m_free, summary.m_largest_worker,
          summary.m_pending, summary.m_out_of_service);
}
template <class A, class T>
void VisitFields(A& archive, T& heartbeat, const MemberHeartbeat* /*tag*/) {
  archive(heartbeat.m_name, heartbeat.m_incarnation, heartbeat.m_failure_domain,
          heartbeat.m_address, heartbeat.m_leaving, heartbeat.m_cells);
}

std::string EncodeHeartbeat(const MemberHeartbeat& heartbeat) {
  return pvt::Encode(heartbeat);
}

Result<MemberHeartbeat> DecodeHeartbeat(const std::string& bytes) {
  return pvt::Decode<MemberHeartbeat>(bytes);
}

void ApplyHeartbeat(Membership* membership,
                    const MemberHeartbeat& heartbeat,
                    TimePoint now) {
  Member& member = membership->m_members[heartbeat.m_name];
  // Also true for a new member: the default incarnation is 0, and no process
  // draws 0.
  const bool new_incarnation =
      member.m_heartbeat.m_incarnation != heartbeat.m_incarnation;
  if (new_incarnation) {
    member.m_first_seen = now;
  }
  member.m_heartbeat = heartbeat;
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
  struct RankedOwner {
    bool m_other_domain;
    std::uint64_t m_score;
    std::string m_name;
  };
  const std::string cell_domain = CellFailureDomain(cell);
  std::vector<RankedOwner> ranked;
  for (const std::pair<const std::string, Member>& entry :
       membership.m_members) {
    const MemberHeartbeat& heartbeat = entry.second.m_heartbeat;
    if (!heartbeat.m_leaving) {
      ranked.push_back(RankedOwner{heartbeat.m_failure_domain != cell_domain,
                                   Hash(cell, Hash(entry.first)), entry.first});
    }
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedOwner& a, const RankedOwner& b) {
              return std::tie(a.m_other_domain, a.m_score, a.m_name) <
                     std::tie(b.m_other_domain, b.m_score, b.m_name);
            });
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (const RankedOwner& entry : ranked) {
    names.push_back(entry.m_name);
  }
  return names;
}

}  // namespace hyssopspar
