/// \file
/// Placement policies: selection of a worker for one task. The policies are
/// free functions over plain structures, so that the scheduler and the
/// benchmarks run the same code.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hyssopspar/ids.h"
#include "hyssopspar/resources.h"

namespace hyssopspar {

/// A worker that accepts starts, with the data that placement needs.
struct Candidate {
  WorkerIndex m_index = 0;
  std::string m_rack;
  Resources m_capacity;  ///< Total capacity for batch tasks.
  Resources m_free;      ///< Capacity that is not committed.
  /// Slowdown of the endpoints on this worker per committed CPU core; 0 when
  /// they are not affected.
  double m_endpoint_interference = 0;
  /// Live tasks of the same job on the rack.
  std::uint32_t m_same_job_on_rack = 0;
};

/// Returns the position in \p candidates of the worker for a task of \p size,
/// or nothing when the task fits on none. \p seed drives randomized policies.
using PlacementPolicy =
    std::optional<std::size_t> (*)(const std::vector<Candidate>& candidates,
                                   const Resources& size,
                                   std::uint64_t seed);

/// Returns the fitting candidate with the lowest cost. The cost adds the
/// imbalance between free CPU and memory, CPU utilization, interference with
/// endpoints, tasks of the same job on the rack, and a penalty for occupying a
/// worker with accelerators without using them.
std::optional<std::size_t> PlaceByScore(
    const std::vector<Candidate>& candidates,
    const Resources& size,
    std::uint64_t seed);

/// Baseline for comparisons: the first candidate that fits.
std::optional<std::size_t> PlaceFirstFit(
    const std::vector<Candidate>& candidates,
    const Resources& size,
    std::uint64_t seed);

/// Baseline for comparisons (power of two choices): draws two fitting
/// candidates at random and returns the one with more free CPU.
std::optional<std::size_t> PlaceRandomOfTwo(
    const std::vector<Candidate>& candidates,
    const Resources& size,
    std::uint64_t seed);

/// Returns the policy for a value of the `placement` setting: "score",
/// "first-fit" or "random-of-two". Any other name gives "score".
PlacementPolicy FindPlacementPolicy(const std::string& name);

}  // namespace hyssopspar
