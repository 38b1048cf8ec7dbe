#include "hyssopspar/jobs/forecast/tail_outlook.h"

#include <gtest/gtest.h>

#include <cmath>

namespace hyssopspar::jobs {
namespace {

constexpr double kPi = 3.14159265358979323846;
constexpr TimePoint kStart{std::chrono::hours(1)};
/// A time at which the wave of ObservedWave() has just turned upwards, and one
/// at which it falls.
constexpr TimePoint kRising = kStart + milliseconds(27500);
constexpr TimePoint kFalling = kStart + milliseconds(24000);

/// A load with a cycle of 10 s, observed until \p end without best-effort
/// tasks.
LoadCycle ObservedWave(TimePoint end) {
  LoadCycle cycle;
  for (TimePoint at = kStart; at < end; at += milliseconds(70)) {
    const double phase =
        2 * kPi * std::chrono::duration<double>(at - kStart).count() / 10;
    ObserveLoad(&cycle, at, -0.9 + 0.4 * std::sin(phase), 1);
  }
  return cycle;
}

// Load: waves of users. A worker at its lowest load must not be filled up to
// the limit that it reaches while the new tasks run.
TEST(TailOutlookTest, ExpectsHigherTailsWhileTheLoadRises) {
  LoadCycle cycle = ObservedWave(kRising);
  const TailOutlook outlook = OutlookOf({{{"web", 0.3}, &cycle}}, kRising);
  ASSERT_EQ(outlook.m_ahead.size(), 1U);
  EXPECT_GT(outlook.m_ahead[0].m_ratio, 0.35);
  EXPECT_GT(outlook.m_limits.m_place, TailLimits().m_place);
}

// A tail over its target was taken for harmless because its load was falling,
// and nothing was throttled.
TEST(TailOutlookTest, KeepsATailOverItsTargetWhileTheLoadFalls) {
  LoadCycle cycle = ObservedWave(kFalling);
  const TailOutlook outlook = OutlookOf({{{"web", 1.1}, &cycle}}, kFalling);
  ASSERT_EQ(outlook.m_soon.size(), 1U);
  EXPECT_GE(outlook.m_soon[0].m_ratio, 1.1);
}

// One task without a forecast on a worker must keep the wide margins.
TEST(TailOutlookTest, HasWideLimitsUnlessAllTasksAreForecast) {
  LoadCycle cycle = ObservedWave(kRising);
  const TailOutlook outlook =
      OutlookOf({{{"web", 0.3}, &cycle}, {{"mail", 0.3}, nullptr}}, kRising);
  EXPECT_EQ(outlook.m_limits.m_place, TailLimits().m_place);
  EXPECT_EQ(outlook.m_limits.m_throttle, TailLimits().m_throttle);
}

// A forecast with large errors had narrower margins than none.
TEST(TailOutlookTest, HasWideLimitsForAPoorForecast) {
  EXPECT_EQ(LimitsForDeviation(0.4).m_place, TailLimits().m_place);
  EXPECT_GT(LimitsForDeviation(0.08).m_place, TailLimits().m_place);
  EXPECT_LT(LimitsForDeviation(0).m_throttle, 1);
}

// With the mean of the image as baseline, the swing of the load was taken for
// the effect of best-effort tasks.
TEST(TailOutlookTest, LearnsSlopesBesideTheExpectedLoad) {
  LoadCycle cycle = ObservedWave(kRising);
  InterferenceModel model;
  TimePoint now = kRising;
  for (int i = 0; i < 60; ++i) {
    now += milliseconds(70);
    const double load = ForecastLoad(cycle, now - milliseconds(250));
    LearnFromReport({{{"web", std::exp(load)}, &cycle}}, {{"batch", 0.2}}, now,
                    &model);
  }
  EXPECT_LT(model.Slope("web", "batch"), 0.2);
}

}  // namespace
}  // namespace hyssopspar::jobs
