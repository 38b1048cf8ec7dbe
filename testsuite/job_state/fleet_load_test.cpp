#include "job_state/fleet_load.h"

#include <gtest/gtest.h>

#include "hyssopspar/logging.h"

namespace hyssopspar::jobs {
namespace {

class FleetLoadTest : public testing::Test {
 protected:
  void SetUp() override { SetLogLevel("off"); }

  static double VisitsPerStart(const FleetLoad& load) {
    const CellWork& work = load.TheCell().Work();
    return static_cast<double>(work.m_worker_visits) /
           static_cast<double>(work.m_starts);
  }

  static Duration MeanOf(const StageTime& time) {
    return time.m_total / std::max<std::size_t>(1, time.m_count);
  }

  /// Mean time from the first pass that finds a step ready to the confirmed
  /// start of its tasks.
  static Duration MeanStartTime(const FleetLoad& load, const char* queue) {
    const QueueStageTimes& stages = load.Stages().at(queue);
    Duration total{0};
    for (const Stage stage : {Stage::kPlace, Stage::kStore, Stage::kConfirm}) {
      total += MeanOf(stages[static_cast<std::size_t>(stage)]);
    }
    return total;
  }
};

// The owner of a fleet of hundreds fell behind because every event examined
// every worker several times.
TEST_F(FleetLoadTest, StartTakesLessThanOneLookOverTheFleet) {
  FleetLoadOptions options;
  FleetLoad load(options);
  load.Run(nullptr);
  EXPECT_GT(load.TheCell().Work().m_starts, 10000U);
  EXPECT_LT(VisitsPerStart(load), options.m_workers);
}

// Passes took longer the more best-effort tasks waited for room, and urgent
// tasks waited for those passes.
TEST_F(FleetLoadTest, WaitingBestEffortTasksDoNotMultiplyTheWork) {
  FleetLoadOptions options;
  options.m_best_effort_jobs_per_worker *= 4;
  FleetLoad load(options);
  load.Run(nullptr);
  EXPECT_LT(VisitsPerStart(load), options.m_workers);
}

// On a slow processor, short jobs of the most urgent queue were started after
// their objective had passed.
TEST_F(FleetLoadTest, UrgentTasksStartInTimeOnASlowProcessor) {
  FleetLoadOptions options;
  options.m_best_effort_jobs_per_worker *= 2;
  options.m_cost_per_worker_visit = std::chrono::nanoseconds(400);
  FleetLoad load(options);
  load.Run(nullptr);
  EXPECT_LT(ToMillis(MeanStartTime(load, kShortQueue)), 250);
}

// When the owner could send fewer starts than the waiting best-effort tasks
// need, urgent tasks queued behind them.
TEST_F(FleetLoadTest, UrgentTasksDoNotQueueBehindBestEffortStarts) {
  FleetLoadOptions options;
  options.m_best_effort_jobs_per_worker *= 4;
  options.m_cost_per_call = microseconds(400);
  FleetLoad load(options);
  load.Run(nullptr);
  EXPECT_LT(ToMillis(MeanStartTime(load, kShortQueue)), 250);
  // The processor is still used for best-effort tasks.
  const QueueStageTimes& best_effort = load.Stages().at(kBestEffortQueue);
  EXPECT_GT(best_effort[static_cast<std::size_t>(Stage::kConfirm)].m_count,
            1000U);
}

}  // namespace
}  // namespace hyssopspar::jobs
