// Long randomized runs of the scheduler simulation:
//   sched_soak [--seed N] [--steps N] [--cases N] [--verbose]
// Prints each violation with the seed of its case, and exits with 1 if there
// was any.

#include <boost/program_options.hpp>
#include <iostream>
#include <random>

#include "hyssopspar/logging.h"
#include "sched_state/sched_world.h"
#include "sched_state/world_driver.h"

namespace {

namespace po = boost::program_options;
using namespace hyssopspar;
using namespace hyssopspar::testsuite;

std::vector<ScenarioStep> RandomScenario(std::uint64_t seed,
                                         std::uint32_t count) {
  std::mt19937_64 random(seed);
  std::vector<ScenarioStep> steps(count);
  for (ScenarioStep& step : steps) {
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
  bool verbose = false;
  po::options_description options("Options");
  options.add_options()("help,h", "print this text")("seed", po::value(&seed),
                                                     "seed of the first case")(
      "steps", po::value(&steps), "steps in each case")(
      "cases", po::value(&cases), "cases, each with the next seed")(
      "verbose", po::bool_switch(&verbose),
      "print faults and applied decisions");
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
  std::uint32_t failed_cases = 0;
  std::uint64_t starts = 0;
  Duration simulated{0};
  for (std::uint32_t i = 0; i < cases; ++i) {
    SimulationSettings settings;
    settings.m_seed = seed + i;
    settings.m_trace = verbose;
    SchedSimulation simulation(settings);
    const TimePoint begin = simulation.Now();
    const std::vector<ScenarioStep> scenario = RandomScenario(seed + i, steps);
    const std::vector<std::string> violations =
        RunScenario(&simulation, scenario);
    simulated += simulation.Now() - begin;
    starts += simulation.StartCount();
    failed_cases += violations.empty() ? 0 : 1;
    for (const std::string& violation : violations) {
      std::cout << "seed " << seed + i << ": " << violation << "\n";
    }
  }
  std::cout
      << cases << " cases of " << steps << " steps, " << starts << " starts, "
      << std::chrono::duration<double, std::ratio<3600>>(simulated).count()
      << " simulated hours, " << failed_cases << " failed\n";
  return failed_cases == 0 ? 0 : 1;
}
