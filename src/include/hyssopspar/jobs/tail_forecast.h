/// \file
/// Served tails that are expected beside a filling task.

#pragma once

#include <string>
#include <utility>
#include <vector>

#include "hyssopspar/jobs/interference.h"
#include "hyssopspar/jobs/pacing.h"

namespace hyssopspar::jobs {

/// What one more filling task would do to the served tails of a worker.
struct TailEffect {
  double m_ratio = 0;  ///< Highest tail over target that is expected.
  double m_rise = 0;   ///< Highest rise of a tail's logarithm.
};

/// What the model says of one filling image, looked up once for many workers.
/// Valid as long as the model is unchanged.
class TailForecast {
 public:
  TailForecast(const InterferenceModel& model, const std::string& filling);

  /// Effect on \p tails of a task with \p share of the worker.
  TailEffect EffectOn(const std::vector<ServedTail>& tails, double share) const;

  /// Raises \p tails to what is expected beside a task with \p share.
  void Apply(double share, std::vector<ServedTail>* tails) const;

  /// Rise of the logarithm of \p serving's tail for a whole worker.
  double Slope(const std::string& serving) const;

 private:
  std::vector<std::pair<std::string, double>> m_slopes;  ///< By serving image.
  double m_unknown;
};

}  // namespace hyssopspar::jobs
