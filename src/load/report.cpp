#include "load/report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "hyssopspar/program.h"
#include "load/plot.h"

namespace hyssopspar::load {

namespace {

Duration Quantile(const std::vector<Duration>& sorted, double q) {
  if (sorted.empty()) {
    return Duration::zero();
  }
  const std::size_t at =
      static_cast<std::size_t>(q * static_cast<double>(sorted.size()));
  return sorted[std::min(at, sorted.size() - 1)];
}

double Millis(Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

void Count(const CallRecord& call, TrafficFigures* figures) {
  ++figures->m_sent;
  figures->m_wrong += call.m_whole ? 0 : 1;
  if (call.m_outcome == "answered") {
    ++figures->m_answered;
    figures->m_sorted.push_back(call.m_done - call.m_intended);
  } else if (call.m_outcome == "not-run") {
    ++figures->m_not_run;
  } else if (call.m_outcome == "unknown") {
    ++figures->m_unknown;
  } else if (call.m_outcome == "in-progress") {
    ++figures->m_in_progress;
  } else {
    ++figures->m_none;
  }
}

std::string Line(const char* format, const TrafficFigures& f) {
  char text[256];
  std::snprintf(text, sizeof(text), format, f.m_tenant.c_str(),
                f.m_class.c_str(), f.m_sent, f.m_answered, f.m_not_run,
                f.m_unknown, f.m_in_progress, f.m_none, f.m_wrong,
                Millis(f.m_p50), Millis(f.m_p99), Millis(f.m_p999));
  return text;
}

/// Upper bounds of the printed histogram, in milliseconds.
constexpr std::array<int, 11> kBounds = {1,   2,   5,   10,   20,   50,
                                         100, 200, 500, 1000, 10000};

/// One line of the histogram: how many answers took at most each bound, and
/// longer than the one before.
std::string RenderHistogram(const TrafficFigures& figures) {
  std::string line = figures.m_tenant + " " + figures.m_class + ":";
  std::vector<Duration>::const_iterator from = figures.m_sorted.begin();
  for (const int bound : kBounds) {
    const std::vector<Duration>::const_iterator to = std::upper_bound(
        from, figures.m_sorted.end(), Duration(milliseconds(bound)));
    line += " " + std::to_string(bound) + "ms=" + std::to_string(to - from);
    from = to;
  }
  return line + "\n";
}

std::string History(const std::vector<CallRecord>& calls) {
  std::string text;
  for (const CallRecord& call : calls) {
    text +=
        nlohmann::json{{"id", call.m_id},
                       {"traffic", call.m_traffic},
                       {"gate", call.m_gate},
                       {"key", call.m_key},
                       {"latency_us", ToMicros(call.m_done - call.m_intended)},
                       {"status", call.m_status},
                       {"outcome", call.m_outcome},
                       {"whole", call.m_whole}}
            .dump() +
        "\n";
  }
  return text;
}

}  // namespace

std::vector<TrafficFigures> SumTraffic(const LoadConfig& config,
                                       const std::vector<CallRecord>& calls) {
  std::map<std::pair<std::string, std::string>, TrafficFigures> sums;
  for (const CallRecord& call : calls) {
    const TrafficConfig& traffic = config.m_traffic[call.m_traffic];
    TrafficFigures& figures =
        sums[std::make_pair(traffic.m_tenant, traffic.m_class)];
    figures.m_tenant = traffic.m_tenant;
    figures.m_class = traffic.m_class;
    Count(call, &figures);
  }
  std::vector<TrafficFigures> result;
  for (auto it = sums.begin(); it != sums.end(); ++it) {
    TrafficFigures& figures = it->second;
    std::sort(figures.m_sorted.begin(), figures.m_sorted.end());
    figures.m_p50 = Quantile(figures.m_sorted, 0.5);
    figures.m_p99 = Quantile(figures.m_sorted, 0.99);
    figures.m_p999 = Quantile(figures.m_sorted, 0.999);
    result.push_back(std::move(figures));
  }
  return result;
}

BatchFigures SumBatch(const std::vector<JobRecord>& jobs) {
  BatchFigures figures;
  TimePoint first = TimePoint::max();
  TimePoint last = TimePoint::min();
  for (const JobRecord& job : jobs) {
    ++figures.m_jobs;
    figures.m_accepted += job.m_id.empty() ? 0 : 1;
    figures.m_ended += job.m_ended == TimePoint() ? 0 : 1;
    figures.m_tasks += job.m_tasks;
    figures.m_finished += job.m_finished;
    figures.m_attempts += job.m_attempts;
    first = std::min(first, job.m_submitted);
    last = std::max(last, job.m_ended);
  }
  if (figures.m_finished > 0 && last > first) {
    figures.m_tasks_per_second =
        static_cast<double>(figures.m_finished) /
        std::chrono::duration<double>(last - first).count();
  }
  return figures;
}

std::string RenderText(const LoadConfig& config,
                       const std::vector<CallRecord>& calls,
                       const std::vector<TrafficFigures>& traffic,
                       const BatchFigures& batch) {
  std::ostringstream out;
  out << "scenario " << config.m_name << " seed " << config.m_seed << "\n";
  if (!traffic.empty()) {
    out << "tenant         class            sent answered not-run unknown "
           "in-progr  none wrong   p50 ms   p99 ms p99.9 ms\n";
  }
  for (const TrafficFigures& figures : traffic) {
    out << Line(
        "%-14s %-14s %6zu %8zu %7zu %7zu %8zu %5zu %5zu %8.2f %8.2f %8.2f\n",
        figures);
  }
  for (const TrafficFigures& figures : traffic) {
    out << "histogram " << RenderHistogram(figures);
  }
  std::map<std::string, std::size_t> by_gate;
  for (const CallRecord& call : calls) {
    by_gate[call.m_gate] += call.m_outcome == "answered" ? 1 : 0;
  }
  for (const std::pair<const std::string, std::size_t>& gate : by_gate) {
    out << "gate " << gate.first << " answered " << gate.second << "\n";
  }
  if (batch.m_jobs > 0) {
    char text[256];
    std::snprintf(text, sizeof(text),
                  "batch: %zu jobs, %zu accepted, %zu ended; %llu of %llu "
                  "tasks finished in %llu attempts, %.1f tasks/s\n",
                  batch.m_jobs, batch.m_accepted, batch.m_ended,
                  static_cast<unsigned long long>(batch.m_finished),
                  static_cast<unsigned long long>(batch.m_tasks),
                  static_cast<unsigned long long>(batch.m_attempts),
                  batch.m_tasks_per_second);
    out << text;
  }
  return out.str();
}

Result<void> WriteReport(const LoadConfig& config,
                         const std::vector<CallRecord>& calls,
                         const std::vector<TrafficFigures>& traffic,
                         const BatchFigures& batch) {
  std::error_code ec;
  std::filesystem::create_directories(config.m_report, ec);
  std::string csv =
      "tenant,class,sent,answered,not_run,unknown,in_progress,none,wrong,"
      "p50_ms,p99_ms,p999_ms\n";
  for (const TrafficFigures& figures : traffic) {
    csv += Line("%s,%s,%zu,%zu,%zu,%zu,%zu,%zu,%zu,%.3f,%.3f,%.3f\n", figures);
  }
  csv +=
      "batch_jobs,batch_ended,batch_tasks,batch_finished,batch_attempts,"
      "batch_tasks_per_s\n" +
      std::to_string(batch.m_jobs) + "," + std::to_string(batch.m_ended) + "," +
      std::to_string(batch.m_tasks) + "," + std::to_string(batch.m_finished) +
      "," + std::to_string(batch.m_attempts) + "," +
      std::to_string(batch.m_tasks_per_second) + "\n";
  std::vector<PlotLine> lines;
  lines.reserve(traffic.size());
  for (const TrafficFigures& figures : traffic) {
    lines.push_back(
        PlotLine{figures.m_tenant + " " + figures.m_class, figures.m_sorted});
  }
  const std::string base = config.m_report + "/";
  BOOST_OUTCOME_TRYV(WriteFileWhole(base + "figures.csv", csv));
  BOOST_OUTCOME_TRYV(
      WriteFileWhole(base + "latency.svg", PlotTail(config.m_name, lines)));
  BOOST_OUTCOME_TRYV(WriteFileWhole(base + "history.jsonl", History(calls)));
  return Ok();
}

}  // namespace hyssopspar::load
