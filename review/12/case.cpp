// The start of a task that lasts gets no answer, its job is cancelled and the
// stop acknowledged; the minion restarts and carries the start out late.
// Nothing stops the task any more. See claim.txt.

#include <memory>
#include <string>
#include <vector>

#include "../case-3.h"

namespace {

using review::Json;

constexpr int kMinions = 8;
constexpr const char* kJob = "00000000000000a1";
/// Least delay of an order that is carried out late.
constexpr std::int64_t kLateMs = 2100;
/// After its late start, a task of a cancelled job may go on for contactMs and
/// stopMs, 3.2 s. It is looked at after a multiple of that.
constexpr std::int64_t kJudgedAfterMs = 15000;

}  // namespace

int main(int argc, char** argv) {
  review::CaseArguments arguments = review::ParseArguments(argc, argv);
  arguments.m_more_settings = review::kMoreSettings;
  review::Site site(arguments);
  site.WriteConfig(4);
  std::vector<std::unique_ptr<review::MinionProxy>> proxies;
  for (int i = 0; i < kMinions; ++i) {
    review::MinionSettings settings;
    settings.m_id = "i-" + std::to_string(1000 + i);
    settings.m_rack = "r1-" + std::to_string(1 + i / 4);
    proxies.push_back(std::make_unique<review::MinionProxy>(
        settings, &site, [&arguments](const Json& start) {
          return arguments.m_trouble && start.value("run", 0) == 1;
        }));
    if (!proxies.back()->Open()) {
      return review::kCouldNotRun;
    }
  }
  Json job = review::MakeJob("work=0", 1, 6000, 2000);
  job["steps"][0]["longRunning"] = true;
  if (!site.StartNodes(3)) {
    return review::kCouldNotRun;
  }
  review::Sleep(2000);
  if (!site.Submit(kJob, job)) {
    return review::kCouldNotRun;
  }
  review::MinionProxy* late = nullptr;
  review::WaitFor(3000, [&] {
    for (const auto& proxy : proxies) {
      late = proxy->HasHeldBack() ? proxy.get() : late;
    }
    return late != nullptr || site.CountRuns(kJob) == 1;
  });
  if (arguments.m_trouble != (late != nullptr)) {
    return review::kCouldNotRun;
  }
  const std::int64_t sent_at = site.GetRecord().Now();
  review::Sleep(300);
  if (site.Client(1, "DELETE", kJob, "").m_status != 200) {
    return review::kCouldNotRun;
  }
  if (late != nullptr) {
    if (!review::WaitFor(3000, [&] { return late->StopsPassed() > 0; })) {
      return review::kCouldNotRun;
    }
    review::Sleep(100);
    late->Crash();
    review::Sleep(sent_at + kLateMs - site.GetRecord().Now());
    if (!late->Restart() || late->DeliverHeldBack().m_status != 200) {
      return review::kCouldNotRun;
    }
  }
  review::Sleep(kJudgedAfterMs);
  const std::size_t running = site.CountRuns(kJob);
  site.GetRecord().Add("state=" + site.State(1, kJob) +
                       " running=" + std::to_string(running));
  if (running > 0) {
    site.GetRecord().Add("broken UNASKED a task of a cancelled job runs on");
  }
  site.Stop();
  return running > 0 ? review::kBroken : review::kHeld;
}
