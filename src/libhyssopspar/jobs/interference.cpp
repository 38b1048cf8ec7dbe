#include "hyssopspar/jobs/interference.h"

#include <algorithm>
#include <cmath>

namespace hyssopspar::jobs {

namespace {

/// Assumed of images that have not been seen together.
constexpr double kUnknownSlope = 1.5;
/// Assumed tail ratio of an image that has not been seen alone.
constexpr double kUnknownBase = 0.5;
/// Part of an observation's error that is corrected at once: much at first,
/// then less, so that swings of the load average out.
constexpr double kFirstRate = 0.3;
constexpr double kLastRate = 0.02;
constexpr double kRateHalving = 10;
constexpr double kBaseRate = 0.02;
/// Added to the squared shares, so that small ones teach little.
constexpr double kShareFloor = 0.01;
/// Share of a worker at which an observation counts half.
constexpr double kFullWeight = 0.1;
/// Errors beyond this are cut: an overflowing queue says little of slopes.
constexpr double kErrorLimit = 1.0;
/// Least ratio told apart, of tails reported in whole milliseconds.
constexpr double kLeastRatio = 0.02;

}  // namespace

void InterferenceModel::Observe(const std::string& serving,
                                double tail_ratio,
                                const std::vector<Pressure>& beside) {
  ServingImage& image =
      m_images.emplace(serving, ServingImage{std::log(kUnknownBase), {}})
          .first->second;
  double expected = image.m_base;
  double norm = kShareFloor;
  for (const Pressure& pressure : beside) {
    expected += Slope(serving, pressure.m_image) * pressure.m_share;
    norm += pressure.m_share * pressure.m_share;
  }
  const double error =
      std::clamp(std::log(std::max(tail_ratio, kLeastRatio)) - expected,
                 -kErrorLimit, kErrorLimit);
  if (beside.empty()) {
    image.m_base += kBaseRate * error;
    return;
  }
  for (const Pressure& pressure : beside) {
    ImageSlope& slope =
        image.m_slopes.emplace(pressure.m_image, ImageSlope{kUnknownSlope, 0})
            .first->second;
    const double rate =
        std::max(kLastRate, kFirstRate * kRateHalving /
                                (kRateHalving + slope.m_observations));
    slope.m_value =
        std::max(0.0, slope.m_value + rate * error * pressure.m_share / norm);
    slope.m_observations += pressure.m_share / (pressure.m_share + kFullWeight);
  }
}

double InterferenceModel::Unlikeness(
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
  double felt = 0;
  double new_felt = 0;
  for (const auto& entry : image->second.m_slopes) {
    double by_others = 0;
    for (const auto& other : others) {
      by_others = std::max(by_others, Slope(other.first, entry.first));
    }
    felt += entry.second.m_value;
    new_felt += std::max(0.0, entry.second.m_value - by_others);
  }
  return felt > 0 ? new_felt / felt : 0;
}

double InterferenceModel::Slope(const std::string& serving,
                                const std::string& filling) const {
  const auto image = m_images.find(serving);
  if (image == m_images.end()) {
    return kUnknownSlope;
  }
  const auto slope = image->second.m_slopes.find(filling);
  return slope == image->second.m_slopes.end() ? kUnknownSlope
                                               : slope->second.m_value;
}

}  // namespace hyssopspar::jobs
