// Crashes that the owner observes late, wrongly or not at all.

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <numeric>
#include <string>
#include <tuple>
#include <vector>

#include "hyssopspar/logging.h"
#include "job_state/job_world.h"

namespace hyssopspar::jobs {
namespace {

struct FaultKind {
  const char* m_name;
  MisobservedFaults m_faults;
};

MisobservedFaults OwnerPauses() {
  MisobservedFaults faults;
  faults.m_owner_pauses = 10;
  return faults;
}

MisobservedFaults SlowHeartbeats() {
  MisobservedFaults faults;
  faults.m_slow_periods = 10;
  return faults;
}

MisobservedFaults ExpiringEntries() {
  MisobservedFaults faults;
  faults.m_entries_expire = true;
  faults.m_store_outages = 4;
  faults.m_cuts = 20;
  return faults;
}

MisobservedFaults PlannedUpdates() {
  MisobservedFaults faults;
  faults.m_update_lanes = 2;
  return faults;
}

MisobservedFaults Cuts() {
  MisobservedFaults faults;
  faults.m_cuts = 40;
  return faults;
}

MisobservedFaults SpreadLosses() {
  MisobservedFaults faults;
  faults.m_spread_losses = 12;
  return faults;
}

MisobservedFaults SilentLosses() {
  MisobservedFaults faults;
  faults.m_silent_losses = 30;
  return faults;
}

MisobservedFaults AllKinds() {
  MisobservedFaults faults;
  faults.m_owner_pauses = 5;
  faults.m_slow_periods = 5;
  faults.m_entries_expire = true;
  faults.m_store_outages = 2;
  faults.m_update_lanes = 2;
  faults.m_cuts = 20;
  faults.m_spread_losses = 4;
  faults.m_silent_losses = 10;
  return faults;
}

const std::array<FaultKind, 8>& FaultKinds() {
  static const std::array<FaultKind, 8> kKinds = {{
      {"OwnerPauses", OwnerPauses()},
      {"SlowHeartbeats", SlowHeartbeats()},
      {"ExpiringEntries", ExpiringEntries()},
      {"PlannedUpdates", PlannedUpdates()},
      {"Cuts", Cuts()},
      {"SpreadLosses", SpreadLosses()},
      {"SilentLosses", SilentLosses()},
      {"AllKinds", AllKinds()},
  }};
  return kKinds;
}

/// Value of an environment variable, to play other seeds than those of CI.
int NumberFromEnvironment(const char* name, int otherwise) {
  const char* const value = std::getenv(name);
  return value == nullptr ? otherwise : std::atoi(value);
}

using KindAndSeed = std::tuple<std::size_t, int>;

class MisobservedCrashesTest : public testing::TestWithParam<KindAndSeed> {
 protected:
  /// HYSSOPSPAR_TEST_LOG=info prints the owners' decisions.
  void SetUp() override {
    const char* const level = std::getenv("HYSSOPSPAR_TEST_LOG");
    SetLogLevel(level == nullptr ? "off" : level);
  }

  static JobSimulationOptions Options() {
    JobSimulationOptions options;
    options.m_seed = static_cast<std::uint64_t>(std::get<1>(GetParam()));
    options.m_workers = 16;
    options.m_jobs = 60;
    options.m_fault_count = 0;
    options.m_decide_at_deadlines = true;
    options.m_misobserved = FaultKinds().at(std::get<0>(GetParam())).m_faults;
    options.m_misobserved.m_lasting_jobs = 6;
    return options;
  }
};

std::string NameOf(const testing::TestParamInfo<KindAndSeed>& info) {
  return FaultKinds().at(std::get<0>(info.param)).m_name + std::string("_") +
         std::to_string(std::get<1>(info.param));
}

std::string Join(const std::vector<std::string>& lines) {
  return std::accumulate(
      lines.begin(), lines.end(), std::string(),
      [](const std::string& joined, const std::string& line) {
        return joined + line + "\n";
      });
}

class InnocentJobsTest : public MisobservedCrashesTest {
 protected:
  static JobSimulationOptions Options() {
    JobSimulationOptions options = MisobservedCrashesTest::Options();
    options.m_group_crashes = 20;
    return options;
  }
};

// Jobs were shown as failed because the owner took lapses, cuts, planned
// restarts and delays for crashes by their tasks.
TEST_P(InnocentJobsTest, AreNotShownAsFailed) {
  JobSimulation simulation(Options());
  simulation.Run();
  EXPECT_EQ(Join(simulation.JobsFailedWithoutCrashingTask()), "");
}

// Lasting tasks didn't run again after such faults, or ran twice.
TEST_P(InnocentJobsTest, RunOnceTheFaultsAreOver) {
  JobSimulation simulation(Options());
  simulation.Run();
  EXPECT_EQ(Join(simulation.Violations()), "");
  EXPECT_GT(simulation.Completed(), 10U);
}

class GuiltyTasksTest : public MisobservedCrashesTest {
 protected:
  static JobSimulationOptions Options() {
    JobSimulationOptions options = MisobservedCrashesTest::Options();
    options.m_crashing_task_share = 0.02;
    options.m_misobserved.m_crashing_lasting_jobs = 2;
    return options;
  }
};

// A task that crashes its workers was started on and on where its crashes were
// observed wrongly, instead of twice at most after the third.
TEST_P(GuiltyTasksTest, AreGivenUp) {
  JobSimulation simulation(Options());
  simulation.Run();
  EXPECT_EQ(Join(simulation.Violations()), "");
  EXPECT_GT(simulation.Completed(), 10U);
}

// Jobs were shown as failed for crashes by tasks of other jobs.
TEST_P(GuiltyTasksTest, AreGivenUpWithoutTheirNeighbours) {
  JobSimulation simulation(Options());
  simulation.Run();
  EXPECT_EQ(Join(simulation.JobsFailedWithoutCrashingTask()), "");
}

const int kFirstSeed = NumberFromEnvironment("HYSSOPSPAR_FIRST_SEED", 1);
const int kLastSeed = NumberFromEnvironment("HYSSOPSPAR_LAST_SEED", 20);

INSTANTIATE_TEST_SUITE_P(
    Seeds,
    InnocentJobsTest,
    testing::Combine(testing::Range<std::size_t>(0, FaultKinds().size()),
                     testing::Range(kFirstSeed, kLastSeed + 1)),
    NameOf);
INSTANTIATE_TEST_SUITE_P(
    Seeds,
    GuiltyTasksTest,
    testing::Combine(testing::Range<std::size_t>(0, FaultKinds().size()),
                     testing::Range(kFirstSeed, kLastSeed + 1)),
    NameOf);

}  // namespace
}  // namespace hyssopspar::jobs
