// Reservations and gaps on small fleets with fixed input.

#include "hyssopspar/jobs/reservation/reservation_plan.h"

#include <gtest/gtest.h>

#include "hyssopspar/jobs/reservation/placement_waits.h"

namespace hyssopspar::jobs {
namespace {

const TimePoint kNow{std::chrono::hours(1)};
const StepKey kLarge{1, 0, 0};
const StepKey kOther{2, 0, 0};

class ReservationTest : public testing::Test {
 protected:
  /// A worker of 16 cores, all used, of which \p releases become free.
  WorkerForecast& AddWorker(std::vector<ExpectedRelease> releases) {
    WorkerForecast worker;
    worker.m_service = "pool";
    worker.m_capacity.m_worker = static_cast<int>(m_workers.size());
    worker.m_capacity.m_capacity = {16000, 64000, 0};
    worker.m_capacity.m_free = {0, 32000, 0};
    worker.m_capacity.m_releases = std::move(releases);
    m_workers.push_back(worker);
    return m_workers.back();
  }

  WaitingStep& AddWaiting(const StepKey& key, Duration waited) {
    WaitingStep& step = m_state.m_waiting[key];
    step.m_service = "pool";
    step.m_need = {8000, 1000, 0};
    step.m_tasks = 1;
    step.m_since = m_now - waited;
    step.m_seen_at = m_now;
    return step;
  }

  void Plan() { PlanReservations(m_workers, m_now, &m_state); }

  bool IsReserved(int worker) const {
    const auto it = m_state.m_holds.find(worker);
    return it != m_state.m_holds.end() && it->second.m_is_reservation;
  }

  static ExpectedRelease In(std::int64_t millis, std::int64_t cpu_milli) {
    return {kNow + milliseconds(millis), {cpu_milli, 1000, 0}};
  }

