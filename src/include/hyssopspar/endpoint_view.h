/// \file
/// A gate's view of one endpoint.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "hyssopspar/time.h"

namespace hyssopspar {

/// Moving mean of the service times of one class at one endpoint.
struct ServiceEstimate {
  Duration m_mean{0};
  std::uint32_t m_samples = 0;
  TimePoint m_updated;  ///< Time of the last sample.
};

/// Address, state and load of one endpoint.
struct EndpointView {
  std::string m_name;
  std::string m_address;
  std::string m_service;
  std::string m_failure_domain;
  std::int64_t m_slots = 1;  ///< Requests it serves at a time.
  Duration m_round_trip{0};  ///< Network round-trip time.
  bool m_in_service = true;  ///< As the VM list and configuration say.
  /// No requests are sent to it before this time, because it refused one.
  TimePoint m_refusal_pause_end;
  /// No requests are sent to it before this time, because an exchange failed.
  TimePoint m_failure_pause_end;
  std::int64_t m_own_requests = 0;        ///< Requests of this gate in flight.
  std::int64_t m_peer_requests = 0;       ///< Of other gates, as last reported.
  std::multiset<TimePoint> m_send_times;  ///< Of m_own_requests, oldest first.
  std::map<std::string, ServiceEstimate> m_estimates;  ///< By class.
};

}  // namespace hyssopspar
