// Quotas of tenants under faults.

#include <gtest/gtest.h>

#include <cstdlib>
#include <numeric>

#include "hyssopspar/logging.h"
#include "job_state/job_world.h"

namespace hyssopspar::jobs {
namespace {

std::string Join(const std::vector<std::string>& lines) {
  return std::accumulate(
      lines.begin(), lines.end(), std::string(),
      [](const std::string& joined, const std::string& line) {
        return joined + line + "\n";
      });
}

/// Four tenants, one of which sends more than its quota allows, and quotas that
/// change every few seconds.
JobSimulationOptions HotTenant(int seed) {
  JobSimulationOptions options;
  options.m_seed = static_cast<std::uint64_t>(seed);
  options.m_jobs = 60;
  options.m_tenants = 4;
  options.m_quota_changes = 8;
  return options;
}

class TenantQuotaTest : public testing::TestWithParam<int> {
 protected:
  /// HYSSOPSPAR_TEST_LOG=info prints the owners' decisions.
  void SetUp() override {
    const char* const level = std::getenv("HYSSOPSPAR_TEST_LOG");
    SetLogLevel(level == nullptr ? "off" : level);
  }

  static void ExpectNoViolations(const JobSimulationOptions& options) {
    JobSimulation simulation(options);
    simulation.Run();
    EXPECT_EQ(Join(simulation.Violations()), "") << "seed " << options.m_seed;
    EXPECT_GT(simulation.Starts(), 100U);
  }
};

// Owners that change, and orders that are executed late, must not let a tenant
// run more than its quota.
TEST_P(TenantQuotaTest, IsKeptUnderFaults) {
  JobSimulationOptions options = HotTenant(GetParam());
  options.m_fault_count = 24;
  options.m_delayed_order_share = 0.1;
  ExpectNoViolations(options);
}

// Same for owners that decide at events and deadlines, beside a store that
// refuses batches: placements are stored late.
TEST_P(TenantQuotaTest, IsKeptWhenPlacementsAreStoredLate) {
  JobSimulationOptions options = HotTenant(GetParam());
  options.m_store_refusals = 10;
  options.m_decide_at_deadlines = true;
  ExpectNoViolations(options);
}

// Same for gangs, and without faults all of them complete.
TEST_P(TenantQuotaTest, IsKeptByGangs) {
  JobSimulationOptions options = HotTenant(GetParam());
  options.m_faults = false;
  options.m_gangs = true;
  ExpectNoViolations(options);
}

INSTANTIATE_TEST_SUITE_P(Seeds, TenantQuotaTest, testing::Range(1, 31));

}  // namespace
}  // namespace hyssopspar::jobs
