/// \file
/// Choice of a worker for a task. Free functions over plain structures, the
/// same in the scheduler and in measurements.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hyssopspar/ids.h"
#include "hyssopspar/resources.h"

namespace hyssopspar {

/// A worker as placement sees it.
struct Candidate {
  WorkerIndex m_index = 0;
  std::string m_rack;
  Resources m_capacity;
  Resources m_free;
  /// Slowdown of the endpoints beside it per processor committed, from 0 up.
  double m_pressure = 0;
  std::uint32_t m_same_job = 0;  ///< Live tasks of the job on its rack.
};

/// Picks the place for \p size, or nothing when none fits.
using PlacementPolicy =
    std::optional<std::size_t> (*)(const std::vector<Candidate>& candidates,
                                   const Resources& size,
                                   std::uint64_t seed);

/// Least score of leftover imbalance, pressure on endpoints, and crowding of
/// one rack by one job.
std::optional<std::size_t> PlaceByScore(
    const std::vector<Candidate>& candidates,
    const Resources& size,
    std::uint64_t seed);

/// Baseline: the first that fits.
std::optional<std::size_t> PlaceFirstFit(
    const std::vector<Candidate>& candidates,
    const Resources& size,
    std::uint64_t seed);

/// Baseline: the emptier of two picked at random among those that fit.
std::optional<std::size_t> PlaceRandomOfTwo(
    const std::vector<Candidate>& candidates,
    const Resources& size,
    std::uint64_t seed);

/// The policy called \p name: "score", "first-fit" or "random-of-two".
PlacementPolicy FindPlacementPolicy(const std::string& name);

}  // namespace hyssopspar
