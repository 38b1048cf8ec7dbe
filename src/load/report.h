/// \file
/// Statistics of a load run, as text, CSV, SVG and JSON lines.

#pragma once

#include <string>
#include <vector>

#include "load/batch_runner.h"
#include "load/call_record.h"
#include "load/load_config.h"

namespace hyssopspar::load {

/// Outcome counts and latencies of one tenant and class.
struct TrafficStats {
  std::string m_tenant;
  std::string m_class;
  std::size_t m_sent = 0;
  std::size_t m_answered = 0;
  std::size_t m_not_run = 0;
  std::size_t m_unknown = 0;
  std::size_t m_in_progress = 0;
  std::size_t m_no_answer = 0;        ///< Without an outcome from the gate.
  std::size_t m_invalid_answers = 0;  ///< Incomplete, or of another request.
  Duration m_p50{0};
  Duration m_p99{0};
  Duration m_p999{0};
  /// Latencies of answered requests, ascending.
  std::vector<Duration> m_sorted_latencies;
};

/// Totals over all submitted jobs.
struct BatchStats {
  std::size_t m_job_count = 0;
  std::size_t m_accepted_jobs = 0;
  std::size_t m_ended_jobs = 0;
  std::uint64_t m_task_count = 0;
  std::uint64_t m_finished_tasks = 0;
  std::uint64_t m_attempt_count = 0;
  /// Finished tasks over the time from the first submission to the last end.
  double m_tasks_per_second = 0;
};

/// Aggregates \p calls by tenant and class.
std::vector<TrafficStats> SummarizeTraffic(
    const LoadConfig& config,
    const std::vector<CallRecord>& calls);

BatchStats SummarizeBatch(const std::vector<JobOutcome>& jobs);

/// Renders the statistics as a human-readable table.
std::string RenderText(const LoadConfig& config,
                       const std::vector<CallRecord>& calls,
                       const std::vector<TrafficStats>& traffic,
                       const BatchStats& batch);

/// Writes figures.csv, latency.svg and history.jsonl into the report directory.
Result<void> WriteReport(const LoadConfig& config,
                         const std::vector<CallRecord>& calls,
                         const std::vector<TrafficStats>& traffic,
                         const BatchStats& batch);

}  // namespace hyssopspar::load
