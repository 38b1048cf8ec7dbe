#include "sched_state/world_driver.h"

#include <array>

namespace hyssopspar::testsuite {

namespace {

using Action = void (*)(SchedSimulation* simulation, std::uint32_t target);

struct NamedAction {
  const char* m_name;
  Action m_action;
};

int SchedulerOf(const SchedSimulation& simulation, std::uint32_t target) {
  return static_cast<int>(target % simulation.Schedulers());
}

int WorkerOf(const SchedSimulation& simulation, std::uint32_t target) {
  return static_cast<int>(target % simulation.Workers());
}

constexpr std::array<NamedAction, 24> kActions = {{
    {"submit small",
     [](SchedSimulation* s, std::uint32_t t) {
       s->Submit(1 + t % 6, 500 + t % 1500, milliseconds(200 + t % 4000));
     }},
    {"submit large",
     [](SchedSimulation* s, std::uint32_t t) {
       s->Submit(1 + t % 3, 3000 + t % 1000, milliseconds(1000 + t % 9000));
     }},
    {"submit too large",
     [](SchedSimulation* s, std::uint32_t) {
       s->Submit(1, 100000, milliseconds(1000));
     }},
    {"cancel", [](SchedSimulation* s, std::uint32_t) { s->CancelNextJob(); }},
    {"kill",
     [](SchedSimulation* s, std::uint32_t t) { s->Kill(SchedulerOf(*s, t)); }},
    {"restart", [](SchedSimulation* s,
                   std::uint32_t t) { s->Restart(SchedulerOf(*s, t)); }},
    {"leave", [](SchedSimulation* s,
                 std::uint32_t t) { s->BeginShutdown(SchedulerOf(*s, t)); }},
    {"freeze briefly",
     [](SchedSimulation* s, std::uint32_t t) {
       s->Freeze(SchedulerOf(*s, t), milliseconds(500 + t % 3000));
     }},
    {"freeze beyond leases",
     [](SchedSimulation* s, std::uint32_t t) {
       s->Freeze(SchedulerOf(*s, t), milliseconds(4000 + t % 26000));
     }},
    {"disconnect from log",
     [](SchedSimulation* s, std::uint32_t t) {
       s->SetLogUnreachable(SchedulerOf(*s, t), true);
     }},
    {"reconnect",
     [](SchedSimulation* s, std::uint32_t t) {
       s->SetLogUnreachable(SchedulerOf(*s, t), false);
     }},
    {"log down",
     [](SchedSimulation* s, std::uint32_t) { s->SetLogDown(true); }},
    {"log up", [](SchedSimulation* s, std::uint32_t) { s->SetLogDown(false); }},
    {"set append answer loss",
     [](SchedSimulation* s, std::uint32_t t) {
       s->SetAnswerLossRate(t % 2 == 0 ? 0.0 : 0.4);
     }},
    {"set append delay",
     [](SchedSimulation* s, std::uint32_t t) {
       s->SetAppendDelay(milliseconds(t % 2 == 0 ? 5 : t % 3000));
     }},
    {"reboot worker",
     [](SchedSimulation* s, std::uint32_t t) {
       s->RebootWorker(WorkerOf(*s, t));
     }},
    {"worker unresponsive",
     [](SchedSimulation* s, std::uint32_t t) {
       s->SetWorkerUnresponsive(WorkerOf(*s, t), true);
     }},
    {"worker responsive",
     [](SchedSimulation* s, std::uint32_t t) {
       s->SetWorkerUnresponsive(WorkerOf(*s, t), false);
     }},
    {"set worker fails all tasks",
     [](SchedSimulation* s, std::uint32_t t) {
       s->SetWorkerFailsAll(WorkerOf(*s, t), t % 3 != 0);
     }},
    {"worker dead",
     [](SchedSimulation* s, std::uint32_t t) {
       s->SetWorkerDead(WorkerOf(*s, t), true);
     }},
    {"worker live again",
     [](SchedSimulation* s, std::uint32_t t) {
       s->SetWorkerDead(WorkerOf(*s, t), false);
     }},
    {"failure domain out of service",
     [](SchedSimulation* s, std::uint32_t t) {
       s->SetOutOfService(static_cast<int>(t % s->Domains()), true);
     }},
    {"failure domain back in service",
     [](SchedSimulation* s, std::uint32_t t) {
       s->SetOutOfService(static_cast<int>(t % s->Domains()), false);
     }},
    {"concurrent publishes",
     [](SchedSimulation* s, std::uint32_t) { s->PublishConcurrently(); }},
}};

/// Minimum simulated duration of a step.
constexpr milliseconds kMinStepSpan{100};
/// The additional duration of a step is below this many milliseconds.
constexpr std::uint32_t kStepSpanRangeMillis = 4000;
/// Simulated time after the last fault within which all tasks must reach a
/// final state.
constexpr std::chrono::seconds kCompletionTime{150};

}  // namespace

std::string Describe(const ScenarioStep& step) {
  return std::string(kActions[step.m_action % kActions.size()].m_name) + " " +
         std::to_string(step.m_target) + " for " +
         std::to_string(step.m_span % kStepSpanRangeMillis) + " ms";
}

void RunStep(SchedSimulation* simulation, const ScenarioStep& step) {
  simulation->Trace(Describe(step));
  // Submits jobs throughout the scenario, whatever its actions are.
  if (step.m_span % 3 == 0) {
    simulation->Submit(1 + step.m_target % 5, 500 + step.m_target % 3000,
                       milliseconds(300 + step.m_target % 7000));
  }
  kActions[step.m_action % kActions.size()].m_action(simulation, step.m_target);
  simulation->Advance(kMinStepSpan +
                      milliseconds(step.m_span % kStepSpanRangeMillis));
}

std::vector<std::string> RunScenario(SchedSimulation* simulation,
                                     const std::vector<ScenarioStep>& steps) {
  simulation->Advance(std::chrono::seconds(2));
  for (const ScenarioStep& step : steps) {
    RunStep(simulation, step);
  }
  simulation->ClearFaults();
  simulation->Advance(kCompletionTime);
  return simulation->CheckCompleted();
}

}  // namespace hyssopspar::testsuite
