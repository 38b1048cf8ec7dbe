#include "hyssopspar/jobs/tail_forecast.h"

#include <algorithm>
#include <cmath>

namespace hyssopspar::jobs {

TailForecast::TailForecast(const InterferenceModel& model,
                           const std::string& best_effort)
    : m_default_slope(model.Slope("", best_effort)) {
  for (const auto& entry : model.Images()) {
    m_slope_by_serving_image.emplace_back(
        entry.first, model.Slope(entry.first, best_effort));
  }
}

TailEffect TailForecast::EffectOn(const std::vector<ServingTailLatency>& tails,
                                  double cpu_share) const {
  TailEffect effect;
  for (const ServingTailLatency& tail : tails) {
    const double log_increase = Slope(tail.m_image) * cpu_share;
    effect.m_max_ratio =
        std::max(effect.m_max_ratio, tail.m_ratio * std::exp(log_increase));
    effect.m_max_log_increase =
        std::max(effect.m_max_log_increase, log_increase);
  }
  return effect;
}

void TailForecast::Apply(double cpu_share,
                         std::vector<ServingTailLatency>* tails) const {
  for (ServingTailLatency& tail : *tails) {
    tail.m_ratio *= std::exp(Slope(tail.m_image) * cpu_share);
  }
}

double TailForecast::Slope(const std::string& serving) const {
  for (const auto& slope : m_slope_by_serving_image) {
    if (slope.first == serving) {
      return slope.second;
    }
  }
  return m_default_slope;
}

}  // namespace hyssopspar::jobs
