#include "hyssopspar/program.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace hyssopspar {

namespace po = boost::program_options;

std::optional<int> ParseProgramOptions(int argc,
                                       char** argv,
                                       const std::string& name,
                                       const std::string& purpose,
                                       ProgramOptions* options) {
  po::options_description description("Options");
  description.add_options()("help,h", "print this text")("version",
                                                         "print the version")(
      "config,c", po::value<std::string>(&options->m_config_path),
      "settings file (TOML)")("check-config", "check the settings and stop")(
      "port-file", po::value<std::string>(&options->m_port_file),
      "write the HTTP port to this file once it is known");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& e) {
    std::cerr << name << ": " << e.what() << "\n";
    return kExitUsage;
  }
  if (values.count("help") > 0) {
    std::cout << name << ": " << purpose << "\n\nUsage: " << name
              << " --config FILE\n\n"
              << description;
    return kExitOk;
  }
  if (values.count("version") > 0) {
    std::cout << name << " " << HYSSOPSPAR_VERSION << "\n";
    return kExitOk;
  }
  options->m_check_config = values.count("check-config") > 0;
  if (options->m_config_path.empty()) {
    std::cerr << name << ": --config FILE is missing\n";
    return kExitUsage;
  }
  return std::nullopt;
}

std::optional<int> LoadSettings(
    const ProgramOptions& options,
    const std::function<void(SettingsReader*)>& read) {
  Result<SettingsReader> reader = SettingsReader::Load(options.m_config_path);
  if (!reader) {
    std::cerr << ToString(reader.error()) << "\n";
    return kExitUsage;
  }
  read(&reader.value());
  const std::vector<std::string> problems = reader.value().Problems();
  for (const std::string& problem : problems) {
    std::cerr << problem << "\n";
  }
  if (!problems.empty()) {
    return kExitUsage;
  }
  if (options.m_check_config) {
    std::cout << options.m_config_path << ": ok\n";
    return kExitOk;
  }
  return std::nullopt;
}

namespace {

/// Signals that WaitForStopSignal receives.
sigset_t HandledSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  return set;
}

}  // namespace

void BlockSignals() {
  const sigset_t set = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  WaitForStopSignal(nullptr);
}

void WaitForStopSignal(const std::function<void()>& on_hangup) {
  const sigset_t set = HandledSignals();
  int received = SIGHUP;
  while (received == SIGHUP) {
    sigwait(&set, &received);
    if (received == SIGHUP && on_hangup) {
      on_hangup();
    }
  }
}

Result<void> WriteFileAtomically(const std::string& path,
                                 const std::string& text) {
  const std::string temporary = path + ".tmp";
  std::ofstream out(temporary, std::ios::binary);
  out << text;
  out.close();
  if (!out || std::rename(temporary.c_str(), path.c_str()) != 0) {
    return Fail(ErrorCode::kUnavailable, "can't write " + path);
  }
  return Ok();
}

Result<std::string> ReadWholeFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    return Fail(ErrorCode::kNotFound, "can't read " + path);
  }
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace hyssopspar
