/// \file
/// Counters, gauges and latency histograms, printed in the Prometheus text
/// exposition format.

#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "hyssopspar/time.h"

namespace hyssopspar {

namespace pvt {
struct HistogramBins;
}  // namespace pvt

/// Histogram of latencies with logarithmic bins from 50 microseconds to 100
/// seconds. Safe to use from several threads.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;

  void Add(Duration latency);

  /// Number of samples.
  std::uint64_t Count() const;

  /// Latency below which the fraction \p q (0 to 1) of the samples lies,
  /// interpolated within its bin; zero when there are no samples.
  Duration Quantile(double q) const;

  /// Exposition lines `NAME_bucket{LABELS,le="..."}`, `_sum` and `_count`.
  /// \p labels is `key="value",...` without braces.
  std::string Render(const std::string& name, const std::string& labels) const;

 private:
  mutable std::mutex m_mutex;
  std::unique_ptr<pvt::HistogramBins> m_bins;
  double m_sum_seconds = 0;
};

/// All metrics of a process. Safe to use from several threads. Returned
/// references are valid for the lifetime of the object.
class Metrics {
 public:
  /// The counter or gauge `NAME{LABELS}`, created with value 0 on first use.
  /// \p labels is `key="value",...` or empty.
  std::atomic<std::int64_t>& Value(const std::string& name,
                                   const std::string& labels = "");

  /// The histogram `NAME{LABELS}`, created on first use.
  LatencyHistogram& Histogram(const std::string& name,
                              const std::string& labels = "");

  /// All metrics in the text exposition format.
  std::string Render() const;

 private:
  mutable std::mutex m_mutex;
  std::map<std::string, std::atomic<std::int64_t>> m_values;
  std::map<std::pair<std::string, std::string>, LatencyHistogram> m_histograms;
};

/// Formats `key="value"`. Quotes and backslashes in \p value are escaped, line
/// ends are replaced by blanks.
std::string FormatMetricLabel(const std::string& key, const std::string& value);

}  // namespace hyssopspar
