/// \file
/// What a gate knows about one endpoint.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "hyssopspar/time.h"

namespace hyssopspar {

/// Service time of one class at one endpoint, learned from answers.
struct ServiceEstimate {
  Duration m_mean{0};
  std::uint32_t m_samples = 0;
  TimePoint m_updated;
};

struct EndpointView {
  std::string m_name;
  std::string m_address;
  std::string m_service;
  std::string m_failure_domain;
  std::int64_t m_slots = 1;
  Duration m_trip{0};         ///< There and back.
  bool m_usable = true;       ///< In service by the VM list and configuration.
  TimePoint m_refused_until;  ///< It refused work itself until then.
  TimePoint m_suspect_until;  ///< A connection to it failed until then.
  std::int64_t m_own = 0;     ///< Requests of ours at the endpoint.
  std::int64_t m_peers = 0;   ///< Requests of other gates, as last told.
  std::multiset<TimePoint> m_sent;  ///< Send times of ours, oldest first.
  std::map<std::string, ServiceEstimate> m_estimates;  ///< By class.
};

}  // namespace hyssopspar
