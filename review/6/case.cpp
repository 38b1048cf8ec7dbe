// Thirty-six jobs are to run once a minute for a month. The owner keeps a
// record of each of their occurrences in memory, from the start, and outgrows
// the machine. The platform kills a process that exceeds its memory and starts
// it again; each next owner loads the same jobs. Checks that ordinary jobs that
// were accepted are completed.

#include <csignal>

#include <atomic>
#include <chrono>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "../../testsuite/platform/standin/site.h"

namespace {

using review::Json;

constexpr int kNodes = 3;
constexpr int kWorkers = 8;
/// limits.memoryMb of the site.
constexpr std::int64_t kMemoryMb = 260;
/// Time from the end of a process to its next start.
constexpr std::int64_t kRestartMs = 1000;
/// At most 44 in 4 s: 4.27 jobs a second of the kind, 2.6 times.
constexpr int kLargeJobs = 36;
constexpr std::int64_t kIntervalMs = 100;
constexpr int kMinutesOfMonth = 43200;
/// Occurrences of an ordinary job that is repeated, as in the site file.
constexpr int kOrdinaryRepeats = 8;
constexpr int kOrdinaryJobs = 3;
/// finish_s, and the time for which nothing may be running then.
constexpr std::int64_t kFinishMs = 14000;
constexpr std::int64_t kIdleMs = 3000;

/// Resident memory of the process; 0 if it has ended.
std::int64_t MemoryMb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.compare(0, 6, "VmRSS:") == 0) {
      return std::strtol(line.c_str() + 6, nullptr, 10) / 1024;
    }
  }
  return 0;
}

/// Plays the platform: kills processes that exceed their memory, and starts
/// processes that have ended.
class Keeper {
 public:
  explicit Keeper(review::Site* site) : m_site(site) {
    m_thread = std::thread([this] { Run(); });
  }
  ~Keeper() { Stop(); }
  Keeper(const Keeper&) = delete;
  Keeper& operator=(const Keeper&) = delete;

  void Stop() {
    m_running.store(false);
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }
  int Kills() const { return m_kills.load(); }

 private:
  void Run() {
    std::vector<std::int64_t> ended_at(kNodes, -1);
    while (m_running.load()) {
      const std::int64_t now = m_site->GetRecord().Now();
      for (int node = 0; node < kNodes; ++node) {
        std::int64_t& ended = ended_at[static_cast<std::size_t>(node)];
        if (ended >= 0) {
          if (now - ended >= kRestartMs) {
            m_site->StartNode(node);
            ended = -1;
          }
        } else if (m_site->HasEnded(node)) {
          ended = now;
        } else if (MemoryMb(m_site->Pid(node)) > kMemoryMb) {
          m_site->GetRecord().Add(
              "over-memory node=" + std::to_string(node) +
              " mb=" + std::to_string(MemoryMb(m_site->Pid(node))));
          m_site->Signal(node, SIGKILL);
          ++m_kills;
          ended = now;
        }
      }
      review::Sleep(10);
    }
  }

  review::Site* m_site;
  std::atomic<bool> m_running{true};
  std::atomic<int> m_kills{0};
  std::thread m_thread;
};

std::string IdOf(const std::string& prefix, int job) {
  const std::string number = std::to_string(job);
  return prefix + std::string(4 - number.size(), '0') + number;
}

Json JobOf() {
  return {{"spec", "work=800"},
          {"steps", Json::array({{{"count", 1},
                                  {"cpu", 4200},
                                  {"memMb", 840},
                                  {"estimateMs", 800}}})}};
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
  if (!site.StartNodes(kNodes)) {
    return review::kCouldNotRun;
  }
  review::Sleep(3000);
  Keeper keeper(&site);
  const std::int64_t start_at =
      std::chrono::duration_cast<review::Millis>(
          std::chrono::system_clock::now().time_since_epoch())
          .count() +
      60000;
  int accepted = 0;
  for (int i = 0; i < kLargeJobs; ++i) {
    Json job = JobOf();
    job["repeatCount"] =
        arguments.m_trouble ? kMinutesOfMonth : kOrdinaryRepeats;
    job["startAtMs"] = start_at;
    job["intervalMs"] = 60000;
    accepted += site.Submit(IdOf("5c0e7a21d94b", i), job) ? 1 : 0;
    review::Sleep(kIntervalMs);
  }
  std::vector<std::string> ordinary;
  for (int i = 0; i < kOrdinaryJobs; ++i) {
    const std::string id = IdOf("7777aaaabbbb", i);
    if (site.Submit(id, JobOf())) {
      ordinary.push_back(id);
    }
  }
  review::Sleep(kFinishMs + kIdleMs);
  int completed = 0;
  for (const std::string& id : ordinary) {
    std::string state;
    review::WaitFor(3000, [&] {
      for (int node = 0; node < kNodes && state.empty(); ++node) {
        state = site.State(node, id);
      }
      return !state.empty();
    });
    site.GetRecord().Add(std::string("job=").append(id).append(" state=") +
                         state);
    completed += state == "completed" ? 1 : 0;
  }
  keeper.Stop();
  site.GetRecord().Add("large-jobs-accepted=" + std::to_string(accepted) +
                       " ordinary-accepted=" + std::to_string(ordinary.size()) +
                       " ordinary-completed=" + std::to_string(completed) +
                       " killed-for-memory=" + std::to_string(keeper.Kills()));
  site.Stop();
  if (ordinary.empty()) {
    return review::kCouldNotRun;
  }
  return completed == static_cast<int>(ordinary.size()) ? review::kHeld
                                                        : review::kBroken;
}
