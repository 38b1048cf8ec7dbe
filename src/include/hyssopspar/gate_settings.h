/// \file
/// Settings of GateCore.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "hyssopspar/routing.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

struct GateSettings {
  std::string m_name;
  std::string m_failure_domain;
  std::string m_peer_address;
  RoutingLimits m_routing;
  std::string m_policy = "prediction";  ///< A name of FindRoutingPolicy.
  std::size_t m_queue_limit = 10000;    ///< Queued requests of one service.
  /// No requests go to an endpoint for this long after it refused one.
  milliseconds m_refusal_pause{2000};
  /// No requests go to an endpoint for this long after an exchange failed.
  milliseconds m_failure_pause{500};
  /// A peer's counts are dropped when its last report is older.
  milliseconds m_peer_timeout{1000};
  /// Maximum number of sends of one request, retries included.
  std::uint32_t m_max_attempts = 3;
  /// Retries allowed for each request sent, on average over time.
  double m_retries_per_request = 0.1;
};

}  // namespace hyssopspar
