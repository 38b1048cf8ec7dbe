// Forecasts of run times and of free capacity.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "hyssopspar/jobs/forecast/capacity_forecast.h"
#include "hyssopspar/jobs/forecast/run_time_samples.h"

namespace hyssopspar::jobs {
namespace {

const TimePoint kNow{std::chrono::hours(1)};

RunTimeSamples SamplesFrom(int first, int last) {
  RunTimeSamples samples;
  for (int i = first; i <= last; ++i) {
    AddRunTime(&samples, milliseconds(i * 100));
  }
  return samples;
}

// Guards against estimates that ignore how long a run has lasted already.
TEST(RunTimeSamplesTest, ConditionsOnTheTimeElapsed) {
  const RunTimeSamples samples = SamplesFrom(1, 20);
  EXPECT_EQ(RemainingRunTimeQuantile(samples, {}, milliseconds(0), 0.5),
            milliseconds(1000));
  EXPECT_EQ(RemainingRunTimeQuantile(samples, {}, milliseconds(1500), 0.5),
            milliseconds(300));
}

// A run that lasts longer than all known ones must not count as ending now: a
// reservation would be granted on its worker again and again.
TEST(RunTimeSamplesTest, ExpectsAnOverdueRunToGoOn) {
  const RunTimeSamples samples = SamplesFrom(1, 20);
  EXPECT_EQ(RemainingRunTimeQuantile(samples, {}, milliseconds(4000), 0.5),
            milliseconds(4000));
}

// Guards a new owner, which has seen no run end: the declared run time counts
// with twofold errors.
TEST(RunTimeSamplesTest, CoversWrongEstimatesWithoutRuns) {
  EXPECT_EQ(RemainingRunTimeQuantile({}, milliseconds(1000), {}, 0.9),
            milliseconds(2000));
  const RunTimeSamples samples = SamplesFrom(1, 20);
  EXPECT_EQ(RemainingRunTimeQuantile(samples, milliseconds(9000), {}, 0.9),
            milliseconds(1800));
}

// Guards against old run times that outlast a change of the load.
TEST(RunTimeSamplesTest, ForgetsOldRuns) {
  RunTimeSamples samples = SamplesFrom(1, 20);
  for (std::size_t i = 0; i < kMaxRunTimeSamples; ++i) {
    AddRunTime(&samples, milliseconds(5000));
  }
  EXPECT_EQ(samples.m_sorted.size(), kMaxRunTimeSamples);
  EXPECT_EQ(samples.m_sorted.front(), milliseconds(5000));
}

CapacityForecast Forecast() {
  CapacityForecast forecast;
  forecast.m_capacity = {16000, 32000, 0};
  forecast.m_free = {2000, 8000, 0};
  forecast.m_releases = {{kNow + milliseconds(900), {8000, 8000, 0}},
                         {kNow + milliseconds(300), {4000, 8000, 0}}};
  SortReleases(&forecast);
  return forecast;
}

// Guards against fits that leave out one resource or a later release.
TEST(CapacityForecastTest, FindsTheEarliestFit) {
  const CapacityForecast forecast = Forecast();
  EXPECT_EQ(EarliestFit(forecast, {2000, 8000, 0}, kNow), kNow);
  EXPECT_EQ(EarliestFit(forecast, {6000, 8000, 0}, kNow),
            kNow + milliseconds(300));
  EXPECT_EQ(EarliestFit(forecast, {2000, 24000, 0}, kNow),
            kNow + milliseconds(900));
  EXPECT_EQ(EarliestFit(forecast, {16000, 8000, 0}, kNow), TimePoint::max());
  EXPECT_EQ(EarliestFit(forecast, {1000, 1000, 1}, kNow), TimePoint::max());
}

// Guards against a cost that counts capacity which the waiting task can't use.
TEST(CapacityForecastTest, CountsIdleCapacityUpToTheNeed) {
  EXPECT_DOUBLE_EQ(IdleCoreMillis(Forecast(), {6000, 1000, 0}, kNow,
                                  kNow + milliseconds(500)),
                   2 * 300 + 6 * 200);
}

RC_GTEST_PROP(ForecastProperty, LongerWaitsNeverGiveLessCapacity, ()) {
  CapacityForecast forecast;
  forecast.m_capacity = {64000, 0, 0};
  for (const int at :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10000))) {
    forecast.m_releases.push_back(
        {kNow + milliseconds(at), {*rc::gen::inRange(1, 16000), 0, 0}});
  }
  SortReleases(&forecast);
  const Resources need{*rc::gen::inRange(1, 64000), 0, 0};
  const TimePoint fit = EarliestFit(forecast, need, kNow);
  if (fit != TimePoint::max()) {
    RC_ASSERT(Fits(need, FreeAt(forecast, fit)));
    RC_ASSERT(fit == kNow ||
              !Fits(need, FreeAt(forecast, fit - milliseconds(1))));
  }
}

}  // namespace
}  // namespace hyssopspar::jobs
