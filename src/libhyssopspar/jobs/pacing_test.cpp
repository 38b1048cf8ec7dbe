#include "hyssopspar/jobs/pacing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>

#include "hyssopspar/jobs/tail_forecast.h"

namespace hyssopspar::jobs {
namespace {

/// A model trained so that image `heavy` interferes with `serving` and `light`
/// does not.
InterferenceModel TrainedModel() {
  InterferenceModel model;
  for (int i = 0; i < 400; ++i) {
    model.Observe("serving", 0.5, {});
    model.Observe("serving", 0.5, {{"light", 0.3}});
    model.Observe("serving", 0.5 * 2.7, {{"heavy", 0.2}});
  }
  return model;
}

TEST(InterferenceModelTest, LearnsSlopesPerImagePair) {
  const InterferenceModel model = TrainedModel();
  // A CPU share of 0.2 raises the tail ratio by a factor of 2.7 = exp(5 * 0.2).
  EXPECT_NEAR(model.Slope("serving", "heavy"), 5.0, 0.8);
  EXPECT_LT(model.Slope("serving", "light"), 0.3);
}

TEST(InterferenceModelTest, AssumesInterferenceOfUnknownImages) {
  const InterferenceModel model;
  EXPECT_GT(model.Slope("any", "other"), 0);
}

TEST(PacingTest, ThrottlesOnlyTaskWithHighestInterference) {
  std::vector<BestEffortTask> tasks = {{"light", 0.1, 100, 100},
                                       {"heavy", 0.1, 100, 100}};
  ChooseThrottlePercents(TrainedModel(), {{"serving", 1.2}}, false, &tasks);
  EXPECT_EQ(tasks[0].m_new_percent, 100);
  EXPECT_LT(tasks[1].m_new_percent, 50);
}

TEST(PacingTest, PausesAllTasksWithPauseAll) {
  std::vector<BestEffortTask> tasks = {{"light", 0.1, 100, 100},
                                       {"heavy", 0.1, 40, 40}};
  ChooseThrottlePercents(TrainedModel(), {{"serving", 1.2}}, true, &tasks);
  EXPECT_EQ(tasks[0].m_new_percent, 0);
  EXPECT_EQ(tasks[1].m_new_percent, 0);
}

TEST(PacingTest, UnthrottlesWithoutServingTasks) {
  std::vector<BestEffortTask> tasks = {{"heavy", 0.1, 0, 0}};
  ChooseThrottlePercents(TrainedModel(), {}, false, &tasks);
  EXPECT_EQ(tasks[0].m_new_percent, 100);
}

TEST(PacingTest, UnthrottlesLowestInterferenceFirst) {
  std::vector<BestEffortTask> tasks = {{"heavy", 0.2, 0, 0},
                                       {"light", 0.2, 0, 0}};
  ChooseThrottlePercents(TrainedModel(), {{"serving", 0.5}}, false, &tasks);
  EXPECT_EQ(tasks[1].m_new_percent, 100);
  EXPECT_LT(tasks[0].m_new_percent, 100);
}

TEST(PacingTest, ForecastMatchesTrainedSlopes) {
  const std::vector<ServingTailLatency> tails = {{"serving", 0.5}};
  const InterferenceModel model = TrainedModel();
  const TailEffect heavy = TailForecast(model, "heavy").EffectOn(tails, 0.2);
  EXPECT_NEAR(heavy.m_max_ratio, 1.35, 0.2);
  EXPECT_NEAR(heavy.m_max_log_increase, std::log(1.35 / 0.5), 0.2);
  const TailEffect light = TailForecast(model, "light").EffectOn(tails, 0.2);
  EXPECT_NEAR(light.m_max_ratio, 0.5, 0.05);
  EXPECT_NEAR(light.m_max_log_increase, 0, 0.1);
}

TEST(PacingTest, DissimilarityIsShareOfAddedSensitivity) {
  const InterferenceModel model({{"a", {0, {{"x", {4, 9}}, {"y", {0, 9}}}}},
                                 {"b", {0, {{"x", {3, 9}}, {"y", {0, 9}}}}},
                                 {"c", {0, {{"x", {0, 9}}, {"y", {4, 9}}}}}});
  EXPECT_DOUBLE_EQ(model.SensitivityDissimilarity("a", {{"b", 1}}), 0.25);
  EXPECT_DOUBLE_EQ(model.SensitivityDissimilarity("b", {{"a", 1}}), 0);
  EXPECT_DOUBLE_EQ(model.SensitivityDissimilarity("a", {{"c", 2}}), 1);
  EXPECT_DOUBLE_EQ(model.SensitivityDissimilarity("a", {{"b", 1}, {"c", 1}}),
                   0.25);
  EXPECT_DOUBLE_EQ(model.SensitivityDissimilarity("a", {{"unseen", 1}}), 1);
  EXPECT_DOUBLE_EQ(model.SensitivityDissimilarity("unseen", {{"a", 1}}), 1);
}

TEST(PacingTest, ApplyScalesTailsAsForecast) {
  std::vector<ServingTailLatency> tails = {{"serving", 0.3}, {"unseen", 0.5}};
  const TailForecast forecast(TrainedModel(), "heavy");
  const double first = forecast.EffectOn(tails, 0.1).m_max_ratio;
  forecast.Apply(0.1, &tails);
  EXPECT_DOUBLE_EQ(std::max(tails[0].m_ratio, tails[1].m_ratio), first);
}

TEST(PacingTest, ForecastSlopesMatchModelForAllImages) {
  const InterferenceModel model = TrainedModel();
  for (const char* const serving : {"serving", "unseen"}) {
    for (const char* const best_effort : {"heavy", "light", "unseen"}) {
      EXPECT_EQ(TailForecast(model, best_effort).Slope(serving),
                model.Slope(serving, best_effort));
    }
  }
}

}  // namespace
}  // namespace hyssopspar::jobs
