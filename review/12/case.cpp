// A minion that runs a task that lasts drains and leaves, and the nodes are
// restarted one after the other. The task is not started again for long. See
// claim.txt.

#include <csignal>
#include <fstream>
#include <set>
#include <string>

#include "../case-3.h"

namespace {

using review::Json;
using review::SeenRun;

constexpr int kMinions = 16;
constexpr int kNodes = 4;
constexpr const char* kJob = "00000000000000a1";
constexpr std::int64_t kDrainMs = 2500;
/// From 6 s after its last run, a task that lasts must not miss a run for 3 s.
constexpr std::int64_t kLongestGapMs = 9000;

/// Ends a node with SIGTERM and starts it again once it has ended.
bool RestartNode(review::Site* site, int node) {
  site->Signal(node, SIGTERM);
  const bool ended =
      review::WaitFor(7000, [&] { return site->HasEnded(node); });
  if (ended) {
    site->StartNode(node);
  }
  return ended;
}

/// The node that took the cell over last, by its log; -1 if none did.
int FindOwner(const std::string& folder) {
  int owner = -1;
  std::string latest;
  for (int node = 0; node < kNodes; ++node) {
    std::ifstream log(folder + "/node-" + std::to_string(node) + ".log");
    std::string line;
    while (std::getline(log, line)) {
      if (line.find("owning cell=") != std::string::npos && line > latest) {
        latest = line;
        owner = node;
      }
    }
  }
  return owner;
}

/// Restarts all nodes, one after the other; first the one that leads.
bool RollNodes(review::Site* site, const std::string& folder) {
  std::set<int> left;
  for (int node = 0; node < kNodes; ++node) {
    left.insert(node);
  }
  while (!left.empty()) {
    const int owner = FindOwner(folder);
    const int next = left.count(owner) > 0 ? owner : *left.begin();
    left.erase(next);
    if (!RestartNode(site, next)) {
      return false;
    }
    review::Sleep(1000);
  }
  return true;
}

/// Time for which no run of the task went on after its first one, until now.
std::int64_t LongestGap(review::Site* site, const std::string& task) {
  std::int64_t ended = -1;
  std::int64_t longest = 0;
  for (const SeenRun& run : site->History().Runs()) {
    if (run.m_task != task) {
      continue;
    }
    if (ended >= 0) {
      longest = std::max(longest, run.m_began - ended);
    }
    ended = run.m_ended;
  }
  return ended < 0 ? longest
                   : std::max(longest, site->GetRecord().Now() - ended);
}

}  // namespace

int main(int argc, char** argv) {
  review::CaseArguments arguments = review::ParseArguments(argc, argv);
  arguments.m_more_settings = review::kMoreSettings;
  review::Site site(arguments);
  site.WriteConfig(4);
  for (int i = 0; i < kMinions; ++i) {
    review::MinionSettings settings;
    settings.m_id = "i-" + std::to_string(1000 + i);
    settings.m_rack = "r1-" + std::to_string(1 + i / 6);
    site.AddMinion(settings);
  }
  Json job = review::MakeJob("work=0", 2, 6000, 2000);
  job["steps"][0]["longRunning"] = true;
  const bool ready =
      site.StartNodes(kNodes) && site.Submit(kJob, job) &&
      review::WaitFor(5000, [&] { return site.CountRuns(kJob) == 2; });
  if (!ready) {
    return review::kCouldNotRun;
  }
  review::Sleep(3000);
  const std::string task = std::string(kJob) + ".0.0.0";
  review::Minion* leaving = nullptr;
  for (const auto& minion : site.Minions()) {
    leaving = minion->Runs(task) ? minion.get() : leaving;
  }
  if (leaving == nullptr) {
    return review::kCouldNotRun;
  }
  leaving->Drain(review::Millis(kDrainMs));
  review::Sleep(kDrainMs);
  leaving->Crash();
  site.GetStore().Put("keyed.servers", leaving->Id(), "");
  review::Sleep(500);
  if (arguments.m_trouble && !RollNodes(&site, arguments.m_folder)) {
    return review::kCouldNotRun;
  }
  review::Sleep(arguments.m_trouble ? 16000 : 12000);
  const std::int64_t gap = LongestGap(&site, task);
  site.GetRecord().Add("longest-gap ms=" + std::to_string(gap));
  const bool broken = gap > kLongestGapMs;
  if (broken) {
    site.GetRecord().Add("broken LOST " + task +
                         " is to last and did not run, with room for it");
  }
  site.Stop();
  return broken ? review::kBroken : review::kHeld;
}
