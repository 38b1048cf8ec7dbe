#include "hyssopspar/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace hyssopspar {
namespace {

Candidate MakeCandidate(std::int64_t cpu, std::int64_t memory) {
  Candidate candidate;
  candidate.m_capacity = Resources{64000, 64000, 0};
  candidate.m_free = Resources{cpu, memory, 0};
  return candidate;
}

TEST(Placement, KeepsAcceleratorsForThoseThatAskForThem) {
  Candidate plain = MakeCandidate(8000, 8000);
  Candidate equipped = MakeCandidate(60000, 60000);
  equipped.m_capacity.m_accelerators = 4;
  equipped.m_free.m_accelerators = 4;
  EXPECT_EQ(PlaceByScore({equipped, plain}, Resources{1000, 1000, 0}, 0), 1U);
  EXPECT_EQ(PlaceByScore({equipped, plain}, Resources{1000, 1000, 1}, 0), 0U);
}

TEST(Placement, AvoidsWorkersWhoseEndpointsSuffer) {
  Candidate suffering = MakeCandidate(60000, 60000);
  suffering.m_pressure = 2;
  const Candidate calm = MakeCandidate(30000, 30000);
  EXPECT_EQ(PlaceByScore({suffering, calm}, Resources{1000, 1000, 0}, 0), 1U);
}

RC_GTEST_PROP(PlacementProperty,
              NothingIsPlacedWhereItDoesNotFit,
              (const std::vector<std::uint16_t>& cpus, std::uint64_t seed)) {
  std::vector<Candidate> candidates;
  candidates.reserve(cpus.size());
  for (const std::uint16_t cpu : cpus) {
    candidates.push_back(MakeCandidate(cpu, cpu / 2));
  }
  const Resources size{20000, 10000, 0};
  for (const char* name : {"score", "first-fit", "random-of-two"}) {
    const std::optional<std::size_t> at =
        FindPlacementPolicy(name)(candidates, size, seed);
    const bool any = std::any_of(
        candidates.begin(), candidates.end(),
        [&size](const Candidate& c) { return Fits(size, c.m_free); });
    RC_ASSERT(at.has_value() == any);
    if (at) {
      RC_ASSERT(Fits(size, candidates[*at].m_free));
    }
  }
}

}  // namespace
}  // namespace hyssopspar
