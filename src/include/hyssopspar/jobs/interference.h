/// \file
/// Learns how much tasks of one image disturb those of another.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace hyssopspar::jobs {

/// Share of a worker's processors at which an idle-filling task works.
struct Pressure {
  std::string m_image;
  double m_share = 0;
};

/// How much one filling image disturbs one serving image.
struct ImageSlope {
  double m_value = 0;
  double m_observations = 0;  ///< By weight.
};

template <class Archive, class T>
void VisitFields(Archive& archive, T& slope, const ImageSlope* /*tag*/) {
  archive(slope.m_value, slope.m_observations);
}

/// What is known of one serving image.
struct ServingImage {
  double m_base = 0;  ///< Logarithm of the tail ratio with nothing beside.
  std::map<std::string, ImageSlope> m_slopes;  ///< By filling image.
};

template <class Archive, class T>
void VisitFields(Archive& archive, T& image, const ServingImage* /*tag*/) {
  archive(image.m_base, image.m_slopes);
}

/// Estimates the logarithm of a served tail, as a multiple of its target, from
/// the idle-filling tasks beside it: a base for each serving image plus a slope
/// for each pair of images. Normalized least mean squares over what workers
/// report.
class InterferenceModel {
 public:
  InterferenceModel() = default;
  explicit InterferenceModel(std::map<std::string, ServingImage> images)
      : m_images(std::move(images)) {}

  const std::map<std::string, ServingImage>& Images() const { return m_images; }

  /// Enters one observation of the serving image \p serving.
  void Observe(const std::string& serving,
               double tail_ratio,
               const std::vector<Pressure>& beside);

  /// Share of the disturbance that \p serving feels and the images of \p others
  /// don't, from 0 to 1: what its arrival would close to filling images. 1 when
  /// one of the images is unknown.
  double Unlikeness(const std::string& serving,
                    const std::map<std::string, std::uint32_t>& others) const;

  /// Rise of the logarithm for a whole worker that \p filling takes.
  double Slope(const std::string& serving, const std::string& filling) const;

 private:
  std::map<std::string, ServingImage> m_images;
};

}  // namespace hyssopspar::jobs
