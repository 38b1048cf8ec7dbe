/// \file
/// Choice of an endpoint for a request. Free functions over plain structures.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hyssopspar/endpoint_view.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// Bounds under which an endpoint may take one more request.
struct RoutingLimits {
  std::int64_t m_connections = 8;  ///< Of this gate to one endpoint.
  std::int64_t m_ahead = 1;        ///< Requests beyond the slots, all gates.
  Duration m_memory = std::chrono::seconds(10);  ///< Half-life of estimates.
};

/// The class of a request, and its service time where nothing is learned yet.
struct RouteClass {
  std::string m_name;
  Duration m_expected_service_time{0};
};

/// True when the endpoint may take a request now.
bool CanTake(const EndpointView& endpoint,
             const RoutingLimits& limits,
             TimePoint now);

/// Mean service time learned at the endpoint, drifting back to the class's
/// expectation as it ages.
Duration LearnedService(const EndpointView& endpoint,
                        const RouteClass& request_class,
                        const RoutingLimits& limits,
                        TimePoint now);

/// Service time to expect at the endpoint: what was learned, unless it lies
/// near the class's expectation, and no less than what requests that wait out
/// there suggest.
Duration ExpectedService(const EndpointView& endpoint,
                         const RouteClass& request_class,
                         const RoutingLimits& limits,
                         TimePoint now);

/// Time from sending to the whole answer: trip, wait for a slot, service.
Duration PredictCompletion(const EndpointView& endpoint,
                           const RouteClass& request_class,
                           const RoutingLimits& limits,
                           TimePoint now);

/// Learns from an answer that took \p took; \p ahead is how many requests
/// beyond the slots were there when it was sent.
void LearnService(EndpointView* endpoint,
                  const RouteClass& request_class,
                  const RoutingLimits& limits,
                  Duration took,
                  std::int64_t ahead,
                  TimePoint now);

/// Picks among endpoints that can take the request; \p seed varies by request.
using RoutingPolicy = std::optional<std::size_t> (*)(
    const std::vector<const EndpointView*>& endpoints,
    const RouteClass& request_class,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now);

/// Least predicted completion.
std::optional<std::size_t> RouteByPrediction(
    const std::vector<const EndpointView*>& endpoints,
    const RouteClass& request_class,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now);

/// Baseline: in turn.
std::optional<std::size_t> RouteInTurn(
    const std::vector<const EndpointView*>& endpoints,
    const RouteClass& request_class,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now);

/// Baseline: fewest requests of our own.
std::optional<std::size_t> RouteByOwnCount(
    const std::vector<const EndpointView*>& endpoints,
    const RouteClass& request_class,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now);

/// Baseline: the one with fewer requests of our own, out of two at random.
std::optional<std::size_t> RouteByTwoChoices(
    const std::vector<const EndpointView*>& endpoints,
    const RouteClass& request_class,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now);

/// The policy called \p name: "prediction", "in-turn", "own-count" or
/// "two-choices".
RoutingPolicy FindRoutingPolicy(const std::string& name);

}  // namespace hyssopspar
