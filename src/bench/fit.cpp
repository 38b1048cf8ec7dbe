#include "bench/fit.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace hyssopspar::bench {

Line FitLine(const std::vector<Point>& points) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  double top = 0;
  const double count = static_cast<double>(points.size());
  for (const Point& point : points) {
    sum_x += point.m_x;
    sum_y += point.m_y;
    sum_xx += point.m_x * point.m_x;
    sum_xy += point.m_x * point.m_y;
    top = std::max(top, std::abs(point.m_y));
  }
  Line line;
  line.m_slope =
      (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
  line.m_intercept = (sum_y - line.m_slope * sum_x) / count;
  for (const Point& point : points) {
    const double fitted = line.m_intercept + line.m_slope * point.m_x;
    line.m_residual =
        std::max(line.m_residual, std::abs(point.m_y - fitted) / top);
  }
  return line;
}

std::string RenderRow(const std::string& name,
                      const std::string& unit,
                      const std::vector<Point>& points,
                      const Line& line) {
  std::string list;
  char text[128];
  for (const Point& point : points) {
    std::snprintf(text, sizeof(text), "%s%g: %.4g", list.empty() ? "" : "; ",
                  point.m_x, point.m_y);
    list += text;
  }
  std::snprintf(text, sizeof(text), " | %.4g %s | %.4g | %.1f %% |\n",
                line.m_slope, unit.c_str(), line.m_intercept,
                100 * line.m_residual);
  return "| " + name + " | " + list + text;
}

}  // namespace hyssopspar::bench
