#include "hyssopspar/jobs/forecast/load_cycle.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace hyssopspar::jobs {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kPi = 3.14159265358979323846;
/// Cycle lengths that are tried: a geometric series, dense enough that the
/// phase stays right over the time for which observations count.
constexpr Seconds kShortestCycle{4};
constexpr double kCycleRatio = 1.07;
/// Time in which the weight of an observation falls to 1/e.
constexpr Seconds kMemory{25};
constexpr milliseconds kFitInterval{200};
/// A cycle is forgotten after a gap of this length, as its phase is lost.
constexpr Seconds kMaxGap{10};
/// Time for which a cycle is used without a new observation.
constexpr milliseconds kForecastValidity{3000};
/// Pulls the amplitude towards 0 while there are few observations.
constexpr double kRidge = 0.5;
/// Least weight of observations, and least part of a cycle that they must
/// cover, before a cycle is accepted.
constexpr double kMinWeight = 15;
constexpr double kMinCoveredCycles = 0.6;
/// A cycle is accepted if it leaves at most this part of the variance.
constexpr double kMaxUnexplainedShare = 0.5;
/// Number of times within an interval at which the forecast is evaluated.
constexpr int kForecastSteps = 4;

Seconds CycleLength(std::size_t candidate) {
  return kShortestCycle * std::pow(kCycleRatio, static_cast<double>(candidate));
}

double AngularFrequency(std::size_t candidate) {
  static const std::array<double, kCycleCandidates> kFrequencies = [] {
    std::array<double, kCycleCandidates> frequencies{};
    for (std::size_t i = 0; i < kCycleCandidates; ++i) {
      frequencies[i] = 2 * kPi / CycleLength(i).count();
    }
    return frequencies;
  }();
  return kFrequencies[candidate];
}

void Fade(LoadCycle* cycle, double factor) {
  cycle->m_weight *= factor;
  cycle->m_value *= factor;
  cycle->m_square *= factor;
  for (CycleSums& sums : cycle->m_sums) {
    for (double* const sum :
         {&sums.m_sin, &sums.m_cos, &sums.m_sin_sin, &sums.m_sin_cos,
          &sums.m_cos_cos, &sums.m_sin_value, &sums.m_cos_value}) {
      *sum *= factor;
    }
  }
}

/// Solves the normal equations of one cycle length; nothing if the
/// observations don't determine them.
std::optional<LoadFit> Solve(const LoadCycle& cycle, std::size_t candidate) {
  const CycleSums& sums = cycle.m_sums[candidate];
  // Centred sums, so that two unknowns remain.
  const double weight = cycle.m_weight;
  const double ss = sums.m_sin_sin - sums.m_sin * sums.m_sin / weight + kRidge;
  const double cc = sums.m_cos_cos - sums.m_cos * sums.m_cos / weight + kRidge;
  const double sc = sums.m_sin_cos - sums.m_sin * sums.m_cos / weight;
  const double sv = sums.m_sin_value - sums.m_sin * cycle.m_value / weight;
  const double cv = sums.m_cos_value - sums.m_cos * cycle.m_value / weight;
  const double determinant = ss * cc - sc * sc;
  if (determinant <= 0) {
    return std::nullopt;
  }
  LoadFit fit;
  fit.m_candidate = candidate;
  fit.m_sin = (sv * cc - cv * sc) / determinant;
  fit.m_cos = (cv * ss - sv * sc) / determinant;
  fit.m_level =
      (cycle.m_value - fit.m_sin * sums.m_sin - fit.m_cos * sums.m_cos) /
      weight;
  const double total = cycle.m_square - cycle.m_value * cycle.m_value / weight;
  const double unexplained = total - fit.m_sin * sv - fit.m_cos * cv;
  fit.m_deviation = std::sqrt(std::max(0.0, unexplained / weight));
  return fit;
}

void FindBestFit(LoadCycle* cycle) {
  const double weight = cycle->m_weight;
  const double mean = cycle->m_value / weight;
  const double variance = std::max(0.0, cycle->m_square / weight - mean * mean);
  const Seconds covered = cycle->m_observed_until - cycle->m_origin;
  cycle->m_has_cycle = false;
  cycle->m_fit = LoadFit();
  cycle->m_fit.m_level = mean;
  cycle->m_fit.m_deviation = std::sqrt(variance);
  double best = std::sqrt(variance * kMaxUnexplainedShare);
  for (std::size_t i = 0; i < kCycleCandidates && weight >= kMinWeight; ++i) {
    if (covered < CycleLength(i) * kMinCoveredCycles) {
      return;
    }
    const std::optional<LoadFit> fit = Solve(*cycle, i);
    if (fit && fit->m_deviation < best) {
      best = fit->m_deviation;
      cycle->m_has_cycle = true;
      cycle->m_fit = *fit;
    }
  }
}

}  // namespace

void ObserveLoad(LoadCycle* cycle, TimePoint at, double value, double weight) {
  if (at - cycle->m_observed_until > kMaxGap) {
    *cycle = LoadCycle();
    cycle->m_origin = at;
    cycle->m_observed_until = at;
  }
  if (at > cycle->m_observed_until) {
    const Seconds elapsed = at - cycle->m_observed_until;
    Fade(cycle, std::exp(-elapsed / kMemory));
    cycle->m_observed_until = at;
  }
  cycle->m_weight += weight;
  cycle->m_value += weight * value;
  cycle->m_square += weight * value * value;
  const double seconds = Seconds(at - cycle->m_origin).count();
  for (std::size_t i = 0; i < kCycleCandidates; ++i) {
    const double angle = AngularFrequency(i) * seconds;
    const double sine = std::sin(angle);
    const double cosine = std::cos(angle);
    CycleSums& sums = cycle->m_sums[i];
    sums.m_sin += weight * sine;
    sums.m_cos += weight * cosine;
    sums.m_sin_sin += weight * sine * sine;
    sums.m_sin_cos += weight * sine * cosine;
    sums.m_cos_cos += weight * cosine * cosine;
    sums.m_sin_value += weight * sine * value;
    sums.m_cos_value += weight * cosine * value;
  }
  if (at >= cycle->m_fitted_at + kFitInterval) {
    cycle->m_fitted_at = at;
    FindBestFit(cycle);
  }
}

bool HasForecast(const LoadCycle& cycle, TimePoint now) {
  return cycle.m_has_cycle && now - cycle.m_observed_until < kForecastValidity;
}

double ForecastLoad(const LoadCycle& cycle, TimePoint at) {
  const double angle = AngularFrequency(cycle.m_fit.m_candidate) *
                       Seconds(at - cycle.m_origin).count();
  return cycle.m_fit.m_level + cycle.m_fit.m_sin * std::sin(angle) +
         cycle.m_fit.m_cos * std::cos(angle);
}

double LargestLoadChange(const LoadCycle& cycle,
                         TimePoint from,
                         TimePoint begin,
                         TimePoint end) {
  if (!HasForecast(cycle, begin)) {
    return 0;
  }
  double largest = ForecastLoad(cycle, begin);
  for (int i = 1; i <= kForecastSteps; ++i) {
    largest = std::max(
        largest,
        ForecastLoad(cycle, begin + (end - begin) * i / kForecastSteps));
  }
  return largest - ForecastLoad(cycle, from);
}

}  // namespace hyssopspar::jobs
