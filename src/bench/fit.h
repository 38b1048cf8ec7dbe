/// \file
/// Least-squares fit of straight lines to benchmark results.

#pragma once

#include <string>
#include <vector>

namespace hyssopspar::bench {

/// A benchmark result \p m_y at size \p m_x.
struct Point {
  double m_x = 0;
  double m_y = 0;
};

/// y = intercept + slope * x, by least squares.
struct LinearFit {
  double m_intercept = 0;
  double m_slope = 0;
  double m_residual = 0;  ///< Largest deviation over the largest |y|.
};

/// Fits a line to at least two points with different x.
LinearFit FitLinearModel(const std::vector<Point>& points);

/// A Markdown table row: name, points, slope with \p unit, intercept, residual.
std::string RenderRow(const std::string& name,
                      const std::string& unit,
                      const std::vector<Point>& points,
                      const LinearFit& fit);

}  // namespace hyssopspar::bench
