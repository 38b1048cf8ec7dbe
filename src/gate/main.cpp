// hyssopspar-gate: accepts requests of callers and routes them to endpoints.

#include "gate/gate_config.h"
#include "gate/gate_process.h"
#include "hyssopspar/logging.h"
#include "hyssopspar/program.h"

int main(int argc, char** argv) {
  using namespace hyssopspar;
  BlockSignals();
  ProgramOptions options;
  std::optional<int> exit_code =
      ParseProgramOptions(argc, argv, "hyssopspar-gate",
                          "routes urgent requests to endpoints", &options);
  if (exit_code) {
    return *exit_code;
  }
  gate::GateConfig config;
  exit_code = LoadSettings(options, [&config](SettingsReader* reader) {
    config = gate::ReadGateConfig(reader);
  });
  if (exit_code) {
    return *exit_code;
  }
  SetLogLevel(config.m_log_level);
  gate::GateProcess process(config);
  const Result<void> started = process.Start();
  if (!started) {
    Log("gate")->error("start failed error=\"{}\"", ToString(started.error()));
    return kExitFailure;
  }
  if (!options.m_port_file.empty()) {
    const Result<void> written = WriteFileAtomically(
        options.m_port_file, std::to_string(process.Port()));
    if (!written) {
      Log("gate")->error("port file not written error=\"{}\"",
                         ToString(written.error()));
      return kExitFailure;
    }
  }
  Log("gate")->info("serving name={} port={}", config.m_gate.m_name,
                    process.Port());
  WaitForStopSignal();
  process.DrainAndStop();
  return kExitOk;
}
