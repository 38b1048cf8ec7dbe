/// \file
/// Figures of a run, as text, CSV and history.

#pragma once

#include <string>
#include <vector>

#include "load/batch_runner.h"
#include "load/call_record.h"
#include "load/load_config.h"

namespace hyssopspar::load {

/// Latencies and outcomes of one tenant and class.
struct TrafficFigures {
  std::string m_tenant;
  std::string m_class;
  std::size_t m_sent = 0;
  std::size_t m_answered = 0;
  std::size_t m_not_run = 0;
  std::size_t m_unknown = 0;
  std::size_t m_in_progress = 0;
  std::size_t m_none = 0;
  std::size_t m_wrong = 0;  ///< Answers that were not whole or not ours.
  Duration m_p50{0};
  Duration m_p99{0};
  Duration m_p999{0};
  std::vector<Duration> m_sorted;  ///< Latencies of answered requests.
};

struct BatchFigures {
  std::size_t m_jobs = 0;
  std::size_t m_accepted = 0;
  std::size_t m_ended = 0;
  std::uint64_t m_tasks = 0;
  std::uint64_t m_finished = 0;
  std::uint64_t m_attempts = 0;
  double m_tasks_per_second = 0;
};

std::vector<TrafficFigures> SumTraffic(const LoadConfig& config,
                                       const std::vector<CallRecord>& calls);

BatchFigures SumBatch(const std::vector<JobRecord>& jobs);

/// A table for people.
std::string RenderText(const LoadConfig& config,
                       const std::vector<CallRecord>& calls,
                       const std::vector<TrafficFigures>& traffic,
                       const BatchFigures& batch);

/// Writes figures.csv, latency.svg and history.jsonl into the report directory.
Result<void> WriteReport(const LoadConfig& config,
                         const std::vector<CallRecord>& calls,
                         const std::vector<TrafficFigures>& traffic,
                         const BatchFigures& batch);

}  // namespace hyssopspar::load
