#include "load/plot.h"

#include <array>
#include <cmath>
#include <cstdio>

namespace hyssopspar::load {

namespace {

// Sizes and positions are in pixels.
constexpr double kWidth = 720;
constexpr double kHeight = 420;
constexpr double kLeft = 70;
constexpr double kTop = 40;
constexpr double kPlotWidth = 460;
constexpr double kPlotHeight = 320;

constexpr double kMinMillis = 0.1;     ///< Start of the latency axis.
constexpr double kLatencyDecades = 5;  ///< Length of the latency axis.
constexpr double kTailDecades = 4;     ///< Share axis, down from 1.
constexpr int kCurveSteps = 120;       ///< Line segments of a curve.
constexpr std::array<const char*, 6> kColours = {
    "#1b6ca8", "#c1440e", "#3a7d44", "#7b4fa3", "#b58900", "#444444"};

/// X coordinate of \p share, a share of requests that take longer.
double XOfShare(double share) {
  return kLeft + kPlotWidth * -std::log10(share) / kTailDecades;
}

/// Y coordinate of a latency of \p millis, clamped to the axis.
double YOfMillis(double millis) {
  const double decades = std::log10(std::max(millis, kMinMillis) / kMinMillis);
  return kTop + kPlotHeight * (1 - std::min(decades / kLatencyDecades, 1.0));
}

std::string TextElement(double x, double y, const std::string& text) {
  char start[96];
  std::snprintf(start, sizeof(start),
                "<text x=\"%.1f\" y=\"%.1f\" font-size=\"12\">", x, y);
  std::string escaped;
  for (const char c : text) {
    escaped += c == '<' ? "&lt;" : c == '&' ? "&amp;" : std::string(1, c);
  }
  return start + escaped + "</text>\n";
}

std::string GridElements() {
  std::string svg;
  char grid_line[160];
  for (int i = 0; i <= static_cast<int>(kLatencyDecades); ++i) {
    const double millis = kMinMillis * std::pow(10, i);
    std::snprintf(grid_line, sizeof(grid_line),
                  "<path d=\"M%.1f %.1fh%.1f\" stroke=\"#ddd\"/>\n", kLeft,
                  YOfMillis(millis), kPlotWidth);
    char label[32];
    std::snprintf(label, sizeof(label), "%g ms", millis);
    svg += grid_line + TextElement(10, YOfMillis(millis) + 4, label);
  }
  static const std::array<const char*, 5> kNames = {"all", "p90", "p99",
                                                    "p99.9", "p99.99"};
  for (int i = 0; i <= static_cast<int>(kTailDecades); ++i) {
    const double x = XOfShare(std::pow(10, -i));
    std::snprintf(grid_line, sizeof(grid_line),
                  "<path d=\"M%.1f %.1fv%.1f\" stroke=\"#ddd\"/>\n", x, kTop,
                  kPlotHeight);
    svg += grid_line + TextElement(x - 12, kTop + kPlotHeight + 18, kNames[i]);
  }
  return svg;
}

std::string CurveElement(const PlotSeries& series, const char* colour) {
  std::string points;
  for (int i = 0; i <= kCurveSteps; ++i) {
    const double share = std::pow(10, -kTailDecades * i / kCurveSteps);
    const std::size_t size = series.m_sorted_latencies.size();
    const std::size_t slower_count =
        static_cast<std::size_t>(std::floor(share * static_cast<double>(size)));
    if (slower_count == 0) {
      break;
    }
    const double millis = std::chrono::duration<double, std::milli>(
                              series.m_sorted_latencies[size - slower_count])
                              .count();
    char point[48];
    std::snprintf(point, sizeof(point), "%.1f,%.1f ", XOfShare(share),
                  YOfMillis(millis));
    points += point;
  }
  return "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" +
         std::string(colour) + "\" points=\"" + points + "\"/>\n";
}

}  // namespace

std::string PlotLatencyTail(const std::string& title,
                            const std::vector<PlotSeries>& all_series) {
  char header[200];
  std::snprintf(header, sizeof(header),
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
                "height=\"%.0f\" font-family=\"sans-serif\">\n"
                "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
                kWidth, kHeight);
  std::string svg = header + TextElement(kLeft, 24, title) + GridElements();
  for (std::size_t i = 0; i < all_series.size(); ++i) {
    const char* colour = kColours[i % kColours.size()];
    svg += CurveElement(all_series[i], colour);
    const double y = kTop + 16 * static_cast<double>(i + 1);
    char legend_swatch[128];
    std::snprintf(legend_swatch, sizeof(legend_swatch),
                  "<rect x=\"%.1f\" y=\"%.1f\" width=\"12\" height=\"4\" "
                  "fill=\"%s\"/>\n",
                  kLeft + kPlotWidth + 14, y - 6, colour);
    svg += legend_swatch +
           TextElement(kLeft + kPlotWidth + 32, y, all_series[i].m_name);
  }
  return svg + "</svg>\n";
}

}  // namespace hyssopspar::load
