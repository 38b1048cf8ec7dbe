// A minion that runs a member of a gang crashes. The gang is started again with
// members that carry different checkpoints; all must carry the same. Its runs
// end alone, again and again.

#include "../standin/site.h"

namespace {

using namespace review;

constexpr int kMinions = 8;  // One of them is a share of 0.125.
constexpr int kMembers = 4;
constexpr std::int64_t kDownMs = 1000;
constexpr std::int64_t kContactMs = 3000;  // contactMs.
constexpr std::int64_t kFinishMs = 14000;  // finish_s.
constexpr std::int64_t kWorkMs = 8000;

Json GangJob() {
  return {{"spec", "work=" + std::to_string(kWorkMs) +
                       " saves=1 gang=" + std::to_string(kMembers)},
          {"steps", Json::array({{{"count", kMembers},
                                  {"cpu", 20000},
                                  {"memMb", 1000},
                                  {"estimateMs", kWorkMs},
                                  {"gang", true},
                                  {"antiAffinity", 1},
                                  {"checkpointing", true}}})}};
}

// Crashes one of the minions that run the gang. Returns the time at which it is
// back, or -1.
std::int64_t CrashMember(Site* site, const std::string& id) {
  for (const std::unique_ptr<Minion>& minion : site->Minions()) {
    if (minion->Runs(id)) {
      minion->Crash();
      Sleep(kDownMs);
      return minion->Begin() ? site->GetRecord().Now() : -1;
    }
  }
  return -1;
}

// Number of runs that ended alone later than \p since.
int CountAlone(Site* site, std::int64_t since) {
  const std::vector<SeenRun> runs = site->History().Runs();
  return static_cast<int>(
      std::count_if(runs.begin(), runs.end(), [since](const SeenRun& run) {
        return run.m_how == "alone" && run.m_ended > since;
      }));
}

}  // namespace

int main(int argc, char** argv) {
  const CaseArguments arguments = ParseArguments(argc, argv);
  Site site(arguments);
  site.WriteConfig(4);
  for (int i = 0; i < kMinions; ++i) {
    MinionSettings minion;
    minion.m_id = "i-" + std::to_string(100 + i);
    site.AddMinion(minion);
  }
  if (!site.StartNodes(3)) {
    return kCouldNotRun;
  }
  Sleep(3000);
  const std::string id = "5c0e7a21d94b36f8";
  if (!site.Submit(id, GangJob()) ||
      !WaitFor(5000, [&] { return site.CountRuns(id) == kMembers; })) {
    return kCouldNotRun;
  }
  Sleep(3300);
  std::int64_t calm_since = site.GetRecord().Now();
  if (arguments.m_trouble) {
    const std::int64_t back = CrashMember(&site, id);
    if (back < 0) {
      return kCouldNotRun;
    }
    calm_since = back + kContactMs;
  }
  WaitFor(kWorkMs + kFinishMs, [&] {
    Sleep(1000);
    return site.State(0, id) == "completed";
  });
  const std::string state = site.State(1, id);
  const int alone = CountAlone(&site, calm_since);
  const bool broken = alone > 0 && state != "completed";
  site.GetRecord().Add("state=" + state + " runs that ended alone in calm=" +
                       std::to_string(alone) +
                       (broken ? " broken: GANG" : " held"));
  site.Stop();
  return broken ? kBroken : kHeld;
}
