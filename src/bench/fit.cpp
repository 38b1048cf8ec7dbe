#include "bench/fit.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace hyssopspar::bench {

LinearFit FitLinearModel(const std::vector<Point>& points) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  double max_abs_y = 0;
  const double count = static_cast<double>(points.size());
  for (const Point& point : points) {
    sum_x += point.m_x;
    sum_y += point.m_y;
    sum_xx += point.m_x * point.m_x;
    sum_xy += point.m_x * point.m_y;
    max_abs_y = std::max(max_abs_y, std::abs(point.m_y));
  }
  LinearFit fit;
  fit.m_slope =
      (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
  fit.m_intercept = (sum_y - fit.m_slope * sum_x) / count;
  for (const Point& point : points) {
    const double fitted = fit.m_intercept + fit.m_slope * point.m_x;
    fit.m_residual =
        std::max(fit.m_residual, std::abs(point.m_y - fitted) / max_abs_y);
  }
  return fit;
}

std::string RenderRow(const std::string& name,
                      const std::string& unit,
                      const std::vector<Point>& points,
                      const LinearFit& fit) {
  std::string list;
  char text[128];
  for (const Point& point : points) {
    std::snprintf(text, sizeof(text), "%s%g: %.4g", list.empty() ? "" : "; ",
                  point.m_x, point.m_y);
    list += text;
  }
  std::snprintf(text, sizeof(text), " | %.4g %s | %.4g | %.1f %% |\n",
                fit.m_slope, unit.c_str(), fit.m_intercept,
                100 * fit.m_residual);
  return "| " + name + " | " + list + text;
}

}  // namespace hyssopspar::bench
