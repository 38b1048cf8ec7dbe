#include "hyssopspar/metrics.h"

#include <boost/histogram.hpp>
#include <cstdio>
#include <tuple>

namespace hyssopspar {

namespace {

namespace bh = boost::histogram;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using BinCounts = bh::histogram<std::tuple<LogAxis>, bh::default_storage>;

/// Number of bins between kMinSeconds and kMaxSeconds.
constexpr unsigned kBins = 290;
constexpr double kMinSeconds = 50e-6;
constexpr double kMaxSeconds = 100.0;
/// The exposition prints one bucket for this many bins.
constexpr int kBinsPerBucket = 10;

std::string FormatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.9g", value);
  return text;
}

}  // namespace

namespace pvt {

struct HistogramBins {
  BinCounts m_bin_counts{
      std::make_tuple(LogAxis(kBins, kMinSeconds, kMaxSeconds))};
};

}  // namespace pvt

LatencyHistogram::LatencyHistogram()
    : m_bins(std::make_unique<pvt::HistogramBins>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Add(Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  std::lock_guard<std::mutex> lock(m_mutex);
  m_bins->m_bin_counts(seconds);
  m_sum_seconds += seconds;
}

std::uint64_t LatencyHistogram::Count() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return static_cast<std::uint64_t>(
      bh::algorithm::sum(m_bins->m_bin_counts, bh::coverage::all));
}

Duration LatencyHistogram::Quantile(double q) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const BinCounts& counts = m_bins->m_bin_counts;
  const double total = bh::algorithm::sum(counts, bh::coverage::all);
  if (total <= 0) {
    return Duration::zero();
  }
  const LogAxis& axis = counts.axis();
  const double target = q * total;
  double below = 0;
  double seconds = kMaxSeconds;
  for (int bin = -1; bin <= axis.size(); ++bin) {
    const double count = counts.at(bin);
    if (count > 0 && below + count >= target) {
      const double share = (target - below) / count;
      const double low = bin < 0 ? 0 : axis.value(bin);
      const double high = bin < 0 ? kMinSeconds : axis.value(bin + 1);
      seconds = bin >= axis.size() ? kMaxSeconds : low + share * (high - low);
      break;
    }
    below += count;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

std::string LatencyHistogram::Render(const std::string& name,
                                     const std::string& labels) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const BinCounts& counts = m_bins->m_bin_counts;
  const LogAxis& axis = counts.axis();
  const std::string comma = labels.empty() ? "" : ",";
  std::string text;
  double cumulative_count = 0;
  for (int bin = -1; bin < axis.size(); ++bin) {
    cumulative_count += counts.at(bin);
    if ((bin + 1) % kBinsPerBucket == 0) {
      text.append(name).append("_bucket{").append(labels).append(comma);
      text.append("le=\"")
          .append(FormatNumber(axis.value(bin + 1)))
          .append("\"} ");
      text.append(FormatNumber(cumulative_count)).append("\n");
    }
  }
  cumulative_count += counts.at(axis.size());
  text += name + "_bucket{" + labels + comma + "le=\"+Inf\"} " +
          FormatNumber(cumulative_count) + "\n";
  text += name + "_sum{" + labels + "} " + FormatNumber(m_sum_seconds) + "\n";
  text +=
      name + "_count{" + labels + "} " + FormatNumber(cumulative_count) + "\n";
  return text;
}

std::atomic<std::int64_t>& Metrics::Value(const std::string& name,
                                          const std::string& labels) {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_values[labels.empty() ? name : name + "{" + labels + "}"];
}

LatencyHistogram& Metrics::Histogram(const std::string& name,
                                     const std::string& labels) {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_histograms[std::make_pair(name, labels)];
}

std::string Metrics::Render() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::string text;
  for (const std::pair<const std::string, std::atomic<std::int64_t>>& entry :
       m_values) {
    text += entry.first + " " + std::to_string(entry.second.load()) + "\n";
  }
  std::string last_typed_name;
  for (auto it = m_histograms.begin(); it != m_histograms.end(); ++it) {
    if (it->first.first != last_typed_name) {
      last_typed_name = it->first.first;
      text += "# TYPE " + last_typed_name + " histogram\n";
    }
    text += it->second.Render(it->first.first, it->first.second);
  }
  return text;
}

std::string FormatMetricLabel(const std::string& key,
                              const std::string& value) {
  std::string text = key + "=\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += c == '\n' ? ' ' : c;
  }
  return text + "\"";
}

}  // namespace hyssopspar
