/// \file
/// Stand-in for a minion, as PROTOCOL.md describes it. A task's `spec` tells
/// what its runs do: "work=MS" (0: it lasts), "fail=1", "failrun=N" (only run N
/// fails), "deadly=MS" (the minion crashes MS after the start), "saves=1".

#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http.h"
#include "record.h"
#include "store.h"

namespace review {

struct Size {
  std::int64_t m_cpu = 0;
  std::int64_t m_memory = 0;
};

struct MinionSettings {
  std::string m_id;
  std::string m_ip = "127.0.0.1";
  std::string m_zone = "east";
  std::string m_service = "pool";
  std::string m_kind = "a";
  std::string m_rack = "r1-1";
  Size m_capacity{64000, 256000};
  std::int64_t m_longest_lease_ms = 10000;
  std::int64_t m_stop_ms = 200;
  std::int64_t m_checkpoint_ms = 500;
  std::int64_t m_gang_ms = 3000;
  Millis m_tick{2};  ///< Between two looks at what has ended.
};

/// A run that has begun on a minion, as the checks of a case see it.
struct SeenRun {
  std::string m_task;
  std::uint32_t m_run = 0;
  std::string m_minion;
  int m_life = 0;
  std::string m_kind;        ///< Of the minion in that life.
  std::string m_checkpoint;  ///< With which it was started.
  std::int64_t m_began = 0;
  std::int64_t m_ended = -1;  ///< -1 while it runs.
  std::string m_how;          ///< Empty while it runs; "crashed" for a crash.
  /// The end was taken note of, and the lease had not lapsed since.
  bool m_noted = false;
};

/// All runs of a case.
class RunHistory {
 public:
  explicit RunHistory(Record* record) : m_record(record) {}

  std::size_t Begin(SeenRun run) {
    std::lock_guard<std::mutex> lock(m_mutex);
    run.m_began = m_record->Now();
    m_record->Add(
        "run-began task=" + run.m_task + " run=" + std::to_string(run.m_run) +
        " minion=" + run.m_minion + " life=" + std::to_string(run.m_life) +
        " kind=" + run.m_kind + " checkpoint=" + run.m_checkpoint);
    m_runs.push_back(std::move(run));
    return m_runs.size() - 1;
  }

  void End(std::size_t index, const std::string& how) {
    std::lock_guard<std::mutex> lock(m_mutex);
    SeenRun& run = m_runs[index];
    run.m_ended = m_record->Now();
    run.m_how = how;
    m_record->Add("run-ended task=" + run.m_task +
                  " run=" + std::to_string(run.m_run) +
                  " minion=" + run.m_minion + " how=" + how);
  }

  void Note(std::size_t index) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_runs[index].m_noted = true;
  }

  /// The runs from the one numbered \p first.
  std::vector<SeenRun> Runs(std::size_t first = 0) {
    std::lock_guard<std::mutex> lock(m_mutex);
    return {m_runs.begin() +
                static_cast<std::ptrdiff_t>(std::min(first, m_runs.size())),
            m_runs.end()};
  }

 private:
  Record* m_record;
  std::mutex m_mutex;
  std::vector<SeenRun> m_runs;
};

/// Which members of gangs are present, over all minions. Members belong
/// together when they carry the same run number and the same checkpoint.
class GangBoard {
 public:
  /// Adds a member to the gang \p key of \p size members.
  void Join(const std::string& key, std::size_t size) {
    std::lock_guard<std::mutex> lock(m_mutex);
    Gang& gang = m_gangs[key];
    if (++gang.m_members == size) {
      gang.m_complete = true;
      gang.m_complete_at = Clock::now();
    }
  }
  void Break(const std::string& key) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_gangs[key].m_broken = true;
  }
  bool IsBroken(const std::string& key) {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_gangs[key].m_broken;
  }
  /// Time for which all members have worked together; -1 before.
  std::int64_t WorkedMs(const std::string& key) {
    std::lock_guard<std::mutex> lock(m_mutex);
    const Gang& gang = m_gangs[key];
    return gang.m_complete ? std::chrono::duration_cast<Millis>(
                                 Clock::now() - gang.m_complete_at)
                                 .count()
                           : -1;
  }

 private:
  struct Gang {
    std::size_t m_members = 0;
    bool m_complete = false;
    bool m_broken = false;
    Clock::time_point m_complete_at;
  };

  std::mutex m_mutex;
  std::map<std::string, Gang> m_gangs;
};

