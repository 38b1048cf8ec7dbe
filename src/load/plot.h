/// \file
/// SVG plot of latency distributions.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/time.h"

namespace hyssopspar::load {

/// One curve of the plot.
struct PlotSeries {
  std::string m_name;
  std::vector<Duration> m_sorted_latencies;  ///< Ascending.
};

/// Plots latency over the share of requests that take longer. Both axes are
/// logarithmic, so that the tail of the distribution takes up most of the plot.
/// Returns the SVG document.
std::string PlotLatencyTail(const std::string& title,
                            const std::vector<PlotSeries>& all_series);

}  // namespace hyssopspar::load
