#include "hyssopspar/jobs/forecast/load_cycle.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace hyssopspar::jobs {
namespace {

constexpr double kPi = 3.14159265358979323846;
constexpr TimePoint kStart{std::chrono::hours(1)};

/// log(tail ratio) of a job whose load rises and falls in \p cycle.
double WaveAt(milliseconds time, milliseconds cycle) {
  return -0.9 + 0.4 * std::sin(2 * kPi * static_cast<double>(time.count()) /
                               static_cast<double>(cycle.count()));
}

/// Observes a wave at irregular times with errors, as 14 tasks report it.
LoadCycle ObserveWave(milliseconds cycle_length, milliseconds duration) {
  std::mt19937 random(1);
  std::normal_distribution<double> error(0, 0.05);
  std::uniform_int_distribution<int> gap(20, 120);
  LoadCycle cycle;
  for (milliseconds time{0}; time < duration;
       time += milliseconds(gap(random))) {
    ObserveLoad(&cycle, kStart + time,
                WaveAt(time, cycle_length) + error(random), 1);
  }
  return cycle;
}

// Load: services whose users come in waves. Placement by the last report fills
// the workers at low load and stops the tasks at the next peak.
TEST(LoadCycleTest, ForecastsPeakOfWave) {
  for (const milliseconds length :
       {milliseconds(5000), milliseconds(10000), milliseconds(17000)}) {
    const milliseconds observed = length * 2;
    const LoadCycle cycle = ObserveWave(length, observed);
    ASSERT_TRUE(cycle.m_has_cycle) << length.count();
    EXPECT_LT(cycle.m_fit.m_deviation, 0.1);
    for (milliseconds ahead{0}; ahead <= length / 4; ahead += length / 16) {
      EXPECT_NEAR(ForecastLoad(cycle, kStart + observed + ahead),
                  WaveAt(observed + ahead, length), 0.12)
          << length.count() << " ms, " << ahead.count() << " ms ahead";
    }
    EXPECT_NEAR(LargestLoadChange(cycle, kStart + observed, kStart + observed,
                                  kStart + observed + length / 2),
                0.4, 0.1);
  }
}

// A forecast from too few reports would open workers that are near their peak.
TEST(LoadCycleTest, HasNoForecastBeforeMostOfACycleIsSeen) {
  const LoadCycle cycle = ObserveWave(milliseconds(10000), milliseconds(2000));
  EXPECT_FALSE(cycle.m_has_cycle);
  EXPECT_EQ(LargestLoadChange(cycle, kStart, kStart,
                              kStart + std::chrono::seconds(2)),
            0);
}

// Load without a cycle must not get one from its noise.
TEST(LoadCycleTest, FindsNoCycleInNoise) {
  std::mt19937 random(2);
  std::normal_distribution<double> noise(-0.9, 0.3);
  LoadCycle cycle;
  for (int i = 0; i < 400; ++i) {
    ObserveLoad(&cycle, kStart + i * milliseconds(70), noise(random), 1);
  }
  EXPECT_FALSE(cycle.m_has_cycle);
  EXPECT_NEAR(cycle.m_fit.m_deviation, 0.3, 0.05);
}

// A service whose users change their habits must not be forecast by the old
// ones for ever.
TEST(LoadCycleTest, FollowsAChangedLevel) {
  LoadCycle cycle = ObserveWave(milliseconds(10000), milliseconds(20000));
  for (milliseconds time{20000}; time < milliseconds(120000);
       time += milliseconds(70)) {
    ObserveLoad(&cycle, kStart + time, WaveAt(time, milliseconds(10000)) + 0.5,
                1);
  }
  EXPECT_NEAR(cycle.m_fit.m_level, -0.4, 0.05);
  EXPECT_TRUE(cycle.m_has_cycle);
}

// Reports that arrive out of order must not break the sums, and a forecast
// without reports, as during an overload, must not be used for ever.
TEST(LoadCycleTest, ForgetsACycleWithoutObservations) {
  LoadCycle cycle = ObserveWave(milliseconds(10000), milliseconds(20000));
  ObserveLoad(&cycle, kStart + milliseconds(19000), -0.9, 1);
  EXPECT_TRUE(HasForecast(cycle, kStart + std::chrono::seconds(21)));
  EXPECT_FALSE(HasForecast(cycle, kStart + std::chrono::seconds(25)));
  ObserveLoad(&cycle, kStart + std::chrono::hours(10), -0.9, 1);
  EXPECT_TRUE(std::isfinite(cycle.m_fit.m_level));
  EXPECT_TRUE(std::isfinite(cycle.m_fit.m_deviation));
  EXPECT_FALSE(cycle.m_has_cycle);
}

}  // namespace
}  // namespace hyssopspar::jobs
