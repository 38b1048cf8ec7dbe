// hyssopsparctl: command line for operators.

#include <boost/program_options.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "ctl/config_commands.h"
#include "ctl/job_commands.h"
#include "hyssopspar/logging.h"
#include "hyssopspar/program.h"

namespace {

namespace po = boost::program_options;
using namespace hyssopspar;

constexpr const char* kUsage =
    "Usage: hyssopsparctl COMMAND [ARGUMENT] [options]\n\n"
    "Configuration (--log):\n"
    "  validate DIR      check the files below DIR\n"
    "  publish DIR       put them in force, if nobody else did meanwhile\n"
    "  config            show the revision in force\n"
    "  drain NAME        take a failure domain or VM out of service\n"
    "  restore NAME      bring it back\n\n"
    "Jobs (--sched, one or more):\n"
    "  submit JOB --key KEY  submit; the same key never runs twice\n"
    "  cancel ID         cancel a job\n"
    "  job ID            show its tasks\n"
    "  explain ID        show why its tasks wait\n"
    "  status            show schedulers and cells\n";

struct Arguments {
  std::string m_command;
  std::string m_argument;
  std::string m_log_address;
  std::string m_submission_key;
  std::vector<std::string> m_sched_addresses;
  std::optional<Revision> m_base_revision;
};

int ReportUsageError(const std::string& text) {
  std::cerr << "hyssopsparctl: " << text << "\n" << kUsage;
  return kExitUsage;
}

int RunConfigCommand(const Arguments& arguments) {
  const std::string& command = arguments.m_command;
  if (command == "validate") {
    return ctl::Validate(arguments.m_argument);
  }
  if (arguments.m_log_address.empty()) {
    return ReportUsageError("--log ADDRESS is missing");
  }
  if (command == "publish") {
    return ctl::Publish(arguments.m_argument, arguments.m_log_address,
                        arguments.m_base_revision);
  }
  if (command == "config") {
    return ctl::ShowConfig(arguments.m_log_address);
  }
  return ctl::SetOutOfService(arguments.m_argument, command == "drain",
                              arguments.m_log_address);
}

int RunJobCommand(const Arguments& arguments) {
  const std::string& command = arguments.m_command;
  if (arguments.m_sched_addresses.empty()) {
    return ReportUsageError("--sched ADDRESS is missing");
  }
  if (command == "submit") {
    return arguments.m_submission_key.empty()
               ? ReportUsageError("--key KEY is missing")
               : ctl::SubmitJob(arguments.m_sched_addresses,
                                arguments.m_argument,
                                arguments.m_submission_key);
  }
  if (command == "cancel") {
    return ctl::CancelJob(arguments.m_sched_addresses, arguments.m_argument);
  }
  if (command == "job") {
    return ctl::ShowJob(arguments.m_sched_addresses, arguments.m_argument);
  }
  if (command == "explain") {
    return ctl::ExplainJob(arguments.m_sched_addresses, arguments.m_argument);
  }
  return ctl::ShowStatus(arguments.m_sched_addresses);
}

int Run(const Arguments& arguments) {
  struct Command {
    const char* m_name;
    bool m_is_config_command;
    bool m_needs_argument;
  };
  static const std::vector<Command> kCommands = {
      {"validate", true, true}, {"publish", true, true},
      {"config", true, false},  {"drain", true, true},
      {"restore", true, true},  {"submit", false, true},
      {"cancel", false, true},  {"job", false, true},
      {"explain", false, true}, {"status", false, false}};
  for (const Command& command : kCommands) {
    if (arguments.m_command != command.m_name) {
      continue;
    }
    if (command.m_needs_argument && arguments.m_argument.empty()) {
      return ReportUsageError(arguments.m_command + " requires an argument");
    }
    return command.m_is_config_command ? RunConfigCommand(arguments)
                                       : RunJobCommand(arguments);
  }
  return ReportUsageError("unknown command " + arguments.m_command);
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  std::uint64_t base = 0;
  po::options_description options("Options");
  options.add_options()("help,h", "print this text")("version",
                                                     "print the version")(
      "command", po::value<std::string>(&arguments.m_command))(
      "argument", po::value<std::string>(&arguments.m_argument))(
      "log", po::value<std::string>(&arguments.m_log_address),
      "address of the log")(
      "sched",
      po::value<std::vector<std::string>>(&arguments.m_sched_addresses)
          ->composing(),
      "address of a scheduler; may be given several times")(
      "key", po::value<std::string>(&arguments.m_submission_key),
      "submission key")("base", po::value<std::uint64_t>(&base),
                        "publish only on top of this revision");
  po::positional_options_description positional;
  positional.add("command", 1).add("argument", 1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(options)
                  .positional(positional)
                  .run(),
              values);
    po::notify(values);
  } catch (const po::error& e) {
    return ReportUsageError(e.what());
  }
  if (values.count("help") > 0) {
    std::cout << kUsage << "\n" << options;
    return kExitOk;
  }
  if (values.count("version") > 0) {
    std::cout << "hyssopsparctl " << HYSSOPSPAR_VERSION << "\n";
    return kExitOk;
  }
  if (values.count("base") > 0) {
    arguments.m_base_revision = base;
  }
  SetLogLevel("warn");
  return Run(arguments);
}
