/// \file
/// What gates tell each other.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// Requests of one gate at one endpoint.
struct EndpointCount {
  std::uint64_t m_endpoint = 0;  ///< Hash of the endpoint's name.
  std::int64_t m_in_flight = 0;
};

/// Heartbeat and counts of one gate. Endpoints not listed have none.
struct PeerReport {
  std::string m_name;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  std::string m_failure_domain;
  std::string m_peer_address;
  bool m_leaving = false;
  std::vector<EndpointCount> m_counts;
  std::vector<std::string> m_known;  ///< Peer addresses it knows.
};

std::string EncodePeerReport(const PeerReport& report);
Result<PeerReport> DecodePeerReport(const std::string& bytes);

}  // namespace hyssopspar
