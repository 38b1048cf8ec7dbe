/// \file
/// Plots as SVG.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/time.h"

namespace hyssopspar::load {

struct PlotLine {
  std::string m_name;
  std::vector<Duration> m_sorted;  ///< Latencies, ascending.
};

/// Latency over the share of requests that take longer, both logarithmic, so
/// that the tail fills the picture.
std::string PlotTail(const std::string& title,
                     const std::vector<PlotLine>& lines);

}  // namespace hyssopspar::load
