// The store is down while the first step of a job ends. The second step's turn
// comes during the outage; it must run once the store is back.

#include "../../testsuite/platform/standin/site.h"

namespace {

using namespace review;

constexpr std::int64_t kOutageMs = 4200;   // platform_down, silent: 4.2 s.
constexpr std::int64_t kFinishMs = 14000;  // finish_s.
constexpr std::int64_t kIdleMs = 3000;  // "for 3 s, a job has nothing running".

Json TwoStepJob() {
  const Json step = {
      {"count", 2}, {"cpu", 1000}, {"memMb", 256}, {"estimateMs", 2000}};
  Json second = step;
  second["dependsOn"] = Json::array({0});
  return {{"spec", "work=2000"}, {"steps", Json::array({step, second})}};
}

void TakeStoreDown(Site* site) {
  site->GetRecord().Add("store-down");
  site->GetStore().SetFaults([](const Request&, bool) {
    Store::Fault fault;
    fault.m_delivery = Delivery::kSilent;
    return fault;
  });
  Sleep(kOutageMs);
  site->GetStore().SetFaults(nullptr);
  site->GetRecord().Add("store-up");
}

// True if the job has an accepted task whose turn has come and nothing of it
// runs for kIdleMs.
bool IsIdle(Site* site, const std::string& id) {
  const std::int64_t until = site->GetRecord().Now() + kIdleMs;
  while (site->GetRecord().Now() < until) {
    if (site->CountRuns(id) > 0 || site->State(1, id) == "completed") {
      return false;
    }
    Sleep(200);
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  const CaseArguments arguments = ParseArguments(argc, argv);
  Site site(arguments);
  site.WriteConfig(4);
  for (int i = 0; i < 6; ++i) {
    MinionSettings minion;
    minion.m_id = "i-" + std::to_string(100 + i);
    site.AddMinion(minion);
  }
  if (!site.StartNodes(3)) {
    return kCouldNotRun;
  }
  Sleep(3000);
  const std::string id = "5c0e7a21d94b36f8";
  if (!site.Submit(id, TwoStepJob()) ||
      !WaitFor(3000, [&] { return site.CountRuns(id) == 2; })) {
    return kCouldNotRun;
  }
  Sleep(300);
  if (arguments.m_trouble) {
    TakeStoreDown(&site);
  }
  WaitFor(kFinishMs, [&] {
    Sleep(1000);
    return site.State(0, id) == "completed";
  });
  const bool broken = IsIdle(&site, id);
  site.GetRecord().Add(broken ? "broken: LOST" : "held");
  site.Stop();
  return broken ? kBroken : kHeld;
}
