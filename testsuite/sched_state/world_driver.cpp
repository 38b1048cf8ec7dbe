#include "sched_state/world_driver.h"

#include <array>

namespace hyssopspar::testsuite {

namespace {

using Action = void (*)(SchedWorld* world, std::uint32_t target);

struct NamedAction {
  const char* m_name;
  Action m_action;
};

int SchedulerOf(const SchedWorld& world, std::uint32_t target) {
  return static_cast<int>(target % world.Schedulers());
}

int WorkerOf(const SchedWorld& world, std::uint32_t target) {
  return static_cast<int>(target % world.Workers());
}

constexpr std::array<NamedAction, 24> kActions = {{
    {"submit small",
     [](SchedWorld* w, std::uint32_t t) {
       w->Submit(1 + t % 6, 500 + t % 1500, milliseconds(200 + t % 4000));
     }},
    {"submit large",
     [](SchedWorld* w, std::uint32_t t) {
       w->Submit(1 + t % 3, 3000 + t % 1000, milliseconds(1000 + t % 9000));
     }},
    {"submit too large",
     [](SchedWorld* w, std::uint32_t) {
       w->Submit(1, 100000, milliseconds(1000));
     }},
    {"cancel", [](SchedWorld* w, std::uint32_t) { w->CancelOldest(); }},
    {"kill",
     [](SchedWorld* w, std::uint32_t t) { w->Kill(SchedulerOf(*w, t)); }},
    {"restart",
     [](SchedWorld* w, std::uint32_t t) { w->Restart(SchedulerOf(*w, t)); }},
    {"leave",
     [](SchedWorld* w, std::uint32_t t) { w->Leave(SchedulerOf(*w, t)); }},
    {"freeze briefly",
     [](SchedWorld* w, std::uint32_t t) {
       w->Freeze(SchedulerOf(*w, t), milliseconds(500 + t % 3000));
     }},
    {"freeze past leases",
     [](SchedWorld* w, std::uint32_t t) {
       w->Freeze(SchedulerOf(*w, t), milliseconds(4000 + t % 26000));
     }},
    {"cut off", [](SchedWorld* w,
                   std::uint32_t t) { w->SetCut(SchedulerOf(*w, t), true); }},
    {"reconnect",
     [](SchedWorld* w, std::uint32_t t) {
       w->SetCut(SchedulerOf(*w, t), false);
     }},
    {"log down", [](SchedWorld* w, std::uint32_t) { w->SetLogDown(true); }},
    {"log up", [](SchedWorld* w, std::uint32_t) { w->SetLogDown(false); }},
    {"answers lost",
     [](SchedWorld* w, std::uint32_t t) {
       w->SetLoseAnswers(t % 2 == 0 ? 0.0 : 0.4);
     }},
    {"appends slow",
     [](SchedWorld* w, std::uint32_t t) {
       w->SetAppendDelay(milliseconds(t % 2 == 0 ? 5 : t % 3000));
     }},
    {"worker reboots",
     [](SchedWorld* w, std::uint32_t t) { w->RebootWorker(WorkerOf(*w, t)); }},
    {"worker silent",
     [](SchedWorld* w, std::uint32_t t) {
       w->SetWorkerSilent(WorkerOf(*w, t), true);
     }},
    {"worker answers",
     [](SchedWorld* w, std::uint32_t t) {
       w->SetWorkerSilent(WorkerOf(*w, t), false);
     }},
    {"worker fails all",
     [](SchedWorld* w, std::uint32_t t) {
       w->SetWorkerFailsAll(WorkerOf(*w, t), t % 3 != 0);
     }},
    {"worker dead",
     [](SchedWorld* w, std::uint32_t t) {
       w->SetWorkerDead(WorkerOf(*w, t), true);
     }},
    {"worker back",
     [](SchedWorld* w, std::uint32_t t) {
       w->SetWorkerDead(WorkerOf(*w, t), false);
     }},
    {"domain out",
     [](SchedWorld* w, std::uint32_t t) {
       w->SetOut(static_cast<int>(t % w->Domains()), true);
     }},
    {"domain back",
     [](SchedWorld* w, std::uint32_t t) {
       w->SetOut(static_cast<int>(t % w->Domains()), false);
     }},
    {"publish race", [](SchedWorld* w, std::uint32_t) { w->PublishAgain(); }},
}};

constexpr milliseconds kLeastSpan{100};
constexpr std::uint32_t kSpanMillis = 4000;
/// Time after the last fault within which all work must be over.
constexpr std::chrono::seconds kFinishSpan{150};

}  // namespace

std::string Describe(const DriverStep& step) {
  return std::string(kActions[step.m_action % kActions.size()].m_name) + " " +
         std::to_string(step.m_target) + " for " +
         std::to_string(step.m_span % kSpanMillis) + " ms";
}

void Drive(SchedWorld* world, const DriverStep& step) {
  world->Trace(Describe(step));
  // Work arrives all the while.
  if (step.m_span % 3 == 0) {
    world->Submit(1 + step.m_target % 5, 500 + step.m_target % 3000,
                  milliseconds(300 + step.m_target % 7000));
  }
  kActions[step.m_action % kActions.size()].m_action(world, step.m_target);
  world->Advance(kLeastSpan + milliseconds(step.m_span % kSpanMillis));
}

std::vector<std::string> DriveAll(SchedWorld* world,
                                  const std::vector<DriverStep>& steps) {
  world->Advance(std::chrono::seconds(2));
  for (const DriverStep& step : steps) {
    Drive(world, step);
  }
  world->Heal();
  world->Advance(kFinishSpan);
  return world->CheckEnded();
}

}  // namespace hyssopspar::testsuite
