// hyssopspar-sched: scheduler process. Claims cells of workers and runs the
// batch tasks of these cells.

#include "hyssopspar/logging.h"
#include "hyssopspar/program.h"
#include "sched/sched_config.h"
#include "sched/sched_process.h"

int main(int argc, char** argv) {
  using namespace hyssopspar;
  BlockSignals();
  ProgramOptions options;
  std::optional<int> exit_code =
      ParseProgramOptions(argc, argv, "hyssopspar-sched",
                          "places and finishes batch tasks", &options);
  if (exit_code) {
    return *exit_code;
  }
  sched::SchedConfig config;
  exit_code = LoadSettings(options, [&config](SettingsReader* reader) {
    config = sched::ReadSchedConfig(reader);
  });
  if (exit_code) {
    return *exit_code;
  }
  SetLogLevel(config.m_log_level);
  sched::SchedProcess process(config);
  const Result<void> started = process.Start();
  if (!started) {
    Log("sched")->error("start failed {}", ToString(started.error()));
    return kExitFailure;
  }
  if (!options.m_port_file.empty()) {
    const Result<void> written = WriteFileAtomically(
        options.m_port_file, std::to_string(process.Port()));
    if (!written) {
      Log("sched")->error("port file not written {}",
                          ToString(written.error()));
      return kExitFailure;
    }
  }
  Log("sched")->info("serving name={} port={}", config.m_sched.m_name,
                     process.Port());
  WaitForStopSignal();
  process.ShutDown();
  return kExitOk;
}