class Minion {
 public:
  Minion(MinionSettings settings,
         Store* store,
         Record* record,
         RunHistory* history,
         GangBoard* gangs)
      : m_settings(std::move(settings)),
        m_store(store),
        m_record(record),
        m_history(history),
        m_gangs(gangs),
        m_server([this](const Request& r) { return Handle(r); }) {}

  ~Minion() { Crash(); }
  Minion(const Minion&) = delete;
  Minion& operator=(const Minion&) = delete;

  /// Begins a life: registers in the store and serves.
  bool Begin() {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      ++m_life;
      m_up = true;
      m_serving.store(true);
      m_began = Clock::now();
      m_born = std::chrono::duration_cast<Millis>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
      m_token = 0;
      m_lease = 0;
      m_end_count = 0;
      m_runs.clear();
      m_ends.clear();
      m_highest.clear();
      m_beats = 0;
      m_leaves_at.store(-1);
      m_wants_crash.store(false);
    }
    if (!m_server.Open(m_settings.m_ip)) {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_up = false;
      m_serving.store(false);
      return false;
    }
    WriteBeat();
    m_record->Add("minion-up id=" + m_settings.m_id + " life=" +
                  std::to_string(m_life) + " kind=" + m_settings.m_kind +
                  " cpu=" + std::to_string(m_settings.m_capacity.m_cpu));
    m_ticker = std::thread([this] { TickLoop(); });
    return true;
  }

  /// Ends the life without a word.
  void Crash() {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      if (!m_up) {
        return;
      }
      m_up = false;
      m_down_since = Clock::now();
      m_serving.store(false);
      for (auto& entry : m_runs) {
        m_history->End(entry.second.m_history_index, "crashed");
        BreakGang(entry.second);
      }
      m_runs.clear();
      m_ended.notify_all();
    }
    m_record->Add("minion-down id=" + m_settings.m_id);
    m_ticker.join();
    m_server.Close();
    while (m_late_orders.load() > 0) {
      std::this_thread::sleep_for(Millis(1));
    }
  }

  /// While set, calls reach the minion neither way.
  void SetCut(bool cut) {
    m_cut.store(cut);
    m_record->Add("minion-cut id=" + m_settings.m_id +
                  " cut=" + std::to_string(static_cast<int>(cut)));
  }
  void SilenceConnections() { m_server.SilenceConnections(); }
  /// While set, the minion doesn't write to the store.
  void SetMute(bool mute) { m_mute.store(mute); }
  /// This share of the orders gets no answer and is carried out later.
  void SetLate(int percent) { m_late_percent.store(percent); }
  /// Answers are held back for this time.
  void SetSlow(Millis delay) { m_delay_ms.store(delay.count()); }
  /// Reports that the minion leaves after \p left.
  void Drain(Millis left) {
    m_leaves_at.store(ClockMs() + left.count());
    WriteBeat();
  }
  /// True once a task has crashed the minion; it answers nothing more, and
  /// Crash is to be called.
  bool WantsCrash() const { return m_wants_crash.load(); }
  /// Time since the last report that the store has taken.
  Millis Silence() const {
    return std::chrono::duration_cast<Millis>(Clock::now() -
                                              m_last_beat.load());
  }
  bool IsDown() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return !m_up;
  }
  /// Time since the end of the last life.
  Millis DownFor() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return std::chrono::duration_cast<Millis>(Clock::now() - m_down_since);
  }
  /// Id of the next life.
  void SetId(const std::string& id) { m_settings.m_id = id; }
  void SetKind(const std::string& kind) { m_settings.m_kind = kind; }
  void SetCapacity(Size capacity) { m_settings.m_capacity = capacity; }

  const std::string& Id() const { return m_settings.m_id; }
  Size Capacity() const { return m_settings.m_capacity; }
  int Life() const { return m_life; }
  std::size_t CountRuns() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs.size();
  }
  bool Runs(const std::string& job) {
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& entry : m_runs) {
      if (entry.first.compare(0, job.size(), job) == 0) {
        return true;
      }
    }
    return false;
  }

 private:
  struct Run {
    std::uint32_t m_run = 0;
    std::int64_t m_began = 0;     ///< By the minion's clock.
    std::int64_t m_work = 0;      ///< 0: lasts.
    std::int64_t m_ends_at = -1;  ///< Of a stop; -1 without one.
    std::int64_t m_resumed = 0;   ///< Checkpoints of earlier runs.
    std::string m_gang;           ///< Key on the board; empty: no gang.
    bool m_fails = false;
    bool m_saves = false;
    std::int64_t m_crashes_at = -1;  ///< -1: never.
    std::size_t m_history_index = 0;
  };
  struct End {
    std::uint64_t m_number = 0;
    std::string m_task;
    std::uint32_t m_run = 0;
    std::string m_how;
    std::string m_saved;
    std::size_t m_history_index = 0;
    bool m_lease_lapsed = false;  ///< Since the end.
  };
  static constexpr std::size_t kMostEnds = 500;
  static constexpr Millis kBeat{1500};

  std::int64_t ClockMs() const {
    return std::chrono::duration_cast<Millis>(Clock::now() - m_began).count();
  }

  void WriteBeat() {
    if (m_mute.load()) {
      return;
    }
    const std::int64_t leaves_at = m_leaves_at.load();
    Json entry = {
        {"service", m_settings.m_service},
        {"address", m_server.Address()},
        {"zone", m_settings.m_zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", leaves_at < 0 ? "ready" : "draining"},
        {"coldRemainingMs", 0},
        {"capacity",
         {{"cpu", m_settings.m_capacity.m_cpu},
          {"memMb", m_settings.m_capacity.m_memory},
          {"gpu", 0}}},
        {"labels", Json::array({m_settings.m_kind, m_settings.m_rack})},
        {"clockMs", ClockMs()},
        {"born", m_born},
        {"sequence", ++m_beats}};
    if (leaves_at >= 0) {
      entry["remainingMs"] = std::max<std::int64_t>(0, leaves_at - ClockMs());
    }
    m_last_beat.store(Clock::now());
    m_store->Put("keyed.servers", m_settings.m_id, entry.dump());
  }

  void TickLoop() {
    Clock::time_point next_beat = Clock::now() + kBeat;
    while (true) {
      std::this_thread::sleep_for(m_settings.m_tick);
      {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_up) {
          return;
        }
        Advance();
      }
      if (Clock::now() >= next_beat) {
        next_beat += kBeat;
        WriteBeat();
      }
    }
  }

  /// Time for which the run has worked.
  std::int64_t WorkedMs(const Run& run) const {
    return run.m_gang.empty()
               ? ClockMs() - run.m_began
               : std::max<std::int64_t>(0, m_gangs->WorkedMs(run.m_gang));
  }

  void BreakGang(const Run& run) {
    if (!run.m_gang.empty()) {
      m_gangs->Break(run.m_gang);
    }
  }

  std::string Saved(const Run& run) const {
    const std::int64_t steps =
        run.m_saves ? run.m_resumed + WorkedMs(run) / m_settings.m_checkpoint_ms
                    : 0;
    if (steps == 0) {
      return "";
    }
    std::string text = std::to_string(steps);
    return std::string(16 - text.size(), '0') + text;
  }

  void EndRun(const std::string& task, const std::string& how) {
    const Run run = m_runs.at(task);
    m_ends.push_back({++m_end_count, task, run.m_run, how, Saved(run),
                      run.m_history_index, false});
    m_highest[task] = std::max(m_highest[task], run.m_run);
    m_runs.erase(task);
    if (how != "done") {
      BreakGang(run);
    }
    m_history->End(run.m_history_index, how);
    m_ended.notify_all();
  }

  void Advance() {
    const std::int64_t now = ClockMs();
    for (End& end : m_ends) {
      end.m_lease_lapsed = end.m_lease_lapsed || now > m_lease;
    }
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto& entry : m_runs) {
      const Run& run = entry.second;
      const std::int64_t left =
          run.m_work - run.m_resumed * m_settings.m_checkpoint_ms;
      const bool alone = !run.m_gang.empty() &&
                         m_gangs->WorkedMs(run.m_gang) < 0 &&
                         now > run.m_began + m_settings.m_gang_ms;
      if (now > m_lease) {
        ends.emplace_back(entry.first, "lapsed");
      } else if (!run.m_gang.empty() && m_gangs->IsBroken(run.m_gang)) {
        ends.emplace_back(entry.first, "broken");
      } else if (alone) {
        ends.emplace_back(entry.first, "alone");
      } else if (run.m_work > 0 && WorkedMs(run) >= left) {
        ends.emplace_back(entry.first, run.m_fails ? "failed" : "done");
      } else if (run.m_ends_at >= 0 && now >= run.m_ends_at) {
        ends.emplace_back(entry.first, "stopped");
      } else if (run.m_crashes_at >= 0 && now >= run.m_crashes_at) {
        m_serving.store(false);
        m_wants_crash.store(true);
      }
    }
    for (const auto& end : ends) {
      EndRun(end.first, end.second);
    }
  }

  Response Answer(int status, Json body) const {
    body["clockMs"] = ClockMs();
    body["born"] = m_born;
    Response response;
    response.m_status = status;
    response.m_body = body.dump();
    return response;
  }

  Response Handle(const Request& request) {
    if (m_cut.load()) {
      Response silent;
      silent.m_delivery = Delivery::kSilent;
      return silent;
    }
    const int late_percent = m_late_percent.load();
    if (late_percent > 0 && request.m_path != "/health" &&
        request.m_path != "/api/hold" && std::rand() % 100 < late_percent) {
      return CarryOutLater(request);
    }
    Response response = CarryOut(request);
    std::this_thread::sleep_for(Millis(m_delay_ms.load()));
    // A life that has ended answers nothing more.
    if (m_cut.load() || !m_serving.load()) {
      response.m_delivery = Delivery::kSilent;
    }
    return response;
  }

  /// Leaves the order unanswered and carries it out 2 to 12 s later, in the
  /// same life.
  Response CarryOutLater(const Request& request) {
    const int life = m_life;
    const Millis delay(2000 + std::rand() % 10000);
    ++m_late_orders;
    std::thread([this, request, life, delay] {
      const Clock::time_point due = Clock::now() + delay;
      while (Clock::now() < due && m_serving.load()) {
        std::this_thread::sleep_for(Millis(10));
      }
      if (m_serving.load() && m_life == life) {
        m_record->Add("late-order id=" + m_settings.m_id + " " +
                      request.m_path + " " + request.m_body);
        CarryOut(request);
      }
      --m_late_orders;
    }).detach();
    Response silent;
    silent.m_delivery = Delivery::kSilent;
    return silent;
  }

  Response CarryOut(const Request& request) {
    std::unique_lock<std::mutex> lock(m_mutex);
    if (!m_up) {
      Response silent;
      silent.m_delivery = Delivery::kSilent;
      return silent;
    }
    const auto expected = request.m_headers.find("x-expected-instance");
    if (expected != request.m_headers.end() &&
        expected->second != m_settings.m_id) {
      return Answer(421, Json::object());
    }
    if (request.m_path == "/health") {
      return Answer(200, Json::object());
    }
    const Json order = Json::parse(request.m_body, nullptr, false);
    if (!order.is_object()) {
      return Answer(400, Json::object());
    }
    Advance();
    const std::uint64_t token = order.value("fencingToken", std::uint64_t{0});
    if (token < m_token) {
      return Answer(409, {{"reason", "fence"}});
    }
    m_token = token;
    if (request.m_path == "/api/run-start") {
      return Start(order);
    }
    if (request.m_path == "/api/run-stop") {
      return Stop(order);
    }
    if (request.m_path == "/api/hold") {
      return Hold(order, &lock);
    }
    return Answer(request.m_path == "/api/pace" ? 200 : 404, Json::object());
  }

  static std::int64_t SpecField(const std::string& spec,
                                const std::string& name) {
    const std::size_t at = spec.find(name + "=");
    return at == std::string::npos
               ? 0
               : std::strtol(spec.c_str() + at + name.size() + 1, nullptr, 10);
  }

  void ExtendLease(std::int64_t until) {
    m_lease = std::max(
        m_lease, std::min(until, ClockMs() + m_settings.m_longest_lease_ms));
  }

  Response Start(const Json& order) {
    const std::string task = order.at("task").get<std::string>();
    const std::uint32_t number = order.at("run").get<std::uint32_t>();
    const std::int64_t until = order.at("deadlineMs").get<std::int64_t>();
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.m_run == number) {
      return Answer(200, Json::object());
    }
    if (until < ClockMs()) {
      return Answer(409, {{"reason", "late"}});
    }
    ExtendLease(until);
    if (running != m_runs.end() || number <= m_highest[task]) {
      return Answer(409, {{"reason", "old"}});
    }
    const std::string spec = order.value("spec", "");
    Run run;
    run.m_run = number;
    run.m_began = ClockMs();
    run.m_work = SpecField(spec, "work");
    run.m_fails = SpecField(spec, "fail") != 0 ||
                  SpecField(spec, "failrun") == std::int64_t{number};
    const std::int64_t deadly = SpecField(spec, "deadly");
    run.m_crashes_at = deadly > 0 ? run.m_began + deadly : -1;
    run.m_saves = SpecField(spec, "saves") != 0;
    const std::string checkpoint = order.value("checkpoint", "");
    run.m_resumed = std::strtol(checkpoint.c_str(), nullptr, 10);
    SeenRun seen;
    seen.m_task = task;
    seen.m_run = number;
    seen.m_minion = m_settings.m_id;
    seen.m_life = m_life;
    seen.m_kind = m_settings.m_kind;
    seen.m_checkpoint = checkpoint;
    const std::int64_t gang = SpecField(spec, "gang");
    if (gang > 0) {
      run.m_gang = task.substr(0, task.rfind('.')) + "/" +
                   std::to_string(number) + "/" + checkpoint;
      m_gangs->Join(run.m_gang, static_cast<std::size_t>(gang));
    }
    run.m_history_index = m_history->Begin(std::move(seen));
    m_runs[task] = run;
    return Answer(200, Json::object());
  }

  Response Stop(const Json& order) {
    const std::string task = order.at("task").get<std::string>();
    const std::uint32_t number = order.at("run").get<std::uint32_t>();
    const auto running = m_runs.find(task);
    if (running == m_runs.end()) {
      m_highest[task] = std::max(m_highest[task], number);
    } else if (running->second.m_run <= number &&
               running->second.m_ends_at < 0) {
      running->second.m_ends_at = ClockMs() + m_settings.m_stop_ms / 2;
    }
    return Answer(200, Json::object());
  }

  Response Hold(const Json& order, std::unique_lock<std::mutex>* lock) {
    const std::uint64_t acked = order.value("ackedUpto", std::uint64_t{0});
    while (!m_ends.empty() && m_ends.front().m_number <= acked) {
      const End& end = m_ends.front();
      m_record->Add("noted id=" + m_settings.m_id + " task=" + end.m_task +
                    " how=" + end.m_how + " lease-lapsed=" +
                    std::to_string(static_cast<int>(end.m_lease_lapsed)));
      if (!end.m_lease_lapsed) {
        m_history->Note(end.m_history_index);
      }
      m_ends.erase(m_ends.begin());
    }
    if (order.contains("deadlineMs")) {
      ExtendLease(order.at("deadlineMs").get<std::int64_t>());
    }
    const Millis wait(order.value("waitMs", std::int64_t{0}));
    const int life = m_life;
    m_ended.wait_for(*lock, wait, [&] {
      return !m_ends.empty() || !m_up || m_life != life;
    });
    Json running = Json::array();
    for (const auto& entry : m_runs) {
      const Run& run = entry.second;
      running.push_back(Json::array(
          {entry.first, run.m_run, Saved(run),
           run.m_work == 0
               ? 100
               : std::min<std::int64_t>(99, 100 * WorkedMs(run) / run.m_work),
           0}));
    }
    Json ended = Json::array();
    for (const End& end : m_ends) {
      if (ended.size() < kMostEnds) {
        ended.push_back(Json::array(
            {end.m_number, end.m_task, end.m_run, end.m_how, end.m_saved}));
      }
    }
    return Answer(200, {{"running", running}, {"ended", ended}});
  }

  MinionSettings m_settings;
  Store* m_store;
  Record* m_record;
  RunHistory* m_history;
  GangBoard* m_gangs;
  std::atomic<bool> m_cut{false};
  std::atomic<bool> m_mute{false};
  std::atomic<bool> m_serving{false};
  std::atomic<bool> m_wants_crash{false};
  std::atomic<std::int64_t> m_leaves_at{-1};  ///< By its clock; -1: stays.
  std::atomic<std::int64_t> m_delay_ms{0};
  std::atomic<Clock::time_point> m_last_beat{Clock::time_point()};
  std::atomic<int> m_late_percent{0};
  std::atomic<int> m_late_orders{0};
  std::mutex m_mutex;
  std::condition_variable m_ended;
  bool m_up = false;
  int m_life = 0;
  std::int64_t m_born = 0;
  Clock::time_point m_began;
  Clock::time_point m_down_since;
  std::uint64_t m_token = 0;
  std::int64_t m_lease = 0;  ///< By the minion's clock.
  std::uint64_t m_end_count = 0;
  std::uint64_t m_beats = 0;
  std::map<std::string, Run> m_runs;
  std::vector<End> m_ends;
  /// Highest run that was stopped or has ended, by task.
  std::map<std::string, std::uint32_t> m_highest;
  std::thread m_ticker;
  HttpServer m_server;
};

}  // namespace review
