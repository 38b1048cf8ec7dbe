// A start gets no answer and is carried out seconds later, by the next life of
// its minion, while the task runs elsewhere. See claim.txt.

#include <memory>
#include <string>
#include <vector>

#include "../case-3.h"

namespace {

using review::Json;

constexpr int kMinions = 8;
constexpr const char* kLight = "00000000000000a1";
constexpr const char* kHeavy = "00000000000000a2";
constexpr const char* kJob = "00000000000000a3";

bool IsTaskOf(const std::string& task, const std::string& job) {
  return task.compare(0, job.size(), job) == 0;
}

Json LastingJob(int cpu, int memory) {
  Json job = review::MakeJob("work=0", 1, cpu, memory);
  job["steps"][0]["longRunning"] = true;
  return job;
}

bool Runs(review::Site* site, const std::string& job) {
  return site->CountRuns(job) == 1;
}

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
          return arguments.m_trouble &&
                 IsTaskOf(start.value("task", ""), kJob) &&
                 start.value("run", 0) == 1;
        }));
    if (!proxies.back()->Open()) {
      return review::kCouldNotRun;
    }
  }
  // The two lasting jobs don't fit one minion. The job goes to the minion with
  // the larger one.
  const bool ready =
      site.StartNodes(3) && site.Submit(kLight, LastingJob(4000, 200000)) &&
      review::WaitFor(5000, [&] { return Runs(&site, kLight); }) &&
      site.Submit(kHeavy, LastingJob(8000, 100000)) &&
      review::WaitFor(5000, [&] { return Runs(&site, kHeavy); });
  if (!ready) {
    return review::kCouldNotRun;
  }
  review::Sleep(1500);
  if (!site.Submit(kJob, review::MakeJob("work=12000", 1, 6000, 2000))) {
    return review::kCouldNotRun;
  }
  if (arguments.m_trouble) {
    review::MinionProxy* late = nullptr;
    review::WaitFor(3000, [&] {
      for (const auto& proxy : proxies) {
        late = proxy->HasHeldBack() ? proxy.get() : late;
      }
      return late != nullptr;
    });
    if (late == nullptr) {
      return review::kCouldNotRun;
    }
    const std::int64_t sent_at = site.GetRecord().Now();
    site.Client(1, "DELETE", kHeavy, "");
    const bool moved = review::WaitFor(9000, [&] { return Runs(&site, kJob); });
    if (!moved || late->GetMinion().Runs(kJob)) {
      return review::kCouldNotRun;
    }
    review::Sleep(800);
    late->Crash();
    review::Sleep(1000);
    if (!late->Restart()) {
      return review::kCouldNotRun;
    }
    late->DeliverHeldBack();
    site.GetRecord().Add("late by ms=" +
                         std::to_string(site.GetRecord().Now() - sent_at));
  }
  review::WaitFor(40000, [&] {
    review::Sleep(200);
    return site.State(1, kJob) == "completed";
  });
  review::Sleep(500);
  const std::vector<std::string> overlaps =
      review::FindOverlaps(site.History().Runs());
  for (const std::string& overlap : overlaps) {
    site.GetRecord().Add("broken TWICE " + overlap);
  }
  site.GetRecord().Add("state " + site.State(1, kJob));
  site.Stop();
  return overlaps.empty() ? review::kHeld : review::kBroken;
}
