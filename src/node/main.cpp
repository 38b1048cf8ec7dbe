// hyssopspar-node: serves callers and schedules jobs on the users' platform.

#include "hyssopspar/logging.h"
#include "hyssopspar/program.h"
#include "node/node_process.h"
#include "node/node_settings.h"
#include "platform/adapter.h"

int main(int argc, char** argv) {
  using namespace hyssopspar;
  BlockSignals();
  ProgramOptions options;
  std::optional<int> done =
      ParseProgramOptions(argc, argv, "hyssopspar-node",
                          "serves callers and schedules jobs", &options);
  if (done) {
    return *done;
  }
  node::NodeSettings settings;
  done = LoadSettings(options, [&settings](SettingsReader* reader) {
    settings = node::ReadNodeSettings(reader);
  });
  if (done) {
    return *done;
  }
  UseBufferedStdout();
  SetLogLevel(settings.m_log_level);
  node::NodeProcess process(
      settings, std::make_unique<platform::Adapter>(settings.m_store_address));
  const Result<void> started = process.Start();
  if (!started) {
    Log("node")->error("start-failed error={}", ToString(started.error()));
    return kExitFailure;
  }
  Log("node")->info("started name={} domain={} version={} front={}",
                    settings.m_name, settings.m_failure_domain,
                    HYSSOPSPAR_VERSION, settings.m_front_listen);
  WaitForStop();
  process.LeaveAndStop();
  return kExitOk;
}
