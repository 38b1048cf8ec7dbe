// A scheduled job runs once a minute for 30 days. A minion crashes under one of
// its tasks. The owner's record of the job's progress then outgrows the largest
// record that the store takes; the owner stores nothing more, and no task of
// any job starts.

#include "../../testsuite/platform/standin/site.h"

namespace {

using namespace review;

constexpr int kMinions = 8;  // One of them is a share of 0.125.
constexpr std::int64_t kDownMs = 1000;
constexpr int kOccurrences = 43200;  // 30 days.
constexpr std::int64_t kIntervalMs = 60000;
constexpr std::int64_t kFinishMs = 14000;  // finish_s.
constexpr std::int64_t kIdleMs = 3000;  // "for 3 s, a job has nothing running".

std::int64_t UnixMs() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Json ScheduledJob() {
  return {{"spec", "work=20000"},
          {"startAtMs", UnixMs()},
          {"intervalMs", kIntervalMs},
          {"repeatCount", kOccurrences},
          {"steps", Json::array({{{"count", 1},
                                  {"cpu", 1000},
                                  {"memMb", 256},
                                  {"estimateMs", 20000}}})}};
}

Json OrdinaryJob() {
  return {{"spec", "work=1000"},
          {"steps", Json::array({{{"count", 2},
                                  {"cpu", 1000},
                                  {"memMb", 256},
                                  {"estimateMs", 1000}}})}};
}

bool CrashMinionOf(Site* site, const std::string& id) {
  for (const std::unique_ptr<Minion>& minion : site->Minions()) {
    if (minion->Runs(id)) {
      minion->Crash();
      Sleep(kDownMs);
      return minion->Begin();
    }
  }
  return false;
}

// True if nothing of the job, which isn't complete, runs for kIdleMs.
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
  for (int i = 0; i < kMinions; ++i) {
    MinionSettings minion;
    minion.m_id = "i-" + std::to_string(100 + i);
    site.AddMinion(minion);
  }
  if (!site.StartNodes(3)) {
    return kCouldNotRun;
  }
  Sleep(3000);
  const std::string scheduled = "5c0e7a21d94b36f8";
  if (!site.Submit(scheduled, ScheduledJob()) ||
      !WaitFor(5000, [&] { return site.CountRuns(scheduled) == 1; })) {
    return kCouldNotRun;
  }
  Sleep(3000);
  if (arguments.m_trouble && !CrashMinionOf(&site, scheduled)) {
    return kCouldNotRun;
  }
  Sleep(4000);
  std::vector<std::string> ids;
  for (int i = 0; i < 3; ++i) {
    ids.push_back("5c0e7a21d94b370" + std::to_string(i));
    if (!site.Submit(ids.back(), OrdinaryJob())) {
      return kCouldNotRun;
    }
  }
  Sleep(kFinishMs);
  bool broken = false;
  for (const std::string& id : ids) {
    broken = IsIdle(&site, id) || broken;
  }
  site.GetRecord().Add(broken ? "broken: LOST" : "held");
  site.Stop();
  return broken ? kBroken : kHeld;
}
