#include "hyssopspar/jobs/pacing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>

#include "hyssopspar/jobs/tail_forecast.h"

namespace hyssopspar::jobs {
namespace {

/// A model that has learnt that `heavy` disturbs `serving` and `light` does
/// not.
InterferenceModel LearntModel() {
  InterferenceModel model;
  for (int i = 0; i < 400; ++i) {
    model.Observe("serving", 0.5, {});
    model.Observe("serving", 0.5, {{"light", 0.3}});
    model.Observe("serving", 0.5 * 2.7, {{"heavy", 0.2}});
  }
  return model;
}

TEST(InterferenceModelTest, LearnsWhichPairsDisturb) {
  const InterferenceModel model = LearntModel();
  // exp(5 * 0.2) is 2.7.
  EXPECT_NEAR(model.Slope("serving", "heavy"), 5.0, 0.8);
  EXPECT_LT(model.Slope("serving", "light"), 0.3);
}

TEST(InterferenceModelTest, StartsCarefully) {
  const InterferenceModel model;
  EXPECT_GT(model.Slope("any", "other"), 0);
}

TEST(PacingTest, SlowsTheHeaviestPresserOnly) {
  std::vector<FillTask> fills = {{"light", 0.1, 100, 100},
                                 {"heavy", 0.1, 100, 100}};
  ChoosePaces(LearntModel(), {{"serving", 1.2}}, false, &fills);
  EXPECT_EQ(fills[0].m_wanted, 100);
  EXPECT_LT(fills[1].m_wanted, 50);
}

TEST(PacingTest, PausesAllWhenAsked) {
  std::vector<FillTask> fills = {{"light", 0.1, 100, 100},
                                 {"heavy", 0.1, 40, 40}};
  ChoosePaces(LearntModel(), {{"serving", 1.2}}, true, &fills);
  EXPECT_EQ(fills[0].m_wanted, 0);
  EXPECT_EQ(fills[1].m_wanted, 0);
}

TEST(PacingTest, SpeedsUpWithNothingToDisturb) {
  std::vector<FillTask> fills = {{"heavy", 0.1, 0, 0}};
  ChoosePaces(LearntModel(), {}, false, &fills);
  EXPECT_EQ(fills[0].m_wanted, 100);
}

TEST(PacingTest, SpeedsTheGentlestUpFirst) {
  std::vector<FillTask> fills = {{"heavy", 0.2, 0, 0}, {"light", 0.2, 0, 0}};
  ChoosePaces(LearntModel(), {{"serving", 0.5}}, false, &fills);
  EXPECT_EQ(fills[1].m_wanted, 100);
  EXPECT_LT(fills[0].m_wanted, 100);
}

TEST(PacingTest, ExpectsWhatTheModelSays) {
  const std::vector<ServedTail> tails = {{"serving", 0.5}};
  const InterferenceModel model = LearntModel();
  const TailEffect heavy = TailForecast(model, "heavy").EffectOn(tails, 0.2);
  EXPECT_NEAR(heavy.m_ratio, 1.35, 0.2);
  EXPECT_NEAR(heavy.m_rise, std::log(1.35 / 0.5), 0.2);
  const TailEffect light = TailForecast(model, "light").EffectOn(tails, 0.2);
  EXPECT_NEAR(light.m_ratio, 0.5, 0.05);
  EXPECT_NEAR(light.m_rise, 0, 0.1);
}

TEST(PacingTest, ImagesAreLikeWhenTheyFeelTheSame) {
  const InterferenceModel model({{"a", {0, {{"x", {4, 9}}, {"y", {0, 9}}}}},
                                 {"b", {0, {{"x", {3, 9}}, {"y", {0, 9}}}}},
                                 {"c", {0, {{"x", {0, 9}}, {"y", {4, 9}}}}}});
  EXPECT_DOUBLE_EQ(model.Unlikeness("a", {{"b", 1}}), 0.25);
  EXPECT_DOUBLE_EQ(model.Unlikeness("b", {{"a", 1}}), 0);
  EXPECT_DOUBLE_EQ(model.Unlikeness("a", {{"c", 2}}), 1);
  EXPECT_DOUBLE_EQ(model.Unlikeness("a", {{"b", 1}, {"c", 1}}), 0.25);
  EXPECT_DOUBLE_EQ(model.Unlikeness("a", {{"unseen", 1}}), 1);
  EXPECT_DOUBLE_EQ(model.Unlikeness("unseen", {{"a", 1}}), 1);
}

TEST(PacingTest, PlacedTasksRaiseTailsAsForecast) {
  std::vector<ServedTail> tails = {{"serving", 0.3}, {"unseen", 0.5}};
  const TailForecast forecast(LearntModel(), "heavy");
  const double first = forecast.EffectOn(tails, 0.1).m_ratio;
  forecast.Apply(0.1, &tails);
  EXPECT_DOUBLE_EQ(std::max(tails[0].m_ratio, tails[1].m_ratio), first);
}

TEST(PacingTest, ForecastsOfUnknownImagesAreTheModels) {
  const InterferenceModel model = LearntModel();
  for (const char* const serving : {"serving", "unseen"}) {
    for (const char* const filling : {"heavy", "light", "unseen"}) {
      EXPECT_EQ(TailForecast(model, filling).Slope(serving),
                model.Slope(serving, filling));
    }
  }
}

}  // namespace
}  // namespace hyssopspar::jobs
