#include "hyssopspar/routing.h"

#include <algorithm>
#include <cmath>

#include "hyssopspar/ids.h"

namespace hyssopspar {

namespace {

/// Weight of a new sample in the mean.
constexpr double kSampleWeight = 0.08;
/// A request that waits longer than this many times the mean counts as
/// evidence of a slower endpoint.
constexpr double kOverdue = 4.0;

/// Share by which an endpoint's mean may differ from its class's by chance.
constexpr double kTolerance = 0.35;

double Seconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

/// Requests beyond the slots, were one more sent.
std::int64_t Ahead(const EndpointView& endpoint) {
  return std::max<std::int64_t>(
      0, endpoint.m_own + endpoint.m_peers + 1 - endpoint.m_slots);
}

template <class Less>
std::optional<std::size_t> PickLeast(
    const std::vector<const EndpointView*>& endpoints,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now,
    Less less) {
  std::optional<std::size_t> best;
  // Starting anywhere spreads ties.
  for (std::size_t n = 0; n < endpoints.size(); ++n) {
    const std::size_t i = (n + seed) % endpoints.size();
    const bool better = CanTake(*endpoints[i], limits, now) &&
                        (!best || less(*endpoints[i], *endpoints[*best]));
    if (better) {
      best = i;
    }
  }
  return best;
}

}  // namespace

bool CanTake(const EndpointView& endpoint,
             const RoutingLimits& limits,
             TimePoint now) {
  return endpoint.m_usable && now >= endpoint.m_refused_until &&
         now >= endpoint.m_suspect_until &&
         endpoint.m_own < limits.m_connections &&
         endpoint.m_own + endpoint.m_peers < endpoint.m_slots + limits.m_ahead;
}

Duration LearnedService(const EndpointView& endpoint,
                        const RouteClass& request_class,
                        const RoutingLimits& limits,
                        TimePoint now) {
  const std::map<std::string, ServiceEstimate>::const_iterator it =
      endpoint.m_estimates.find(request_class.m_name);
  if (it == endpoint.m_estimates.end()) {
    return request_class.m_expected_service_time;
  }
  const double age = Seconds(now - it->second.m_updated);
  const double kept = std::exp2(-age / Seconds(limits.m_memory));
  return FromSeconds(kept * Seconds(it->second.m_mean) +
                     (1 - kept) *
                         Seconds(request_class.m_expected_service_time));
}

Duration ExpectedService(const EndpointView& endpoint,
                         const RouteClass& request_class,
                         const RoutingLimits& limits,
                         TimePoint now) {
  Duration expected = LearnedService(endpoint, request_class, limits, now);
  // Means of a few samples differ by chance; what lies near the class's own
  // mean counts as equal to it.
  const double ratio =
      Seconds(expected) / Seconds(request_class.m_expected_service_time);
  if (ratio > 1 - kTolerance && ratio < 1 + kTolerance) {
    expected = request_class.m_expected_service_time;
  }
  if (!endpoint.m_sent.empty()) {
    const Duration waiting = now - *endpoint.m_sent.begin();
    const Duration overdue = FromSeconds(Seconds(waiting) / kOverdue);
    expected = std::max(expected, overdue);
  }
  return expected;
}

Duration PredictCompletion(const EndpointView& endpoint,
                           const RouteClass& request_class,
                           const RoutingLimits& limits,
                           TimePoint now) {
  const Duration service =
      ExpectedService(endpoint, request_class, limits, now);
  const Duration wait = service * Ahead(endpoint) / endpoint.m_slots;
  return endpoint.m_trip + wait + service;
}

void LearnService(EndpointView* endpoint,
                  const RouteClass& request_class,
                  const RoutingLimits& limits,
                  Duration took,
                  std::int64_t ahead,
                  TimePoint now) {
  const double share =
      1.0 + static_cast<double>(ahead) / static_cast<double>(endpoint->m_slots);
  const double sample = std::max(0.0, Seconds(took - endpoint->m_trip)) / share;
  const Duration before = LearnedService(*endpoint, request_class, limits, now);
  ServiceEstimate& estimate = endpoint->m_estimates[request_class.m_name];
  // The first samples weigh more, so that a slow endpoint is known at once.
  ++estimate.m_samples;
  const double weight =
      std::max(kSampleWeight, 1.0 / (1.0 + estimate.m_samples));
  estimate.m_mean =
      FromSeconds((1 - weight) * Seconds(before) + weight * sample);
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
    if (!CanTake(*endpoints[i], limits, now)) {
      continue;
    }
    const Duration time =
        PredictCompletion(*endpoints[i], request_class, limits, now);
    // Counts of other gates are a little old, and every gate has the same ones;
    // among equals our own count spreads what they would heap up.
    const bool better =
        time < best_time || (time == best_time && best &&
                             endpoints[i]->m_own < endpoints[*best]->m_own);
    if (better) {
      best_time = time;
      best = i;
    }
  }
  return best;
}

std::optional<std::size_t> RouteInTurn(
    const std::vector<const EndpointView*>& endpoints,
    const RouteClass& /*request_class*/,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now) {
  return PickLeast(
      endpoints, limits, seed, now,
      [](const EndpointView&, const EndpointView&) { return false; });
}

std::optional<std::size_t> RouteByOwnCount(
    const std::vector<const EndpointView*>& endpoints,
    const RouteClass& /*request_class*/,
    const RoutingLimits& limits,
    std::uint64_t seed,
    TimePoint now) {
  return PickLeast(endpoints, limits, seed, now,
                   [](const EndpointView& a, const EndpointView& b) {
                     return a.m_own < b.m_own;
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
  const bool a_takes = CanTake(*endpoints[a], limits, now);
  const bool b_takes = CanTake(*endpoints[b], limits, now);
  if (!a_takes && !b_takes) {
    return RouteInTurn(endpoints, RouteClass(), limits, seed, now);
  }
  const bool choose_a =
      a_takes && (!b_takes || endpoints[a]->m_own <= endpoints[b]->m_own);
  return choose_a ? a : b;
}

RoutingPolicy FindRoutingPolicy(const std::string& name) {
  if (name == "in-turn") {
    return RouteInTurn;
  }
  if (name == "own-count") {
    return RouteByOwnCount;
  }
  if (name == "two-choices") {
    return RouteByTwoChoices;
  }
  return RouteByPrediction;
}

}  // namespace hyssopspar
