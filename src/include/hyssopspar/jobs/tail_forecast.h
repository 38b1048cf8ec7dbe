/// \file
/// Prediction of the tail latency of serving tasks that share a worker with a
/// best-effort task.

#pragma once

#include <string>
#include <utility>
#include <vector>

#include "hyssopspar/jobs/interference.h"
#include "hyssopspar/jobs/pacing.h"

namespace hyssopspar::jobs {

/// Predicted effect of one more best-effort task on the tail latencies of a
/// worker.
struct TailEffect {
  double m_max_ratio = 0;         ///< Highest predicted tail ratio.
  double m_max_log_increase = 0;  ///< Highest rise of log(tail ratio).
};

/// Slopes of one best-effort image, copied from the model so that they are
/// looked up once for many workers. Must be rebuilt after a model update.
class TailForecast {
 public:
  TailForecast(const InterferenceModel& model, const std::string& best_effort);

  /// Effect on \p tails of a task that uses \p cpu_share of the worker's CPU.
  TailEffect EffectOn(const std::vector<ServingTailLatency>& tails,
                      double cpu_share) const;

  /// Scales \p tails by the effect of a task that uses \p cpu_share.
  void Apply(double cpu_share, std::vector<ServingTailLatency>* tails) const;

  /// Same as InterferenceModel::Slope for \p serving and the best-effort image.
  double Slope(const std::string& serving) const;

 private:
  std::vector<std::pair<std::string, double>> m_slope_by_serving_image;
  double m_default_slope;  ///< For serving images that the model lacks.
};

}  // namespace hyssopspar::jobs
