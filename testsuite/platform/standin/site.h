/// \file
/// A small deployment: the store and the minions as stand-ins in this process,
/// and nodes as processes started with the command of the deploy file.

#pragma once

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <csignal>

#include <algorithm>
#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http.h"
#include "minion.h"
#include "record.h"
#include "store.h"

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Arguments of a case: PROGRAM RECORD TEMPORARY_FOLDER TROUBLE.
struct CaseArguments {
  std::string m_program;
  std::string m_record;
  std::string m_folder;
  bool m_trouble = true;
  std::string m_more_settings;  ///< Appended to the settings of each node.
};

inline CaseArguments ParseArguments(int argc, char** argv) {
  CaseArguments arguments;
  if (argc != 5) {
    std::exit(kCouldNotRun);
  }
  arguments.m_program = argv[1];
  arguments.m_record = argv[2];
  arguments.m_folder = argv[3];
  arguments.m_trouble = std::string(argv[4]) != "0";
  return arguments;
}

inline void Sleep(std::int64_t millis) {
  std::this_thread::sleep_for(Millis(millis));
}

/// Waits for \p condition for up to \p millis.
template <class Condition>
bool WaitFor(std::int64_t millis, Condition condition) {
  const Clock::time_point deadline = Clock::now() + Millis(millis);
  while (Clock::now() < deadline) {
    if (condition()) {
      return true;
    }
    Sleep(20);
  }
  return condition();
}

class Site {
 public:
  explicit Site(const CaseArguments& arguments)
      : m_arguments(arguments),
        m_record(arguments.m_record),
        m_history(&m_record) {
    std::signal(SIGPIPE, SIG_IGN);
    if (!m_store.Open("127.0.0.1")) {
      std::exit(kCouldNotRun);
    }
  }

  ~Site() { Stop(); }
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  Store& GetStore() { return m_store; }
  Record& GetRecord() { return m_record; }
  RunHistory& History() { return m_history; }
  std::vector<std::unique_ptr<Minion>>& Minions() { return m_minions; }

  void AddMinion(const MinionSettings& settings) {
    m_minions.push_back(std::make_unique<Minion>(settings, &m_store, &m_record,
                                                 &m_history, &m_gangs));
    if (!m_minions.back()->Begin()) {
      std::exit(kCouldNotRun);
    }
  }

  /// Writes the configuration: one route /q/ to the service "pool".
  void WriteConfig(int max_attempts, int version = 7) {
    const Json config = {{"version", version},
                         {"routes", Json::array({{{"name", "r-q"},
                                                  {"host", "q.example"},
                                                  {"pathPrefix", "/q/"},
                                                  {"kind", "unsafe"},
                                                  {"timeoutMs", 3000},
                                                  {"targetLatencyMs", 250},
                                                  {"priority", 0},
                                                  {"service", "pool"},
                                                  {"maxAttempts", max_attempts},
                                                  {"stretch", 1.5}}})},
                         {"services", Json::array({{{"name", "pool"},
                                                    {"healthPath", "/health"},
                                                    {"maxConnections", 64},
                                                    {"protocol", "h1"},
                                                    {"tls", false},
                                                    {"coldStartS", 0.0},
                                                    {"coldPerS", 0.0},
                                                    {"admissionCheck", false},
                                                    {"standby", false}}})},
                         {"limits",
                          {{"maxHeaderBytes", 16384},
                           {"maxBodyBytes", 262144},
                           {"headerTimeoutMs", 3000},
                           {"idleTimeoutMs", 15000}}}};
    m_store.Put("keyed.op", "config", config.dump());
  }

  /// Gives each node an address of the store of its own, so that the store can
  /// tell its callers apart. Called before StartNodes.
  void SeparateCallers(int count) {
    for (int i = 0; i < count; ++i) {
      m_store_addresses.push_back(m_store.OpenFor("127.0.0.1", i));
    }
  }

  /// Starts \p count nodes at 127.0.0.11 and the following addresses, with the
  /// same ports, and waits until they are ready.
  bool StartNodes(int count) {
    for (int& port : m_ports) {
      port = FreePort();
    }
    for (int i = 0; i < count; ++i) {
      m_pids.push_back(0);
      WriteSettings(i, count);
      StartNode(i);
    }
    return WaitFor(15000, [&] {
      for (int i = 0; i < count; ++i) {
        if (Call(NodeIp(i) + ":" + std::to_string(m_ports[1]), "GET",
                 "/api/ready", "n", "", Millis(500))
                .m_status != 200) {
          return false;
        }
      }
      return true;
    });
  }

