/// \file
/// Settings of a gate's decisions.

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
  std::string m_policy = "prediction";
  std::size_t m_queue_limit = 10000;  ///< Requests waiting in one service.
  milliseconds m_refused_pause{2000};
  milliseconds m_suspect_pause{500};
  milliseconds m_peer_timeout{1000};
  std::uint32_t m_max_tries = 3;
  double m_retry_share = 0.1;  ///< Retries per first try, over time.
};

}  // namespace hyssopspar
