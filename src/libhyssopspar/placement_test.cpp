#include "hyssopspar/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace hyssopspar {
namespace {

/// A worker of 64 cores with the given free CPU (thousandths) and memory (MiB).
Candidate MakeCandidate(std::int64_t cpu_milli, std::int64_t memory_mib) {
  Candidate candidate;
  candidate.m_capacity = Resources{64000, 64000, 0};
  candidate.m_free = Resources{cpu_milli, memory_mib, 0};
  return candidate;
}

TEST(Placement, AvoidsAcceleratorWorkersForTasksWithoutAccelerators) {
  Candidate without_accelerators = MakeCandidate(8000, 8000);
  Candidate with_accelerators = MakeCandidate(60000, 60000);
  with_accelerators.m_capacity.m_accelerators = 4;
  with_accelerators.m_free.m_accelerators = 4;
  EXPECT_EQ(PlaceByScore({with_accelerators, without_accelerators},
                         Resources{1000, 1000, 0}, 0),
            1U);
  EXPECT_EQ(PlaceByScore({with_accelerators, without_accelerators},
                         Resources{1000, 1000, 1}, 0),
            0U);
}

TEST(Placement, AvoidsWorkersWithEndpointInterference) {
  Candidate with_interference = MakeCandidate(60000, 60000);
  with_interference.m_endpoint_interference = 2;
  const Candidate without_interference = MakeCandidate(30000, 30000);
  EXPECT_EQ(PlaceByScore({with_interference, without_interference},
                         Resources{1000, 1000, 0}, 0),
            1U);
}

RC_GTEST_PROP(PlacementProperty,
              PicksFittingCandidateWheneverOneExists,
              (const std::vector<std::uint16_t>& cpus, std::uint64_t seed)) {
  std::vector<Candidate> candidates;
  candidates.reserve(cpus.size());
  for (const std::uint16_t cpu : cpus) {
    candidates.push_back(MakeCandidate(cpu, cpu / 2));
  }
  const Resources size{20000, 10000, 0};
  for (const char* name : {"score", "first-fit", "random-of-two"}) {
    const std::optional<std::size_t> picked =
        FindPlacementPolicy(name)(candidates, size, seed);
    const bool any_fits = std::any_of(
        candidates.begin(), candidates.end(),
        [&size](const Candidate& c) { return Fits(size, c.m_free); });
    RC_ASSERT(picked.has_value() == any_fits);
    if (picked) {
      RC_ASSERT(Fits(size, candidates[*picked].m_free));
    }
  }
}

}  // namespace
}  // namespace hyssopspar
