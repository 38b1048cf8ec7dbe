#include "hyssopspar/jobs/interference.h"

#include <algorithm>
#include <cmath>

namespace hyssopspar::jobs {

namespace {

/// Slope of a pair of images that have not been observed on one worker.
constexpr double kDefaultSlope = 1.5;
/// Baseline tail ratio of a serving image without observations.
constexpr double kDefaultBaselineRatio = 0.5;
/// Learning rate of slopes. It starts at kInitialSlopeRate, is halved at an
/// observation weight of kSlopeRateHalvingWeight, and falls to kMinSlopeRate,
/// so that load fluctuations average out.
constexpr double kInitialSlopeRate = 0.3;
constexpr double kMinSlopeRate = 0.02;
constexpr double kSlopeRateHalvingWeight = 10;
/// Learning rate of baselines.
constexpr double kBaselineRate = 0.02;
/// Added to the squared norm of the CPU shares, so that observations with small
/// shares change the slopes little.
constexpr double kNormRegularization = 0.01;
/// Share of a worker's CPU at which an observation has half of the full weight.
constexpr double kHalfWeightShare = 0.1;
/// Limit of the error of one observation. Larger errors come from overflowing
/// queues and say little about the slopes.
constexpr double kMaxError = 1.0;
/// Lower bound of observed tail ratios. Tail latencies are reported in whole
/// milliseconds, so smaller ratios cannot be distinguished.
constexpr double kMinTailRatio = 0.02;

}  // namespace

void InterferenceModel::Observe(const std::string& serving,
                                double tail_ratio,
                                const std::vector<InterferenceSource>& sources,
                                std::optional<double> baseline) {
  ServingImageModel& image =
      m_images
          .emplace(serving,
                   ServingImageModel{std::log(kDefaultBaselineRatio), {}})
          .first->second;
  double expected =
      sources.empty() ? image.m_baseline : baseline.value_or(image.m_baseline);
  double norm = kNormRegularization;
  for (const InterferenceSource& source : sources) {
    expected += Slope(serving, source.m_image) * source.m_cpu_share;
    norm += source.m_cpu_share * source.m_cpu_share;
  }
  const double error =
      std::clamp(std::log(std::max(tail_ratio, kMinTailRatio)) - expected,
                 -kMaxError, kMaxError);
  if (sources.empty()) {
    image.m_baseline += kBaselineRate * error;
    return;
  }
  for (const InterferenceSource& source : sources) {
    SlopeEstimate& slope =
        image.m_slopes.emplace(source.m_image, SlopeEstimate{kDefaultSlope, 0})
            .first->second;
    const double rate =
        std::max(kMinSlopeRate,
                 kInitialSlopeRate * kSlopeRateHalvingWeight /
                     (kSlopeRateHalvingWeight + slope.m_observation_weight));
    slope.m_value =
        std::max(0.0, slope.m_value + rate * error * source.m_cpu_share / norm);
    slope.m_observation_weight +=
        source.m_cpu_share / (source.m_cpu_share + kHalfWeightShare);
  }
}

double InterferenceModel::SensitivityDissimilarity(
    const std::string& serving,
    const std::map<std::string, std::uint32_t>& others) const {
  const auto image = m_images.find(serving);
  if (image == m_images.end()) {
    return 1;
  }
  for (const auto& other : others) {
    if (m_images.count(other.first) == 0) {
      return 1;
    }
  }
  double total_sensitivity = 0;
  double added_sensitivity = 0;
  for (const auto& entry : image->second.m_slopes) {
    double highest_of_others = 0;
    for (const auto& other : others) {
      highest_of_others =
          std::max(highest_of_others, Slope(other.first, entry.first));
    }
    total_sensitivity += entry.second.m_value;
    added_sensitivity +=
        std::max(0.0, entry.second.m_value - highest_of_others);
  }
  return total_sensitivity > 0 ? added_sensitivity / total_sensitivity : 0;
}

double InterferenceModel::Slope(const std::string& serving,
                                const std::string& best_effort) const {
  const auto image = m_images.find(serving);
  if (image == m_images.end()) {
    return kDefaultSlope;
  }
  const auto slope = image->second.m_slopes.find(best_effort);
  return slope == image->second.m_slopes.end() ? kDefaultSlope
                                               : slope->second.m_value;
}

}  // namespace hyssopspar::jobs
