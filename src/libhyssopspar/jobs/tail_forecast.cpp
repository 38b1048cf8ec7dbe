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

TailEffect TailForecast::EffectOn(const std::vector<ServedTail>& tails,
                                  double share) const {
  TailEffect effect;
  for (const ServedTail& tail : tails) {
    const double rise = Slope(tail.m_image) * share;
    effect.m_ratio = std::max(effect.m_ratio, tail.m_ratio * std::exp(rise));
    effect.m_rise = std::max(effect.m_rise, rise);
  }
  return effect;
}

void TailForecast::Apply(double share, std::vector<ServedTail>* tails) const {
  for (ServedTail& tail : *tails) {
    tail.m_ratio *= std::exp(Slope(tail.m_image) * share);
  }
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
