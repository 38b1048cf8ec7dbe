/// \file
/// What all programs share: the command line, settings files and signals.

#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "hyssopspar/settings_reader.h"

namespace hyssopspar {

/// Exit codes of the programs.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

/// Options of a long-running program.
struct ProgramOptions {
  std::string m_config;
  bool m_check_config = false;
  std::string m_port_file;  ///< Gets the HTTP port once it is known.
};

/// Parses the command line of a long-running program. Returns an exit code when
/// the program has nothing left to do: after --help, --version, or a mistake.
std::optional<int> ParseProgramOptions(int argc,
                                       char** argv,
                                       const std::string& name,
                                       const std::string& purpose,
                                       ProgramOptions* options);

/// Loads the settings file, hands it to \p read and prints every problem.
/// Returns an exit code when the program must not go on.
std::optional<int> LoadSettings(
    const ProgramOptions& options,
    const std::function<void(SettingsReader*)>& read);

/// Blocks SIGTERM, SIGINT, SIGHUP and SIGPIPE in this thread and those it
/// starts. Call it first in `main`.
void BlockSignals();

/// Waits for SIGTERM or SIGINT. Runs \p on_hangup at each SIGHUP.
void WaitForStop();
void WaitForStop(const std::function<void()>& on_hangup);

/// Writes \p text to \p path by renaming a temporary file, so that a reader
/// sees all of it or nothing.
Result<void> WriteFileWhole(const std::string& path, const std::string& text);

/// The whole file.
Result<std::string> ReadFileWhole(const std::string& path);

}  // namespace hyssopspar
