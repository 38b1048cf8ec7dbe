#include "hyssopspar/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

namespace hyssopspar {

namespace {

// Weights of the terms of PlacementCost.
constexpr double kEndpointInterferenceWeight = 1.0;
constexpr double kSameJobOnRackWeight = 0.05;

double Fraction(std::int64_t part, std::int64_t total) {
  return total <= 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(total);
}

/// Cost of placing a task of \p size on \p c; lower is better.
double PlacementCost(const Candidate& c, const Resources& size) {
  const Resources free_after = c.m_free - size;
  const double cpu_free =
      Fraction(free_after.m_cpu_milli, c.m_capacity.m_cpu_milli);
  const double memory_free =
      Fraction(free_after.m_memory_mib, c.m_capacity.m_memory_mib);
  const double imbalance = std::abs(cpu_free - memory_free);
  // Workers with more free CPU interfere less with their endpoints.
  const double cpu_utilization = 1.0 - cpu_free;
  // Keeps accelerators available for tasks that request them.
  const bool wastes_accelerators =
      size.m_accelerators == 0 && c.m_capacity.m_accelerators > 0;
  return imbalance + cpu_utilization +
         kEndpointInterferenceWeight * c.m_endpoint_interference +
         kSameJobOnRackWeight * c.m_same_job_on_rack +
         (wastes_accelerators ? 1.0 : 0.0);
}

}  // namespace

std::optional<std::size_t> PlaceByScore(
    const std::vector<Candidate>& candidates,
    const Resources& size,
    std::uint64_t /*seed*/) {
  std::optional<std::size_t> best;
  double best_cost = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!Fits(size, candidates[i].m_free)) {
      continue;
    }
    const double cost = PlacementCost(candidates[i], size);
    if (cost < best_cost) {
      best_cost = cost;
      best = i;
    }
  }
  return best;
}

std::optional<std::size_t> PlaceFirstFit(
    const std::vector<Candidate>& candidates,
    const Resources& size,
    std::uint64_t /*seed*/) {
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (Fits(size, candidates[i].m_free)) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t> PlaceRandomOfTwo(
    const std::vector<Candidate>& candidates,
    const Resources& size,
    std::uint64_t seed) {
  std::vector<std::size_t> fitting;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (Fits(size, candidates[i].m_free)) {
      fitting.push_back(i);
    }
  }
  if (fitting.empty()) {
    return std::nullopt;
  }
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<std::size_t> pick(0, fitting.size() - 1);
  const std::size_t a = fitting[pick(random)];
  const std::size_t b = fitting[pick(random)];
  return candidates[a].m_free.m_cpu_milli >= candidates[b].m_free.m_cpu_milli
             ? a
             : b;
}

PlacementPolicy FindPlacementPolicy(const std::string& name) {
  if (name == "first-fit") {
    return PlaceFirstFit;
  }
  if (name == "random-of-two") {
    return PlaceRandomOfTwo;
  }
  return PlaceByScore;
}

}  // namespace hyssopspar
