// One job in eighteen asks for a thousand times the CPU that it needs, more
// than any worker has, so that it can never be done. A sound job whose task
// lasts comes at the end of the traffic, and all workers are idle soon after.
// Checks that its task runs finish_s after the end of the traffic.

#include <string>

#include "../../testsuite/platform/standin/site.h"

namespace {

using review::Json;

constexpr int kWorkers = 8;
/// Traffic of the kind `cotizacion`: 5.56 jobs a second for 3.2 s.
constexpr int kJobs = 18;
constexpr std::int64_t kIntervalMs = 180;
/// The one job in kJobs, 0.056 of them, that can never be done.
constexpr int kHopelessJob = 16;
constexpr int kCpu = 4200;
constexpr int kHopelessCpu = 4200000;
/// finish_s, and the time for which nothing may be running then.
constexpr std::int64_t kFinishMs = 14000;
constexpr std::int64_t kIdleMs = 3000;
/// Time after which the case gives up to wait for the start.
constexpr std::int64_t kWaitMs = 30000;

Json JobOf(const std::string& spec, int tasks, int cpu, bool lasts) {
  Json step = {
      {"count", tasks}, {"cpu", cpu}, {"memMb", 8400}, {"estimateMs", 800}};
  if (lasts) {
    step["longRunning"] = true;
  }
  return {{"spec", spec}, {"steps", Json::array({step})}};
}

std::string IdOf(int job) {
  const std::string number = std::to_string(job);
  return "5c0e7a21d94b" + std::string(4 - number.size(), '0') + number;
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
  for (int job = 0; job < kJobs; ++job) {
    const bool hopeless = arguments.m_trouble && job == kHopelessJob;
    if (!site.Submit(IdOf(job), JobOf("work=800", 6,
                                      hopeless ? kHopelessCpu : kCpu, false))) {
      return review::kCouldNotRun;
    }
    review::Sleep(kIntervalMs);
  }
  const std::string lasting = IdOf(kJobs);
  if (!site.Submit(lasting, JobOf("work=0", 4, 13000, true))) {
    return review::kCouldNotRun;
  }
  const std::int64_t end_of_traffic = site.GetRecord().Now();
  review::WaitFor(kWaitMs, [&] { return site.CountRuns(lasting) > 0; });
  const std::int64_t waited = site.GetRecord().Now() - end_of_traffic;
  const std::string state = site.State(0, lasting);
  std::size_t busy = 0;
  for (const auto& minion : site.Minions()) {
    busy += minion->CountRuns() > 0 ? 1 : 0;
  }
  site.GetRecord().Add("waited_ms=" + std::to_string(waited) + " state=" +
                       state + " busy-workers=" + std::to_string(busy));
  site.Stop();
  return waited >= kFinishMs + kIdleMs ? review::kBroken : review::kHeld;
}
