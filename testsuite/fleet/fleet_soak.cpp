// Plays one seeded run of a fleet of real nodes, and prints the rules that were
// broken. Exits with 1 if any was, 2 if the run could not be played.

#include <boost/program_options.hpp>

#include <cstdint>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "fleet/fleet_options.h"

namespace {

namespace po = boost::program_options;

constexpr int kBroken = 1;
constexpr int kNotPlayed = 2;

/// Removes the logs of an earlier run, to which nodes would append.
void PrepareLogs(const std::string& folder) {
  std::filesystem::create_directories(folder);
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() == ".log") {
      std::filesystem::remove(entry.path());
    }
  }
}

/// Returns false if there is nothing to play.
bool ParseOptions(int argc, char** argv, fleet::FleetOptions* options) {
  std::int64_t seconds = options->m_duration.count();
  po::options_description description("fleet_soak: plays a seeded run");
  description.add_options()("help", "print this text")(
      "program", po::value(&options->m_program)->required(),
      "path of hyssopspar-node")(
      "log-dir", po::value(&options->m_log_dir)->required(),
      "folder for the logs of the nodes and the record")(
      "scenario", po::value(&options->m_scenario),
      "mixed, deadly, large, refusing, following, crash-unseen, "
      "crash-unseen-late, "
      "update-start, "
      "cut-start, late-crashes or refused-writes")(
      "seed", po::value(&options->m_seed), "seed of the schedule")(
      "seconds", po::value(&seconds), "time in which disruptions begin");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, description), values);
  if (values.count("help") > 0) {
    std::cout << description;
    return false;
  }
  po::notify(values);
  options->m_duration = std::chrono::seconds(seconds);
  if (!fleet::ApplyScenario(options)) {
    std::cerr << "no such scenario: " << options->m_scenario << "\n";
    return false;
  }
  PrepareLogs(options->m_log_dir);
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  fleet::FleetOptions options;
  try {
    if (!ParseOptions(argc, argv, &options)) {
      return kNotPlayed;
    }
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return kNotPlayed;
  }
  fleet::Fleet run(options);
  const std::vector<std::string> violations = run.Run();
  for (const std::string& text : violations) {
    std::cout << "scenario=" << options.m_scenario << " seed=" << options.m_seed
              << " " << text << "\n";
  }
  std::cout << "scenario=" << options.m_scenario << " seed=" << options.m_seed
            << " violations=" << violations.size() << "\n";
  return violations.empty() ? 0 : kBroken;
}
