/// \file
/// Served tails that are expected beside a filling task.

#pragma once

#include <string>
#include <utility>
#include <vector>

#include "hyssopspar/jobs/interference.h"
#include "hyssopspar/jobs/pacing.h"

namespace hyssopspar::jobs {

/// What the model says of one filling image, looked up once for many workers.
/// Valid as long as the model is unchanged.
class TailForecast {
 public:
  TailForecast(const InterferenceModel& model, const std::string& filling);

  /// Highest tail ratio that is expected once a task with \p share of the
  /// worker works beside \p tails.
  double Worst(const std::vector<ServedTail>& tails, double share) const;

  /// Rise of the logarithm of \p serving's tail for a whole worker.
  double Slope(const std::string& serving) const;

 private:
  std::vector<std::pair<std::string, double>> m_slopes;  ///< By serving image.
  double m_unknown;
};

}  // namespace hyssopspar::jobs
