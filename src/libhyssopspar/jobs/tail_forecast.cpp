#include "hyssopspar/jobs/tail_forecast.h"

#include <algorithm>
#include <cmath>

namespace hyssopspar::jobs {

TailForecast::TailForecast(const InterferenceModel& model,
                           const std::string& filling)
    : m_unknown(model.Slope("", filling)) {
  for (const auto& entry : model.Images()) {
    m_slopes.emplace_back(entry.first, model.Slope(entry.first, filling));
  }
}

double TailForecast::Worst(const std::vector<ServedTail>& tails,
                           double share) const {
  double worst = 0;
  for (const ServedTail& tail : tails) {
    worst =
        std::max(worst, tail.m_ratio * std::exp(Slope(tail.m_image) * share));
  }
  return worst;
}

double TailForecast::Slope(const std::string& serving) const {
  for (const auto& slope : m_slopes) {
    if (slope.first == serving) {
      return slope.second;
    }
  }
  return m_unknown;
}

}  // namespace hyssopspar::jobs
