#include "hyssopspar/routing.h"

#include <algorithm>
#include <cmath>

#include "hyssopspar/ids.h"

namespace hyssopspar {

namespace {

/// Lowest weight of a new sample in the moving mean.
constexpr double kMinSampleWeight = 0.08;
/// An unanswered request raises the expected service time once its age exceeds
/// this multiple of it.
constexpr double kOverdueFactor = 4.0;

/// Relative difference from the class's expected time below which an endpoint's
/// mean is attributed to chance.
constexpr double kMeanTolerance = 0.35;

double Seconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

/// Requests beyond the endpoint's slots once one more is sent.
std::int64_t ExcessAfterSend(const EndpointView& endpoint) {
  return std::max<std::int64_t>(0, endpoint.m_own_requests +
                                       endpoint.m_peer_requests + 1 -
                                       endpoint.m_slots);
}

/// The index of the least endpoint that can accept a request, by \p less.
template <class Less>
std::optional<std::size_t> PickLeast(
    const std::vector<const EndpointView*>& endpoints,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now,
    Less less) {
  std::optional<std::size_t> best;
  // The start varies by seed, so that ties are spread over the endpoints.
  for (std::size_t n = 0; n < endpoints.size(); ++n) {
    const std::size_t i = (n + seed) % endpoints.size();
    const bool better = CanAccept(*endpoints[i], limits, now) &&
                        (!best || less(*endpoints[i], *endpoints[*best]));
    if (better) {
      best = i;
    }
  }
  return best;
}

}  // namespace

bool CanAccept(const EndpointView& endpoint,
               const RoutingLimits& limits,
               TimePoint now) {
  return endpoint.m_in_service && now >= endpoint.m_refusal_pause_end &&
         now >= endpoint.m_failure_pause_end &&
         endpoint.m_own_requests < limits.m_max_connections &&
         endpoint.m_own_requests + endpoint.m_peer_requests <
             endpoint.m_slots + limits.m_max_excess;
}

Duration EstimatedServiceTime(const EndpointView& endpoint,
                              const RouteClass& request_class,
                              const RoutingLimits& limits,
                              TimePoint now) {
  const std::map<std::string, ServiceEstimate>::const_iterator it =
      endpoint.m_estimates.find(request_class.m_name);
  if (it == endpoint.m_estimates.end()) {
    return request_class.m_expected_service_time;
  }
  const double age = Seconds(now - it->second.m_updated);
  const double estimate_weight =
      std::exp2(-age / Seconds(limits.m_estimate_half_life));
  return FromSeconds(estimate_weight * Seconds(it->second.m_mean) +
                     (1 - estimate_weight) *
                         Seconds(request_class.m_expected_service_time));
}

Duration ExpectedServiceTime(const EndpointView& endpoint,
                             const RouteClass& request_class,
                             const RoutingLimits& limits,
                             TimePoint now) {
  Duration expected =
      EstimatedServiceTime(endpoint, request_class, limits, now);
  // Means of a few samples differ by chance, so a mean near the class's
  // expected time is replaced by it.
  const double ratio =
      Seconds(expected) / Seconds(request_class.m_expected_service_time);
  if (ratio > 1 - kMeanTolerance && ratio < 1 + kMeanTolerance) {
    expected = request_class.m_expected_service_time;
  }
  if (!endpoint.m_send_times.empty()) {
    const Duration oldest_age = now - *endpoint.m_send_times.begin();
    const Duration min_expected =
        FromSeconds(Seconds(oldest_age) / kOverdueFactor);
    expected = std::max(expected, min_expected);
  }
  return expected;
}

Duration PredictCompletion(const EndpointView& endpoint,
                           const RouteClass& request_class,
                           const RoutingLimits& limits,
                           TimePoint now) {
  const Duration service =
      ExpectedServiceTime(endpoint, request_class, limits, now);
  const Duration wait = service * ExcessAfterSend(endpoint) / endpoint.m_slots;
  return endpoint.m_round_trip + wait + service;
}

void UpdateServiceEstimate(EndpointView* endpoint,
                           const RouteClass& request_class,
                           const RoutingLimits& limits,
                           Duration latency,
                           std::int64_t excess,
                           TimePoint now) {
  const double queueing_factor =
      1.0 +
      static_cast<double>(excess) / static_cast<double>(endpoint->m_slots);
  const double sample =
      std::max(0.0, Seconds(latency - endpoint->m_round_trip)) /
      queueing_factor;
  const Duration previous_mean =
      EstimatedServiceTime(*endpoint, request_class, limits, now);
  ServiceEstimate& estimate = endpoint->m_estimates[request_class.m_name];
  // The first samples get a higher weight, so that a slow endpoint is detected
  // after few requests.
  ++estimate.m_samples;
  const double weight =
      std::max(kMinSampleWeight, 1.0 / (1.0 + estimate.m_samples));
  estimate.m_mean =
      FromSeconds((1 - weight) * Seconds(previous_mean) + weight * sample);
  estimate.m_updated = now;
}

std::optional<std::size_t> RouteByPrediction(
    const std::vector<const EndpointView*>& endpoints,
    const RouteClass& request_class,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now) {
  std::optional<std::size_t> best;
  Duration best_time = Duration::max();
  for (std::size_t n = 0; n < endpoints.size(); ++n) {
    const std::size_t i = (n + seed) % endpoints.size();
    if (!CanAccept(*endpoints[i], limits, now)) {
      continue;
    }
    const Duration time =
        PredictCompletion(*endpoints[i], request_class, limits, now);
    // The other gates' counts are slightly outdated and the same at every gate,
    // so all gates would choose the same endpoint. Ties are broken by this
    // gate's own count, which spreads the requests.
    const bool better =
        time < best_time ||
        (time == best_time && best &&
         endpoints[i]->m_own_requests < endpoints[*best]->m_own_requests);
    if (better) {
      best_time = time;
      best = i;
    }
  }
  return best;
}

std::optional<std::size_t> RouteRoundRobin(
    const std::vector<const EndpointView*>& endpoints,
    const RouteClass& /*request_class*/,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now) {
  return PickLeast(
      endpoints, limits, seed, now,
      [](const EndpointView&, const EndpointView&) { return false; });
}

std::optional<std::size_t> RouteByOwnRequests(
    const std::vector<const EndpointView*>& endpoints,
    const RouteClass& /*request_class*/,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now) {
  return PickLeast(endpoints, limits, seed, now,
                   [](const EndpointView& a, const EndpointView& b) {
                     return a.m_own_requests < b.m_own_requests;
                   });
}

std::optional<std::size_t> RouteByTwoChoices(
    const std::vector<const EndpointView*>& endpoints,
    const RouteClass& /*request_class*/,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now) {
  if (endpoints.empty()) {
    return std::nullopt;
  }
  const std::string text = std::to_string(seed);
  const std::size_t a = Hash(text, 1) % endpoints.size();
  const std::size_t b = Hash(text, 2) % endpoints.size();
  const bool a_accepts = CanAccept(*endpoints[a], limits, now);
  const bool b_accepts = CanAccept(*endpoints[b], limits, now);
  if (!a_accepts && !b_accepts) {
    return RouteRoundRobin(endpoints, RouteClass(), limits, seed, now);
  }
  const bool choose_a =
      a_accepts && (!b_accepts || endpoints[a]->m_own_requests <=
                                      endpoints[b]->m_own_requests);
  return choose_a ? a : b;
}

RoutingPolicy FindRoutingPolicy(const std::string& name) {
  if (name == "in-turn") {
    return RouteRoundRobin;
  }
  if (name == "own-count") {
    return RouteByOwnRequests;
  }
  if (name == "two-choices") {
    return RouteByTwoChoices;
  }
  return RouteByPrediction;
}

}  // namespace hyssopspar