  TimePoint m_now = kNow;
  std::vector<WorkerForecast> m_workers;
  ReservationState m_state;
};

// Guards against reservations on workers where a task would wait longer.
TEST_F(ReservationTest, ReservesWhereCapacityComesFreeFirst) {
  AddWorker({In(900, 8000)});
  AddWorker({In(300, 4000), In(400, 4000)});
  AddWaiting(kLarge, milliseconds(1000));
  Plan();
  EXPECT_FALSE(IsReserved(0));
  ASSERT_TRUE(IsReserved(1));
  EXPECT_EQ(m_state.m_holds.at(1).m_starts_at, kNow + milliseconds(400));
}

// Guards against delays of a reservation by others, and against idle capacity
// that others could use without delaying it.
TEST_F(ReservationTest, AdmitsOnlyWhatEndsBeforeOrFitsBeside) {
  AddWorker({In(300, 6000), In(400, 6000)});
  AddWaiting(kLarge, milliseconds(1000));
  Plan();
  const PlannedTask ends_before{
      kOther, {6000, 100, 0}, kNow + milliseconds(400)};
  PlannedTask beside{kOther, {4000, 100, 0}, TimePoint::max()};
  const PlannedTask too_large{kOther, {4001, 100, 0}, TimePoint::max()};
  EXPECT_EQ(JudgePlacement(m_state.m_holds, 0, ends_before),
            HoldVerdict::kFree);
  EXPECT_EQ(JudgePlacement(m_state.m_holds, 0, too_large),
            HoldVerdict::kReserved);
  ASSERT_EQ(JudgePlacement(m_state.m_holds, 0, beside), HoldVerdict::kFree);
  SubtractPlaced(0, beside, &m_state.m_holds);
  EXPECT_EQ(JudgePlacement(m_state.m_holds, 0, beside), HoldVerdict::kReserved);
  beside.m_step = kLarge;
  EXPECT_EQ(JudgePlacement(m_state.m_holds, 0, beside), HoldVerdict::kFree);
  // Best-effort tasks reserve no CPU, and must not wait for any.
  const PlannedTask best_effort{kOther, {0, 100, 0}, TimePoint::max()};
  m_state.m_holds.at(0).m_spare.m_cpu_milli = -1;
  EXPECT_EQ(JudgePlacement(m_state.m_holds, 0, best_effort),
            HoldVerdict::kFree);
}

// A step that has only begun to wait keeps no capacity idle, but its gap is the
// last choice of others.
TEST_F(ReservationTest, OnlyAvoidsTheGapOfAShortWait) {
  AddWorker({In(300, 8000)});
  AddWaiting(kLarge, milliseconds(100));
  Plan();
  EXPECT_FALSE(IsReserved(0));
  EXPECT_EQ(JudgePlacement(m_state.m_holds, 0,
                           {kOther, {1000, 100, 0}, TimePoint::max()}),
            HoldVerdict::kLastGap);
}

// Guards against drains: 6 of 8 cores idle for 2.9 s cost 17,400
// core-milliseconds, while starting 100 ms earlier gains 800.
TEST_F(ReservationTest, KeepsNoCapacityIdleForMoreThanTheGain) {
  AddWorker({In(2900, 2000)}).m_capacity.m_free = {6000, 32000, 0};
  AddWaiting(kLarge, milliseconds(3000));
  Plan();
  EXPECT_FALSE(IsReserved(0));
}

// Guards against reservations without end when the running tasks last longer
// than expected.
TEST_F(ReservationTest, MovesWhenTheForecastDoesNotComeTrue) {
  AddWorker({In(400, 8000)});
  AddWaiting(kLarge, milliseconds(1000));
  Plan();
  ASSERT_TRUE(IsReserved(0));
  m_now += milliseconds(1301);
  m_workers[0].m_capacity.m_releases = {In(5000, 8000)};
  AddWorker({In(1500, 8000)});
  m_state.m_waiting.at(kLarge).m_seen_at = m_now;
  Plan();
  EXPECT_EQ(m_state.m_counts.m_expired, 1U);
  EXPECT_FALSE(IsReserved(0));
  EXPECT_TRUE(IsReserved(1));
}

// Guards against gangs that keep the reservations of some members after
// another's worker is lost.
TEST_F(ReservationTest, ReservesForAGangAsAWhole) {
  for (int i = 0; i < 5; ++i) {
    AddWorker({In(400, 8000), In(500 + i, 8000)});
  }
  WaitingStep& gang = AddWaiting(kLarge, milliseconds(2000));
  gang.m_gang = true;
  gang.m_tasks = 2;
  gang.m_max_per_worker = 1;
  gang.m_on_worker.resize(5);
  Plan();
  EXPECT_TRUE(IsReserved(0) && IsReserved(1) && !IsReserved(2));
  m_workers.erase(m_workers.begin());
  Plan();
  EXPECT_EQ(m_state.m_counts.m_lost, 1U);
  EXPECT_TRUE(IsReserved(1) && IsReserved(2) && !IsReserved(0));
  gang.m_tasks = 9;
  m_state.m_holds.clear();
  Plan();
  EXPECT_TRUE(m_state.m_holds.empty());
}

// Guards against reservations for tasks that were placed elsewhere, cancelled,
// or wait for something else than capacity.
TEST_F(ReservationTest, EndsWhenTheTaskNoLongerWaits) {
  AddWorker({In(400, 8000)});
  AddWorker({In(2000, 8000)});
  AddWaiting(kLarge, milliseconds(1000));
  Plan();
  ASSERT_TRUE(IsReserved(0));
  EXPECT_EQ(UseReservations(kLarge, {1}, false, &m_state),
            std::vector<int>({0}));
  EXPECT_TRUE(m_state.m_holds.empty());
  AddWaiting(kLarge, milliseconds(1000));
  Plan();
  m_now += milliseconds(1001);
  Plan();
  EXPECT_TRUE(m_state.m_holds.empty());
}

// Guards against a fleet full of reservations: one worker in 16, at least one.
TEST_F(ReservationTest, LimitsTheNumber) {
  for (int i = 0; i < 40; ++i) {
    AddWorker({In(400, 8000)});
  }
  for (std::uint64_t job = 1; job <= 10; ++job) {
    AddWaiting({job, 0, 0}, milliseconds(1000));
  }
  Plan();
  EXPECT_EQ(Summarize(m_state.m_holds).m_count, 2U);
  EXPECT_EQ(m_state.m_holds.size(), 10U);
}

// Guards against quantiles over all tasks, which hide the waits of large ones.
TEST(PlacementWaitsTest, CoverTheLargestTenth) {
  std::vector<PlacementWait> waits(18, {1000, milliseconds(5)});
  waits.push_back({8000, milliseconds(1800)});
  waits.push_back({8000, milliseconds(1900)});
  const WaitQuantiles largest = LargestTenth(waits);
  EXPECT_EQ(largest.m_tasks, 2U);
  EXPECT_EQ(largest.m_median, milliseconds(1800));
}

}  // namespace
}  // namespace hyssopspar::jobs
