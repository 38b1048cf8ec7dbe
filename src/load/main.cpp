// hyssopspar-load: drives gates and schedulers, and reports what callers saw.

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
  std::optional<int> done = ParseProgramOptions(
      argc, argv, "hyssopspar-load", "load and experiment tool", &options);
  if (done) {
    return *done;
  }
  load::LoadConfig config;
  done = LoadSettings(options, [&config](SettingsReader* reader) {
    config = load::ReadLoadConfig(reader);
  });
  if (done) {
    return *done;
  }
  std::vector<load::JobRecord> jobs;
  std::thread batch([&config, &jobs] { jobs = load::RunBatch(config); });
  const std::vector<load::CallRecord> calls = load::RunTraffic(config);
  batch.join();
  const std::vector<load::TrafficFigures> traffic =
      load::SumTraffic(config, calls);
  const load::BatchFigures figures = load::SumBatch(jobs);
  std::cout << load::RenderText(config, calls, traffic, figures);
  if (!config.m_report.empty()) {
    const Result<void> written =
        load::WriteReport(config, calls, traffic, figures);
    if (!written) {
      std::cerr << ToString(written.error()) << "\n";
      return kExitFailure;
    }
  }
  return kExitOk;
}
