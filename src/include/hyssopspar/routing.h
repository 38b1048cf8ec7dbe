/// \file
/// Service time estimates and routing policies: the choice of an endpoint for a
/// request. Free functions over plain structures.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hyssopspar/endpoint_view.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// Limits on the requests at an endpoint, and the decay of estimates.
struct RoutingLimits {
  std::int64_t m_max_connections = 8;  ///< From this gate to one endpoint.
  /// Maximum number of requests beyond the endpoint's slots, over all gates.
  std::int64_t m_max_excess = 1;
  Duration m_estimate_half_life = std::chrono::seconds(10);
};

/// The class of a request, and its expected service time at an endpoint that
/// has no estimate yet.
struct RouteClass {
  std::string m_name;
  Duration m_expected_service_time{0};
};

/// True if a request may be sent to the endpoint now.
bool CanAccept(const EndpointView& endpoint,
               const RoutingLimits& limits,
               TimePoint now);

/// Estimated mean service time at the endpoint. It decays towards the class's
/// expected time with the half-life of \p limits, so that an endpoint that
/// recovered gets requests again.
Duration EstimatedServiceTime(const EndpointView& endpoint,
                              const RouteClass& request_class,
                              const RoutingLimits& limits,
                              TimePoint now);

/// Service time to assume at the endpoint: the estimate, or the class's
/// expected time if the two are close, and at least a share of the age of the
/// oldest unanswered request there.
Duration ExpectedServiceTime(const EndpointView& endpoint,
                             const RouteClass& request_class,
                             const RoutingLimits& limits,
                             TimePoint now);

/// Predicted time from sending to the complete answer: round trip, wait for a
/// slot and service.
Duration PredictCompletion(const EndpointView& endpoint,
                           const RouteClass& request_class,
                           const RoutingLimits& limits,
                           TimePoint now);

/// Updates the estimate by an answer that arrived \p latency after the request
/// was sent. \p excess is the number of requests beyond the slots when it was
/// sent, itself included.
void UpdateServiceEstimate(EndpointView* endpoint,
                           const RouteClass& request_class,
                           const RoutingLimits& limits,
                           Duration latency,
                           std::int64_t excess,
                           TimePoint now);

/// Returns the index of the selected endpoint, or nothing if none can accept
/// the request. \p seed differs between requests and breaks ties.
using RoutingPolicy = std::optional<std::size_t> (*)(
    const std::vector<const EndpointView*>& endpoints,
    const RouteClass& request_class,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now);

/// The endpoint with the earliest predicted completion.
std::optional<std::size_t> RouteByPrediction(
    const std::vector<const EndpointView*>& endpoints,
    const RouteClass& request_class,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now);

/// Baseline: the next endpoint that can accept the request, starting at index
/// \p seed modulo the number of endpoints.
std::optional<std::size_t> RouteRoundRobin(
    const std::vector<const EndpointView*>& endpoints,
    const RouteClass& request_class,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now);

/// Baseline: fewest requests of this gate.
std::optional<std::size_t> RouteByOwnRequests(
    const std::vector<const EndpointView*>& endpoints,
    const RouteClass& request_class,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now);

/// Baseline: power of two choices, by the requests of this gate.
std::optional<std::size_t> RouteByTwoChoices(
    const std::vector<const EndpointView*>& endpoints,
    const RouteClass& request_class,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now);

/// The policy called \p name: "prediction", "in-turn", "own-count" or
/// "two-choices". Any other name gives "prediction".
RoutingPolicy FindRoutingPolicy(const std::string& name);

}  // namespace hyssopspar
