// hyssopspar-sched: owns cells of workers and runs batch tasks on them.

#include "hyssopspar/logging.h"
#include "hyssopspar/program.h"
#include "sched/sched_config.h"
#include "sched/sched_process.h"

int main(int argc, char** argv) {
  using namespace hyssopspar;
  BlockSignals();
  ProgramOptions options;
  std::optional<int> done =
      ParseProgramOptions(argc, argv, "hyssopspar-sched",
                          "places and finishes batch tasks", &options);
  if (done) {
    return *done;
  }
  sched::SchedConfig config;
  done = LoadSettings(options, [&config](SettingsReader* reader) {
    config = sched::ReadSchedConfig(reader);
  });
  if (done) {
    return *done;
  }
  SetLogLevel(config.m_log_level);
  sched::SchedProcess process(config);
  const Result<void> started = process.Start();
  if (!started) {
    Log("sched")->error("start failed {}", ToString(started.error()));
    return kExitFailure;
  }
  if (!options.m_port_file.empty()) {
    const Result<void> written =
        WriteFileWhole(options.m_port_file, std::to_string(process.Port()));
    if (!written) {
      Log("sched")->error("{}", ToString(written.error()));
      return kExitFailure;
    }
  }
  Log("sched")->info("serving name={} port={}", config.m_sched.m_name,
                     process.Port());
  WaitForStop();
  process.LeaveAndStop();
  return kExitOk;
}
