// Long randomised runs of the gate simulation. Prints each violation with the
// seed of its case:
//   gate_soak --seed N --steps N [--cases N]

#include <boost/program_options.hpp>
#include <iostream>
#include <random>

#include "gate_state/gate_world.h"
#include "hyssopspar/logging.h"

namespace {

namespace po = boost::program_options;
using namespace hyssopspar;
using namespace hyssopspar::testsuite;

std::vector<GateStep> RandomSteps(std::uint64_t seed, std::uint32_t count) {
  std::mt19937_64 random(seed);
  std::vector<GateStep> steps(count);
  for (GateStep& step : steps) {
    step.m_action = static_cast<std::uint32_t>(random());
    step.m_target = static_cast<std::uint32_t>(random() % 30000);
    step.m_span = static_cast<std::uint32_t>(random() % 4000);
  }
  return steps;
}

}  // namespace

int main(int argc, char** argv) {
  std::uint64_t seed = 1;
  std::uint32_t steps = 60;
  std::uint32_t cases = 100;
  po::options_description options("Options");
  options.add_options()("help,h", "print this text")("seed", po::value(&seed),
                                                     "seed of the first case")(
      "steps", po::value(&steps), "faults in each case")(
      "cases", po::value(&cases), "cases, each with the next seed");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& e) {
    std::cerr << e.what() << "\n";
    return 2;
  }
  if (values.count("help") > 0) {
    std::cout << options;
    return 0;
  }
  SetLogLevel("critical");
  std::uint32_t failed = 0;
  std::size_t calls = 0;
  std::size_t executions = 0;
  for (std::uint32_t i = 0; i < cases; ++i) {
    GateSimulationSettings settings;
    settings.m_seed = seed + i;
    GateSimulation simulation(settings);
    const std::vector<std::string> violations =
        RunSteps(&simulation, RandomSteps(seed + i, steps));
    calls += simulation.CallerRequests().size();
    executions += simulation.Executions().size();
    failed += violations.empty() ? 0 : 1;
    for (const std::string& violation : violations) {
      std::cout << "seed " << seed + i << ": " << violation << "\n";
    }
  }
  std::cout << cases << " cases of " << steps << " steps, " << calls
            << " requests, " << executions << " executions, " << failed
            << " failed\n";
  return failed == 0 ? 0 : 1;
}
