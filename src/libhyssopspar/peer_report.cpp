#include "hyssopspar/peer_report.h"

#include "pvt/archive.h"

namespace hyssopspar {

template <class A, class T>
void VisitFields(A& a, T& c, const EndpointInFlight* /*tag*/) {
  a(c.m_endpoint_hash, c.m_in_flight);
}
template <class A, class T>
void VisitFields(A& a, T& r, const PeerReport* /*tag*/) {
  a(r.m_name, r.m_incarnation, r.m_sequence, r.m_failure_domain,
    r.m_peer_address, r.m_leaving, r.m_in_flight_counts, r.m_known_peers);
}

std::string EncodePeerReport(const PeerReport& report) {
  return pvt::Encode(report);
}

Result<PeerReport> DecodePeerReport(const std::string& bytes) {
  return pvt::Decode<PeerReport>(bytes);
}

}  // namespace hyssopspar
