/// \file
/// Straight lines through measured points.

#pragma once

#include <string>
#include <vector>

namespace hyssopspar::bench {

struct Point {
  double m_x = 0;
  double m_y = 0;
};

/// y = intercept + slope * x, by least squares.
struct Line {
  double m_intercept = 0;
  double m_slope = 0;
  double m_residual = 0;  ///< Largest deviation, as a share of the largest y.
};

Line FitLine(const std::vector<Point>& points);

/// A Markdown table row: name, points, slope with \p unit, intercept, residual.
std::string RenderRow(const std::string& name,
                      const std::string& unit,
                      const std::vector<Point>& points,
                      const Line& line);

}  // namespace hyssopspar::bench
