/// \file
/// Learns how much tasks of one image disturb those of another.

#pragma once

#include <map>
#include <string>
#include <vector>

namespace hyssopspar::jobs {

/// Share of a worker's processors at which an idle-filling task works.
struct Pressure {
  std::string m_image;
  double m_share = 0;
};

/// Estimates the logarithm of a served tail, as a multiple of its target, from
/// the idle-filling tasks beside it: a base for each serving image plus a slope
/// for each pair of images. Normalized least mean squares over what workers
/// report.
class InterferenceModel {
 public:
  /// Enters one observation of the serving image \p serving.
  void Observe(const std::string& serving,
               double tail_ratio,
               const std::vector<Pressure>& beside);

  /// Rise of the logarithm for a whole worker that \p filling takes.
  double Slope(const std::string& serving, const std::string& filling) const;

 private:
  struct ServingImage {
    double m_base;  ///< Logarithm of the tail ratio with nothing beside.
    std::map<std::string, double> m_slopes;
  };

  std::map<std::string, ServingImage> m_images;
};

}  // namespace hyssopspar::jobs
