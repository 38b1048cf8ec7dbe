// hyssopspar-node: serves callers and schedules jobs on the users' platform.

#include "hyssopspar/logging.h"
#include "hyssopspar/program.h"
#include "node/node_process.h"
#include "node/node_settings.h"
#include "platform/adapter.h"

namespace {

using namespace hyssopspar;

/// Reads the settings file again. The log level takes effect at once, what
/// names addresses at the next start.
void ReportReload(const ProgramOptions& options) {
  node::NodeSettings settings;
  ProgramOptions quiet = options;
  quiet.m_check_config = false;
  const std::optional<int> refused =
      LoadSettings(quiet, [&settings](SettingsReader* reader) {
        settings = node::ReadNodeSettings(reader);
      });
  if (refused) {
    Log("node")->error("reload-refused file={}", options.m_config);
    return;
  }
  SetLogLevel(settings.m_log_level);
  Log("node")->info("reloaded file={} log_level={}", options.m_config,
                    settings.m_log_level);
}

}  // namespace

int main(int argc, char** argv) {
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
      settings, std::make_unique<platform::Adapter>(
                    settings.m_store_address, settings.m_adviser_address));
  const Result<void> started = process.Start();
  if (!started) {
    Log("node")->error("start-failed error={}", ToString(started.error()));
    return kExitFailure;
  }
  Log("node")->info("started name={} domain={} version={} front={}",
                    settings.m_name, settings.m_failure_domain,
                    HYSSOPSPAR_VERSION, settings.m_front_listen);
  WaitForStop([&options] { ReportReload(options); });
  process.LeaveAndStop();
  return kExitOk;
}
