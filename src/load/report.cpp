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

double ToFractionalMillis(Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

void CountCall(const CallRecord& call, TrafficStats* stats) {
  ++stats->m_sent;
  stats->m_invalid_answers += call.m_answer_valid ? 0 : 1;
  if (call.m_outcome == "answered") {
    ++stats->m_answered;
    stats->m_sorted_latencies.push_back(call.m_completion_time -
                                        call.m_scheduled_time);
  } else if (call.m_outcome == "not-run") {
    ++stats->m_not_run;
  } else if (call.m_outcome == "unknown") {
    ++stats->m_unknown;
  } else if (call.m_outcome == "in-progress") {
    ++stats->m_in_progress;
  } else {
    ++stats->m_no_answer;
  }
}

/// Formats \p stats with \p format, which must have the conversions for these
/// arguments in this order.
std::string FormatRow(const char* format, const TrafficStats& stats) {
  char text[256];
  std::snprintf(
      text, sizeof(text), format, stats.m_tenant.c_str(), stats.m_class.c_str(),
      stats.m_sent, stats.m_answered, stats.m_not_run, stats.m_unknown,
      stats.m_in_progress, stats.m_no_answer, stats.m_invalid_answers,
      ToFractionalMillis(stats.m_p50), ToFractionalMillis(stats.m_p99),
      ToFractionalMillis(stats.m_p999));
  return text;
}

/// Upper bounds of the histogram's buckets, in milliseconds.
constexpr std::array<int, 11> kHistogramBoundsMs = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 10000};

/// Renders the histogram of one tenant and class: the number of answers in each
/// bucket, from above the previous bound up to and including its own. Longer
/// latencies are left out.
std::string RenderHistogram(const TrafficStats& stats) {
  std::string line = stats.m_tenant + " " + stats.m_class + ":";
  std::vector<Duration>::const_iterator from = stats.m_sorted_latencies.begin();
  for (const int bound : kHistogramBoundsMs) {
    const std::vector<Duration>::const_iterator to = std::upper_bound(
        from, stats.m_sorted_latencies.end(), Duration(milliseconds(bound)));
    line += " " + std::to_string(bound) + "ms=" + std::to_string(to - from);
    from = to;
  }
  return line + "\n";
}

/// One JSON object a line for each call.
std::string RenderHistory(const std::vector<CallRecord>& calls) {
  std::string text;
  for (const CallRecord& call : calls) {
    text += nlohmann::json{{"id", call.m_id},
                           {"traffic", call.m_traffic_index},
                           {"gate", call.m_gate_address},
                           {"key", call.m_key},
                           {"latency_us", ToMicros(call.m_completion_time -
                                                   call.m_scheduled_time)},
                           {"status", call.m_status},
                           {"outcome", call.m_outcome},
                           {"whole", call.m_answer_valid}}
                .dump() +
            "\n";
  }
  return text;
}

}  // namespace

std::vector<TrafficStats> SummarizeTraffic(
    const LoadConfig& config,
    const std::vector<CallRecord>& calls) {
  std::map<std::pair<std::string, std::string>, TrafficStats> sums;
  for (const CallRecord& call : calls) {
    const TrafficConfig& traffic = config.m_traffic[call.m_traffic_index];
    TrafficStats& stats =
        sums[std::make_pair(traffic.m_tenant, traffic.m_class)];
    stats.m_tenant = traffic.m_tenant;
    stats.m_class = traffic.m_class;
    CountCall(call, &stats);
  }
  std::vector<TrafficStats> result;
  for (auto it = sums.begin(); it != sums.end(); ++it) {
    TrafficStats& stats = it->second;
    std::sort(stats.m_sorted_latencies.begin(), stats.m_sorted_latencies.end());
    stats.m_p50 = Quantile(stats.m_sorted_latencies, 0.5);
    stats.m_p99 = Quantile(stats.m_sorted_latencies, 0.99);
    stats.m_p999 = Quantile(stats.m_sorted_latencies, 0.999);
    result.push_back(std::move(stats));
  }
  return result;
}

