// hyssopspar-standin: simulates the platform (log, VM list, workers, endpoints)
// for tests. It is never part of a deployment.

#include <iostream>

#include "hyssopspar/logging.h"
#include "hyssopspar/program.h"
#include "standin/platform_service.h"

int main(int argc, char** argv) {
  using namespace hyssopspar;
  BlockSignals();
  ProgramOptions options;
  std::optional<int> exit_code =
      ParseProgramOptions(argc, argv, "hyssopspar-standin",
                          "plays the platform in tests", &options);
  if (exit_code) {
    return *exit_code;
  }
  standin::StandinSettings settings;
  exit_code = LoadSettings(options, [&settings](SettingsReader* reader) {
    settings = standin::ReadStandinSettings(reader);
  });
  if (exit_code) {
    return *exit_code;
  }
  SetLogLevel(settings.m_log_level);
  standin::PlatformService service(settings);
  const Result<void> started = service.Start();
  if (!started) {
    Log("standin")->error("start-failed error=\"{}\"",
                          ToString(started.error()));
    return kExitFailure;
  }
  Log("standin")->info("serving port={}", service.Port());
  if (!options.m_port_file.empty()) {
    const Result<void> written = WriteFileAtomically(
        options.m_port_file, std::to_string(service.Port()));
    if (!written) {
      Log("standin")->error("port-file-write-failed error=\"{}\"",
                            ToString(written.error()));
      return kExitFailure;
    }
  }
  WaitForStopSignal();
  service.Stop();
  return kExitOk;
}
