// hyssopspar-load: sends requests to gates and jobs to schedulers, and reports
// latencies and outcomes as callers see them.

#include <iostream>
#include <thread>

#include "hyssopspar/logging.h"
#include "hyssopspar/program.h"
#include "load/batch_runner.h"
#include "load/load_config.h"
#include "load/report.h"
#include "load/traffic_runner.h"

int main(int argc, char** argv) {
  using namespace hyssopspar;
  ProgramOptions options;
  std::optional<int> exit_code = ParseProgramOptions(
      argc, argv, "hyssopspar-load", "load and experiment tool", &options);
  if (exit_code) {
    return *exit_code;
  }
  load::LoadConfig config;
  exit_code = LoadSettings(options, [&config](SettingsReader* reader) {
    config = load::ReadLoadConfig(reader);
  });
  if (exit_code) {
    return *exit_code;
  }
  std::vector<load::JobOutcome> jobs;
  std::thread batch([&config, &jobs] { jobs = load::RunBatchJobs(config); });
  const std::vector<load::CallRecord> calls = load::RunTraffic(config);
  batch.join();
  const std::vector<load::TrafficStats> traffic =
      load::SummarizeTraffic(config, calls);
  const load::BatchStats batch_stats = load::SummarizeBatch(jobs);
  std::cout << load::RenderText(config, calls, traffic, batch_stats);
  if (!config.m_report_directory.empty()) {
    const Result<void> written =
        load::WriteReport(config, calls, traffic, batch_stats);
    if (!written) {
      std::cerr << ToString(written.error()) << "\n";
      return kExitFailure;
    }
  }
  return kExitOk;
}
