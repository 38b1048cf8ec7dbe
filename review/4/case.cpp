// Minions crash and start again at the same address, under the id that they
// had, as minions of another kind. Tasks that require the old kind are started
// there until the owner has read the new entry in the list of minions.

#include "../../testsuite/platform/standin/site.h"

namespace {

using namespace review;

constexpr int kMinions = 48;
constexpr int kCrashedAtOnce = 7;  // A share of 0.15.
constexpr int kRounds = 3;
constexpr std::int64_t kDownMs = 1100;
constexpr std::int64_t kRestartGapMs = 100;
constexpr const char* kRequiredKind = "a";
constexpr const char* kOtherKind = "b";

Json WideJob() {
  return {{"spec", "work=4000"},
          {"steps", Json::array({{{"count", 100},
                                  {"cpu", 8000},
                                  {"memMb", 1000},
                                  {"estimateMs", 4000},
                                  {"requirements", kRequiredKind}}})}};
}

bool SubmitJobs(Site* site, int count) {
  static int number = 0;
  for (int i = 0; i < count; ++i) {
    const std::string digits = std::to_string(number++);
    const std::string id = std::string(16 - digits.size(), '0') + digits;
    if (!site->Submit(id, WideJob())) {
      return false;
    }
  }
  return true;
}

// Crashes some minions, which come back one after the other as another kind.
bool CrashMinions(Site* site, int first) {
  std::vector<Minion*> crashed;
  for (int i = first; i < first + kCrashedAtOnce; ++i) {
    crashed.push_back(site->Minions()[static_cast<std::size_t>(i)].get());
    crashed.back()->Crash();
  }
  Sleep(kDownMs);
  for (Minion* const minion : crashed) {
    minion->SetKind(kOtherKind);
    if (!minion->Begin()) {
      return false;
    }
    Sleep(kRestartGapMs);
  }
  return true;
}

// Number of starts on minions that had become another kind.
int CountForeignStarts(Site* site) {
  int count = 0;
  for (const SeenRun& run : site->History().Runs()) {
    if (run.m_kind != kRequiredKind) {
      ++count;
      site->GetRecord().Add("without the label: task=" + run.m_task +
                            " minion=" + run.m_minion +
                            " began=" + std::to_string(run.m_began));
    }
  }
  return count;
}

}  // namespace

int main(int argc, char** argv) {
  const CaseArguments arguments = ParseArguments(argc, argv);
  Site site(arguments);
  site.WriteConfig(4);
  for (int i = 0; i < kMinions; ++i) {
    MinionSettings minion;
    minion.m_id = "i-" + std::to_string(100 + i);
    minion.m_rack = "r1-" + std::to_string(i / 6);
    site.AddMinion(minion);
  }
  if (!site.StartNodes(3)) {
    return kCouldNotRun;
  }
  Sleep(3000);
  if (!SubmitJobs(&site, 8)) {
    return kCouldNotRun;
  }
  for (int round = 0; round < kRounds; ++round) {
    Sleep(2500);
    if (!SubmitJobs(&site, 4)) {
      return kCouldNotRun;
    }
    if (arguments.m_trouble && !CrashMinions(&site, round * kCrashedAtOnce)) {
      return kCouldNotRun;
    }
  }
  Sleep(3000);
  const int foreign = CountForeignStarts(&site);
  site.GetRecord().Add("starts without the label: " + std::to_string(foreign) +
                       (foreign > 0 ? " broken: ROUTE" : " held"));
  site.Stop();
  return foreign > 0 ? kBroken : kHeld;
}
