/// \file
/// Functions for the `main` of a program: command line, settings file, signals,
/// and reading and writing of files.

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
  std::string m_config_path;    ///< Path of the settings file.
  bool m_check_config = false;  ///< Check the settings file and exit.
  std::string m_port_file;  ///< File to write the HTTP port to; empty: none.
};

/// Parses the command line of a long-running program into \p options. Returns
/// the exit code when the program has to exit: after --help, --version, or a
/// usage error, which is printed to standard error.
std::optional<int> ParseProgramOptions(int argc,
                                       char** argv,
                                       const std::string& name,
                                       const std::string& purpose,
                                       ProgramOptions* options);

/// Loads the settings file, passes it to \p read and prints every problem to
/// standard error. Returns the exit code when the program has to exit: after a
/// problem, or when only a check of the settings was requested.
std::optional<int> LoadSettings(
    const ProgramOptions& options,
    const std::function<void(SettingsReader*)>& read);

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and those that it starts,
/// and ignores SIGPIPE in the process. Call it first in `main`.
void BlockSignals();

/// Waits for SIGTERM or SIGINT. Runs \p on_hangup on each SIGHUP; without it,
/// SIGHUP has no effect.
void WaitForStopSignal();
void WaitForStopSignal(const std::function<void()>& on_hangup);

/// Writes \p text to a temporary file, which then replaces \p path, so that a
/// reader never sees a part of it. Fails with kUnavailable when the file can't
/// be written.
Result<void> WriteFileAtomically(const std::string& path,
                                 const std::string& text);

/// Contents of the file at \p path. Fails with kNotFound when it can't be read.
Result<std::string> ReadWholeFile(const std::string& path);

}  // namespace hyssopspar
