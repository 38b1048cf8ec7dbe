// hyssopspar-node: accepts callers' jobs and schedules them on the workers of
// the platform.

#include "hyssopspar/logging.h"
#include "hyssopspar/program.h"
#include "node/node_process.h"
#include "node/node_settings.h"
#include "platform/adapter.h"

namespace {

using namespace hyssopspar;

/// Reloads the settings file on SIGHUP. Applies the log level; other settings
/// take effect at the next start of the process.
void ReloadSettings(const ProgramOptions& options) {
  node::NodeSettings settings;
  ProgramOptions reload_options = options;
  reload_options.m_check_config = false;
  const std::optional<int> load_failure =
      LoadSettings(reload_options, [&settings](SettingsReader* reader) {
        settings = node::ReadNodeSettings(reader);
      });
  if (load_failure) {
    Log("node")->error("reload-refused file={}", options.m_config_path);
    return;
  }
  SetLogLevel(settings.m_log_level);
  Log("node")->info("reloaded file={} log_level={}", options.m_config_path,
                    settings.m_log_level);
}

}  // namespace

int main(int argc, char** argv) {
  BlockSignals();
  ProgramOptions options;
  std::optional<int> exit_code =
      ParseProgramOptions(argc, argv, "hyssopspar-node",
                          "serves callers and schedules jobs", &options);
  if (exit_code) {
    return *exit_code;
  }
  node::NodeSettings settings;
  exit_code = LoadSettings(options, [&settings](SettingsReader* reader) {
    settings = node::ReadNodeSettings(reader);
  });
  if (exit_code) {
    return *exit_code;
  }
  EnableAsyncStdoutLogging();
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
  WaitForStopSignal([&options] { ReloadSettings(options); });
  process.ShutDown();
  return kExitOk;
}