BatchStats SummarizeBatch(const std::vector<JobOutcome>& jobs) {
  BatchStats stats;
  TimePoint first_submission = TimePoint::max();
  TimePoint last_end = TimePoint::min();
  for (const JobOutcome& job : jobs) {
    ++stats.m_job_count;
    stats.m_accepted_jobs += job.m_id.empty() ? 0 : 1;
    stats.m_ended_jobs += job.m_end_time == TimePoint() ? 0 : 1;
    stats.m_task_count += job.m_task_count;
    stats.m_finished_tasks += job.m_finished_tasks;
    stats.m_attempt_count += job.m_attempt_count;
    first_submission = std::min(first_submission, job.m_submit_time);
    last_end = std::max(last_end, job.m_end_time);
  }
  if (stats.m_finished_tasks > 0 && last_end > first_submission) {
    stats.m_tasks_per_second =
        static_cast<double>(stats.m_finished_tasks) /
        std::chrono::duration<double>(last_end - first_submission).count();
  }
  return stats;
}

std::string RenderText(const LoadConfig& config,
                       const std::vector<CallRecord>& calls,
                       const std::vector<TrafficStats>& traffic,
                       const BatchStats& batch) {
  std::ostringstream out;
  out << "scenario " << config.m_name << " seed " << config.m_seed << "\n";
  if (!traffic.empty()) {
    out << "tenant         class            sent answered not-run unknown "
           "in-progr  none wrong   p50 ms   p99 ms p99.9 ms\n";
  }
  for (const TrafficStats& stats : traffic) {
    out << FormatRow(
        "%-14s %-14s %6zu %8zu %7zu %7zu %8zu %5zu %5zu %8.2f %8.2f %8.2f\n",
        stats);
  }
  for (const TrafficStats& stats : traffic) {
    out << "histogram " << RenderHistogram(stats);
  }
  std::map<std::string, std::size_t> by_gate;
  for (const CallRecord& call : calls) {
    by_gate[call.m_gate_address] += call.m_outcome == "answered" ? 1 : 0;
  }
  for (const std::pair<const std::string, std::size_t>& gate : by_gate) {
    out << "gate " << gate.first << " answered " << gate.second << "\n";
  }
  if (batch.m_job_count > 0) {
    char text[256];
    std::snprintf(text, sizeof(text),
                  "batch: %zu jobs, %zu accepted, %zu ended; %llu of %llu "
                  "tasks finished in %llu attempts, %.1f tasks/s\n",
                  batch.m_job_count, batch.m_accepted_jobs, batch.m_ended_jobs,
                  static_cast<unsigned long long>(batch.m_finished_tasks),
                  static_cast<unsigned long long>(batch.m_task_count),
                  static_cast<unsigned long long>(batch.m_attempt_count),
                  batch.m_tasks_per_second);
    out << text;
  }
  return out.str();
}

Result<void> WriteReport(const LoadConfig& config,
                         const std::vector<CallRecord>& calls,
                         const std::vector<TrafficStats>& traffic,
                         const BatchStats& batch) {
  std::error_code ec;
  std::filesystem::create_directories(config.m_report_directory, ec);
  std::string csv =
      "tenant,class,sent,answered,not_run,unknown,in_progress,none,wrong,"
      "p50_ms,p99_ms,p999_ms\n";
  for (const TrafficStats& stats : traffic) {
    csv +=
        FormatRow("%s,%s,%zu,%zu,%zu,%zu,%zu,%zu,%zu,%.3f,%.3f,%.3f\n", stats);
  }
  csv +=
      "batch_jobs,batch_ended,batch_tasks,batch_finished,batch_attempts,"
      "batch_tasks_per_s\n" +
      std::to_string(batch.m_job_count) + "," +
      std::to_string(batch.m_ended_jobs) + "," +
      std::to_string(batch.m_task_count) + "," +
      std::to_string(batch.m_finished_tasks) + "," +
      std::to_string(batch.m_attempt_count) + "," +
      std::to_string(batch.m_tasks_per_second) + "\n";
  std::vector<PlotSeries> all_series;
  all_series.reserve(traffic.size());
  for (const TrafficStats& stats : traffic) {
    all_series.push_back(PlotSeries{stats.m_tenant + " " + stats.m_class,
                                    stats.m_sorted_latencies});
  }
  const std::string base = config.m_report_directory + "/";
  BOOST_OUTCOME_TRYV(WriteFileAtomically(base + "figures.csv", csv));
  BOOST_OUTCOME_TRYV(WriteFileAtomically(
      base + "latency.svg", PlotLatencyTail(config.m_name, all_series)));
  BOOST_OUTCOME_TRYV(
      WriteFileAtomically(base + "history.jsonl", RenderHistory(calls)));
  return Ok();
}

}  // namespace hyssopspar::load