  void StartNode(int index) {
    const std::string settings = SettingsPath(index);
    const std::string log =
        m_arguments.m_folder + "/node-" + std::to_string(index) + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      for (int fd = 3; fd < 1024; ++fd) {
        close(fd);
      }
      execl(m_arguments.m_program.c_str(), m_arguments.m_program.c_str(),
            "--config", settings.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    m_pids[static_cast<std::size_t>(index)] = pid;
    m_record.Add("node-started index=" + std::to_string(index));
  }

  void Signal(int index, int signal) {
    m_record.Add("node-signal index=" + std::to_string(index) +
                 " signal=" + std::to_string(signal));
    pid_t& pid = m_pids[static_cast<std::size_t>(index)];
    kill(pid, signal);
    if (signal == SIGKILL) {
      waitpid(pid, nullptr, 0);
      pid = 0;
    }
  }

  pid_t Pid(int index) const { return m_pids[static_cast<std::size_t>(index)]; }
  std::string FrontAddress(int index) const {
    return NodeIp(index) + ":" + std::to_string(m_ports[0]);
  }

  /// True if the node's process has ended.
  bool HasEnded(int index) {
    pid_t& pid = m_pids[static_cast<std::size_t>(index)];
    if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid) {
      pid = 0;
    }
    return pid == 0;
  }

  /// A client's call to a node's front.
  Answer Client(int node,
                const std::string& method,
                const std::string& id,
                const std::string& body,
                std::int64_t timeout_ms = 3000) {
    const Answer answer =
        Call(NodeIp(node) + ":" + std::to_string(m_ports[0]), method,
             "/q/" + id, "q.example", body, Millis(timeout_ms));
    m_record.Add(
        "client " + method + " id=" + id + " node=" + std::to_string(node) +
        " status=" + std::to_string(answer.m_status) +
        " answer=" + answer.m_body + (method == "POST" ? " sent=" + body : ""));
    return answer;
  }

  /// Submits a job, with the client's four retries. True once it was accepted.
  bool Submit(const std::string& id, const Json& job) {
    for (int attempt = 0; attempt < 5; ++attempt) {
      if (Client(attempt % static_cast<int>(m_pids.size()), "POST", id,
                 job.dump())
              .m_status == 200) {
        return true;
      }
      Sleep(300);
    }
    return false;
  }

  /// Number of the job's runs that are going on.
  std::size_t CountRuns(const std::string& job) {
    std::size_t count = 0;
    for (const SeenRun& run : m_history.Runs()) {
      count += run.m_ended < 0 && IsTaskOf(run, job) ? 1 : 0;
    }
    return count;
  }

  static bool IsTaskOf(const SeenRun& run, const std::string& job) {
    return run.m_task.compare(0, job.size(), job) == 0;
  }

  /// State of the job as a client is told; "" without an answer.
  std::string State(int node, const std::string& id) {
    const Answer answer = Client(node, "GET", id, "");
    if (answer.m_status == 410) {
      return "410";
    }
    const Json body = Json::parse(answer.m_body, nullptr, false);
    return answer.m_status == 200 && body.is_object()
               ? body.value("state", std::string())
               : "";
  }

  void Stop() {
    for (const pid_t pid : m_pids) {
      if (pid > 0) {
        kill(pid, SIGCONT);
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
      }
    }
    m_pids.clear();
    for (const auto& minion : m_minions) {
      minion->Crash();
    }
    m_store.Close();
  }

  std::string NodeIp(int index) const {
    return "127.0.0." + std::to_string(11 + index);
  }

 private:
  static int FreePort() {
    HttpServer probe([](const Request&) { return Response(); });
    probe.Open("0.0.0.0");
    const std::string address = probe.Address();
    return std::atoi(address.substr(address.rfind(':') + 1).c_str());
  }

  std::string SettingsPath(int index) const {
    return m_arguments.m_folder + "/node-" + std::to_string(index) + ".toml";
  }

  std::string StoreAddress(int index) const {
    return m_store_addresses.empty()
               ? m_store.Address()
               : m_store_addresses.at(static_cast<std::size_t>(index));
  }

  /// Renders deploy/node.toml.in.
  void WriteSettings(int index, int count) const {
    std::string seeds;
    for (int i = 0; i < std::min(count, 3); ++i) {
      seeds +=
          (i > 0 ? "," : "") + NodeIp(i) + ":" + std::to_string(m_ports[3]);
    }
    const std::string ip = NodeIp(index);
    std::ofstream file(SettingsPath(index));
    file << "name = \"front-" << index << "\"\n"
         << "failure_domain = \"east\"\n"
         << "seeds = \"" << seeds << "\"\n"
         << "grace_ms = 6000\n"
         << "[listen]\n"
         << "front = \"" << ip << ":" << m_ports[0] << "\"\n"
         << "ready = \"" << ip << ":" << m_ports[1] << "\"\n"
         << "internal = \"" << ip << ":" << m_ports[2] << "\"\n"
         << "[store]\n"
         << "address = \"" << StoreAddress(index) << "\"\n"
         << "[workers]\n"
         << "longest_lease_ms = 10000\n"
         << "[machine]\n"
         << "cpu_share = 0.1\n"
         << "cores = 1\n"
         << m_arguments.m_more_settings;
  }

  CaseArguments m_arguments;
  Record m_record;
  RunHistory m_history;
  Store m_store;
  GangBoard m_gangs;
  std::vector<std::unique_ptr<Minion>> m_minions;
  std::vector<std::string> m_store_addresses;  ///< Empty: one for all nodes.
  std::vector<pid_t> m_pids;
  int m_ports[4] = {0, 0, 0, 0};  ///< Front, ready, internal, control.
};

}  // namespace review
