#include "hyssopspar/jobs/interference.h"

#include <algorithm>

namespace hyssopspar::jobs {

namespace {

/// Assumed of images that have not been seen together.
constexpr double kUnknownSlope = 2.0;
constexpr double kUnknownBase = 0.55;
/// Part of an observation's error that is corrected at once.
constexpr double kLearningRate = 0.25;
/// The base moves slower: loads swing around it.
constexpr double kBaseRate = 0.05;
/// Weight of the constant beside the shares, and floor of their sum.
constexpr double kConstantWeight = 0.02;
/// Errors beyond this are cut: a queue that overflows says little of slopes.
constexpr double kErrorLimit = 3.0;

}  // namespace

void InterferenceModel::Observe(const std::string& serving,
                                double tail_ratio,
                                const std::vector<Pressure>& beside) {
  ServingImage& image =
      m_images.emplace(serving, ServingImage{kUnknownBase, {}}).first->second;
  double expected = image.m_base;
  double norm = kConstantWeight;
  for (const Pressure& pressure : beside) {
    const double slope =
        image.m_slopes.emplace(pressure.m_image, kUnknownSlope).first->second;
    expected += slope * pressure.m_share;
    norm += pressure.m_share * pressure.m_share;
  }
  const double error =
      std::clamp(tail_ratio - expected, -kErrorLimit, kErrorLimit);
  if (beside.empty()) {
    image.m_base += kBaseRate * error;
    return;
  }
  for (const Pressure& pressure : beside) {
    double& slope = image.m_slopes[pressure.m_image];
    slope = std::max(
        0.0, slope + kLearningRate * error * pressure.m_share / norm);
  }
}

double InterferenceModel::Slope(const std::string& serving,
                                const std::string& filling) const {
  const auto image = m_images.find(serving);
  if (image == m_images.end()) {
    return kUnknownSlope;
  }
  const auto slope = image->second.m_slopes.find(filling);
  return slope == image->second.m_slopes.end() ? kUnknownSlope : slope->second;
}

double InterferenceModel::Base(const std::string& serving) const {
  const auto image = m_images.find(serving);
  return image == m_images.end() ? kUnknownBase : image->second.m_base;
}

}  // namespace hyssopspar::jobs
