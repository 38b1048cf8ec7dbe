/// \file
/// Reports that gates send to each other.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// Requests of one gate in flight at one endpoint.
struct EndpointInFlight {
  std::uint64_t m_endpoint_hash = 0;  ///< Hash of the endpoint's name.
  std::int64_t m_in_flight = 0;
};

/// Heartbeat and request counts of one gate. It has no requests at endpoints
/// that are not listed.
struct PeerReport {
  std::string m_name;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  std::string m_failure_domain;
  std::string m_peer_address;
  bool m_leaving = false;  ///< It is shutting down.
  std::vector<EndpointInFlight> m_in_flight_counts;
  /// Addresses of the gates it gets reports from.
  std::vector<std::string> m_known_peers;
};

std::string EncodePeerReport(const PeerReport& report);
Result<PeerReport> DecodePeerReport(const std::string& bytes);

}  // namespace hyssopspar
