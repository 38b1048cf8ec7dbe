#include "hyssopspar/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

namespace hyssopspar {

namespace {

constexpr double kPressureWeight = 1.0;
constexpr double kRackWeight = 0.05;

double Share(std::int64_t part, std::int64_t whole) {
  return whole <= 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

/// Lower is better.
double Score(const Candidate& c, const Resources& size) {
  const Resources left = c.m_free - size;
  const double cpu_left = Share(left.m_cpu_milli, c.m_capacity.m_cpu_milli);
  const double memory_left =
      Share(left.m_memory_mib, c.m_capacity.m_memory_mib);
  const double imbalance = std::abs(cpu_left - memory_left);
  // Emptier workers disturb endpoints less; accelerators are kept for those
  // that ask for them.
  const double crowding = 1.0 - cpu_left;
  const bool wastes_accelerators =
      size.m_accelerators == 0 && c.m_capacity.m_accelerators > 0;
  return imbalance + crowding + kPressureWeight * c.m_pressure +
         kRackWeight * c.m_same_job + (wastes_accelerators ? 1.0 : 0.0);
}

}  // namespace

std::optional<std::size_t> PlaceByScore(
    const std::vector<Candidate>& candidates,
    const Resources& size,
    std::uint64_t /*seed*/) {
  std::optional<std::size_t> best;
  double best_score = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!Fits(size, candidates[i].m_free)) {
      continue;
    }
    const double score = Score(candidates[i], size);
    if (score < best_score) {
      best_score = score;
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
