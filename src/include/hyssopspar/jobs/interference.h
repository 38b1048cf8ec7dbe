/// \file
/// Online model of how much best-effort tasks of one image raise the tail
/// latency of serving tasks of another image.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hyssopspar::jobs {

/// A best-effort task that may interfere with the serving tasks on its worker.
struct InterferenceSource {
  std::string m_image;
  double m_cpu_share = 0;  ///< Share of the worker's CPU that it uses.
};

/// Estimated effect of one best-effort image on one serving image.
struct SlopeEstimate {
  double m_value = 0;  ///< Rise of log(tail ratio) at a CPU share of 1.
  double m_observation_weight = 0;  ///< Sum of observation weights.
};

template <class Archive, class T>
void VisitFields(Archive& archive, T& slope, const SlopeEstimate* /*tag*/) {
  archive(slope.m_value, slope.m_observation_weight);
}

/// Model parameters of one serving image.
struct ServingImageModel {
  double m_baseline = 0;  ///< log(tail ratio) without best-effort tasks.
  std::map<std::string, SlopeEstimate> m_slopes;  ///< By best-effort image.
};

template <class Archive, class T>
void VisitFields(Archive& archive, T& image, const ServingImageModel* /*tag*/) {
  archive(image.m_baseline, image.m_slopes);
}

/// Predicts the logarithm of the tail ratio (tail latency over its target) of a
/// serving task from the best-effort tasks on the same worker: a baseline for
/// each serving image plus, for each best-effort task, its CPU share times the
/// slope of the pair of images. Trained on worker reports by normalized least
/// mean squares.
class InterferenceModel {
 public:
  InterferenceModel() = default;
  explicit InterferenceModel(std::map<std::string, ServingImageModel> images)
      : m_images(std::move(images)) {}

  const std::map<std::string, ServingImageModel>& Images() const {
    return m_images;
  }

  /// Updates the model by one observation. \p sources are the best-effort tasks
  /// on the same worker; without any, only the baseline is updated.
  /// \p baseline is the log(tail ratio) expected of the task without them, if
  /// it is known better than by the image's baseline.
  void Observe(const std::string& serving,
               double tail_ratio,
               const std::vector<InterferenceSource>& sources,
               std::optional<double> baseline = std::nullopt);

  /// Share, from 0 to 1, of the sensitivity of \p serving that exceeds the
  /// sensitivity of every image in \p others. A high value means that placing
  /// \p serving there makes the worker unsuitable for further best-effort
  /// images. 1 if one of the images is unknown.
  double SensitivityDissimilarity(
      const std::string& serving,
      const std::map<std::string, std::uint32_t>& others) const;

  /// Rise of the tail ratio's logarithm if \p best_effort used all CPU of the
  /// worker. A default for pairs of images without observations.
  double Slope(const std::string& serving,
               const std::string& best_effort) const;

 private:
  std::map<std::string, ServingImageModel> m_images;
};

}  // namespace hyssopspar::jobs
