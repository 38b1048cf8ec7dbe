// A worker crashes under one member of a gang that saves checkpoints. The
// members are started again, the one of the crashed worker with the value that
// was last reported and the others with the value at which they ended, so that
// they don't belong together. Checks that the job is completed, and that no
// member waits in vain for the others once the disruption is over.

#include <map>
#include <set>
#include <string>
#include <utility>

#include "../../testsuite/platform/standin/site.h"

namespace {

using review::Json;

constexpr int kMembers = 3;
/// One of them crashes: 0.125.
constexpr int kWorkers = 8;
/// Time after a disruption from which it excuses nothing: contactMs.
constexpr std::int64_t kContactMs = 3000;

/// Number of runs that ended "alone" and had begun after \p from.
int CountAlone(review::Site* site, std::int64_t from) {
  int alone = 0;
  for (const review::SeenRun& run : site->History().Runs()) {
    alone += run.m_how == "alone" && run.m_began > from ? 1 : 0;
  }
  return alone;
}

/// Number of starts of the gang whose members carried different checkpoints.
int CountMixedStarts(review::Site* site) {
  std::map<std::uint32_t, std::set<std::string>> checkpoints;
  for (const review::SeenRun& run : site->History().Runs()) {
    checkpoints[run.m_run].insert(run.m_checkpoint);
  }
  int mixed = 0;
  for (const auto& entry : checkpoints) {
    mixed += entry.second.size() > 1 ? 1 : 0;
  }
  return mixed;
}

}  // namespace

int main(int argc, char** argv) {
  review::CaseArguments arguments = review::ParseArguments(argc, argv);
  arguments.m_more_settings =
      "[placement]\nload_forecast = true\n"
      "[limits]\nmemory_mb = 260\nmax_fds = 4100\n";
  review::Site site(arguments);
  for (int i = 0; i < kWorkers; ++i) {
    review::MinionSettings settings;
    settings.m_id = "m" + std::to_string(i);
    settings.m_rack = "r1-" + std::to_string(i / 4);
    site.AddMinion(settings);
  }
  site.WriteConfig(4);
  if (!site.StartNodes(2)) {
    return review::kCouldNotRun;
  }
  review::Sleep(3000);
  const std::string id = "5c0e7a21d94b36f8";
  const Json job = {
      {"spec", "work=8000 saves=1 gang=" + std::to_string(kMembers)},
      {"steps", Json::array({{{"count", kMembers},
                              {"cpu", 40000},
                              {"memMb", 1000},
                              {"estimateMs", 8000},
                              {"gang", true},
                              {"checkpointing", true}}})}};
  if (!site.Submit(id, job) ||
      !review::WaitFor(8000, [&] { return site.CountRuns(id) == kMembers; })) {
    return review::kCouldNotRun;
  }
  review::Sleep(4300);
  std::int64_t restarted_at = site.GetRecord().Now();
  if (arguments.m_trouble) {
    for (const auto& minion : site.Minions()) {
      if (minion->CountRuns() > 0) {
        minion->Crash();
        review::Sleep(500);
        minion->SetId(minion->Id() + "b");
        minion->Begin();
        restarted_at = site.GetRecord().Now();
        break;
      }
    }
  }
  // Three times the work, and the room for it, are there.
  const bool completed =
      review::WaitFor(30000, [&] { return site.State(0, id) == "completed"; });
  const int alone = CountAlone(&site, restarted_at + kContactMs);
  site.GetRecord().Add(
      "completed=" + std::to_string(static_cast<int>(completed)) +
      " state=" + site.State(1, id) + " alone=" + std::to_string(alone) +
      " mixed-starts=" + std::to_string(CountMixedStarts(&site)));
  site.Stop();
  return completed && alone == 0 ? review::kHeld : review::kBroken;
}
