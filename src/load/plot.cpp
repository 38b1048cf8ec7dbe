#include "load/plot.h"

#include <array>
#include <cmath>
#include <cstdio>

namespace hyssopspar::load {

namespace {

constexpr double kWidth = 720;
constexpr double kHeight = 420;
constexpr double kLeft = 70;
constexpr double kTop = 40;
constexpr double kPlotWidth = 460;
constexpr double kPlotHeight = 320;
constexpr double kLowMillis = 0.1;
constexpr double kDecades = 5;      ///< Of latency, up from kLowMillis.
constexpr double kTailDecades = 4;  ///< Of the share, down from 1.
constexpr int kSteps = 120;
constexpr std::array<const char*, 6> kColours = {
    "#1b6ca8", "#c1440e", "#3a7d44", "#7b4fa3", "#b58900", "#444444"};

double X(double share) {
  return kLeft + kPlotWidth * -std::log10(share) / kTailDecades;
}

double Y(double millis) {
  const double decades = std::log10(std::max(millis, kLowMillis) / kLowMillis);
  return kTop + kPlotHeight * (1 - std::min(decades / kDecades, 1.0));
}

std::string Text(double x, double y, const std::string& text) {
  char start[96];
  std::snprintf(start, sizeof(start),
                "<text x=\"%.1f\" y=\"%.1f\" font-size=\"12\">", x, y);
  std::string escaped;
  for (const char c : text) {
    escaped += c == '<' ? "&lt;" : c == '&' ? "&amp;" : std::string(1, c);
  }
  return start + escaped + "</text>\n";
}

std::string Grid() {
  std::string svg;
  char line[160];
  for (int i = 0; i <= static_cast<int>(kDecades); ++i) {
    const double millis = kLowMillis * std::pow(10, i);
    std::snprintf(line, sizeof(line),
                  "<path d=\"M%.1f %.1fh%.1f\" stroke=\"#ddd\"/>\n", kLeft,
                  Y(millis), kPlotWidth);
    char label[32];
    std::snprintf(label, sizeof(label), "%g ms", millis);
    svg += line + Text(10, Y(millis) + 4, label);
  }
  static const std::array<const char*, 5> kNames = {"all", "p90", "p99",
                                                    "p99.9", "p99.99"};
  for (int i = 0; i <= static_cast<int>(kTailDecades); ++i) {
    const double x = X(std::pow(10, -i));
    std::snprintf(line, sizeof(line),
                  "<path d=\"M%.1f %.1fv%.1f\" stroke=\"#ddd\"/>\n", x, kTop,
                  kPlotHeight);
    svg += line + Text(x - 12, kTop + kPlotHeight + 18, kNames[i]);
  }
  return svg;
}

std::string Curve(const PlotLine& line, const char* colour) {
  std::string points;
  for (int i = 0; i <= kSteps; ++i) {
    const double share = std::pow(10, -kTailDecades * i / kSteps);
    const std::size_t size = line.m_sorted.size();
    const std::size_t beyond =
        static_cast<std::size_t>(std::floor(share * static_cast<double>(size)));
    if (beyond == 0) {
      break;
    }
    const double millis =
        std::chrono::duration<double, std::milli>(line.m_sorted[size - beyond])
            .count();
    char point[48];
    std::snprintf(point, sizeof(point), "%.1f,%.1f ", X(share), Y(millis));
    points += point;
  }
  return "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" +
         std::string(colour) + "\" points=\"" + points + "\"/>\n";
}

}  // namespace

std::string PlotTail(const std::string& title,
                     const std::vector<PlotLine>& lines) {
  char head[200];
  std::snprintf(head, sizeof(head),
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
                "height=\"%.0f\" font-family=\"sans-serif\">\n"
                "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
                kWidth, kHeight);
  std::string svg = head + Text(kLeft, 24, title) + Grid();
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const char* colour = kColours[i % kColours.size()];
    svg += Curve(lines[i], colour);
    const double y = kTop + 16 * static_cast<double>(i + 1);
    char mark[128];
    std::snprintf(mark, sizeof(mark),
                  "<rect x=\"%.1f\" y=\"%.1f\" width=\"12\" height=\"4\" "
                  "fill=\"%s\"/>\n",
                  kLeft + kPlotWidth + 14, y - 6, colour);
    svg += mark + Text(kLeft + kPlotWidth + 32, y, lines[i].m_name);
  }
  return svg + "</svg>\n";
}

}  // namespace hyssopspar::load
