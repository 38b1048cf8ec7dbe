/// \file
/// What the scripted cases of this review share: proxies in front of minions,
/// and a small deployment of minions behind them.

#pragma once

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../testsuite/platform/standin/site.h"

namespace review {

/// Passes calls on to one minion, and writes the minion's entries, which name
/// the proxy's address. It can hold back a start: the caller gets no answer,
/// and the driver of the case delivers the call later.
class MinionProxy {
 public:
  using HoldBack = std::function<bool(const Json& start)>;

  MinionProxy(const MinionSettings& settings, Site* site, HoldBack hold_back)
      : m_settings(settings),
        m_site(site),
        m_hold_back(std::move(hold_back)),
        m_server([this](const Request& r) { return Pass(r); }) {
    m_site->AddMinion(settings);
    m_minion = m_site->Minions().back().get();
    m_minion->SetMute(true);
  }

  ~MinionProxy() {
    m_stopping.store(true);
    if (m_beats.joinable()) {
      m_beats.join();
    }
    m_server.Close();
  }
  MinionProxy(const MinionProxy&) = delete;
  MinionProxy& operator=(const MinionProxy&) = delete;

  /// Opens the proxy. Called once.
  bool Open() {
    m_address = MinionAddress();
    if (m_address.empty() || !m_server.Open("127.0.0.1")) {
      return false;
    }
    WriteEntry();
    m_beats = std::thread([this] {
      while (!m_stopping.load()) {
        for (int i = 0; i < 75 && !m_stopping.load(); ++i) {
          Sleep(20);
        }
        WriteEntry();
      }
    });
    return true;
  }

  Minion& GetMinion() { return *m_minion; }
  const std::string& Id() const { return m_settings.m_id; }

  void Crash() {
    m_minion->Crash();
    m_server.CloseConnections();
  }

  /// While set, connections are reset, and the minion's entries don't reach the
  /// store.
  void SetCut(bool cut) {
    m_cut.store(cut);
    m_site->GetRecord().Add("cut id=" + Id() + " cut=" + (cut ? "1" : "0"));
    if (cut) {
      m_server.CloseConnections();
    } else {
      WriteEntry();
    }
  }

  /// Number of stops that the minion has acknowledged.
  int StopsPassed() const { return m_stops_passed.load(); }

  /// Begins another life of the minion under the same id.
  bool Restart() {
    if (!m_minion->Begin()) {
      return false;
    }
    WriteEntry();
    return true;
  }

  /// Delivers the start that was held back, as it was sent.
  Answer DeliverHeldBack() {
    const std::string body = [this] {
      std::lock_guard<std::mutex> lock(m_mutex);
      return m_held_back;
    }();
    const Answer answer = Call(m_address, "POST", "/api/run-start", m_address,
                               body, Millis(1000));
    m_site->GetRecord().Add("late-delivery id=" + Id() + " status=" +
                            std::to_string(answer.m_status) + " " + body);
    return answer;
  }

  bool HasHeldBack() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return !m_held_back.empty();
  }

 private:
  /// The minion's own address, from the entry that it wrote when it began.
  std::string MinionAddress() const {
    const Answer page = Call(m_site->GetStore().Address(), "GET",
                             "/api/log-newest?topic=keyed.servers&part=0",
                             "store", "", Millis(2000));
    const Json body = Json::parse(page.m_body, nullptr, false);
    for (const Json& item : body.value("items", Json::array())) {
      if (item.value("key", "") == m_settings.m_id) {
        const Json entry =
            Json::parse(FromBase64(item.value("value", "")), nullptr, false);
        return entry.value("address", "");
      }
    }
    return "";
  }

  static std::string FromBase64(const std::string& text) {
    static const std::string kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
      const std::size_t digit = kDigits.find(c);
      if (digit == std::string::npos) {
        break;
      }
      group = group << 6U | static_cast<std::uint32_t>(digit);
      bits += 6;
      if (bits >= 8) {
        bits -= 8;
        bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
      }
    }
    return bytes;
  }

  /// Writes the entry of the present life, if there is one.
  void WriteEntry() {
    if (m_cut.load()) {
      return;
    }
    const Answer health =
        Call(m_address, "GET", "/health", m_address, "", Millis(500));
    const Json said = Json::parse(health.m_body, nullptr, false);
    if (health.m_status != 200 || !said.is_object()) {
      return;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    const Json entry = {{"service", m_settings.m_service},
                        {"address", m_server.Address()},
                        {"zone", m_settings.m_zone},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"coldRemainingMs", 0},
                        {"capacity",
                         {{"cpu", m_settings.m_capacity.m_cpu},
                          {"memMb", m_settings.m_capacity.m_memory},
                          {"gpu", 0}}},
                        {"labels", {m_settings.m_kind, m_settings.m_rack}},
                        {"clockMs", said.value("clockMs", 0)},
                        {"born", said.value("born", std::int64_t{0})},
                        {"sequence", ++m_sequence}};
    m_site->GetStore().Put("keyed.servers", m_settings.m_id, entry.dump());
  }

  Response Pass(const Request& request) {
    Response response;
    if (m_cut.load()) {
      response.m_delivery = Delivery::kReset;
      return response;
    }
    if (request.m_path == "/api/run-start" && HoldBackStart(request)) {
      response.m_delivery = Delivery::kSilent;
      return response;
    }
    const auto expected = request.m_headers.find("x-expected-instance");
    if (expected != request.m_headers.end() &&
        expected->second != m_settings.m_id) {
      response.m_status = 421;
      return response;
    }
    const Answer answer = Call(m_address, request.m_method, request.m_path,
                               m_address, request.m_body, Millis(4000));
    if (answer.m_status == 0 || m_cut.load()) {
      response.m_delivery = Delivery::kReset;
      return response;
    }
    if (request.m_path == "/api/run-stop" && answer.m_status == 200) {
      ++m_stops_passed;
    }
    response.m_status = answer.m_status;
    response.m_body = answer.m_body;
    return response;
  }

  bool HoldBackStart(const Request& request) {
    const Json start = Json::parse(request.m_body, nullptr, false);
    std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_held_back.empty() || !start.is_object() || !m_hold_back(start)) {
      return false;
    }
    m_held_back = request.m_body;
    m_site->GetRecord().Add("start-held-back id=" + Id() + " " + m_held_back);
    return true;
  }

  MinionSettings m_settings;
  Site* m_site;
  HoldBack m_hold_back;
  Minion* m_minion = nullptr;
  std::string m_address;
  std::mutex m_mutex;
  std::string m_held_back;
  int m_sequence = 0;
  std::atomic<bool> m_cut{false};
  std::atomic<int> m_stops_passed{0};
  std::atomic<bool> m_stopping{false};
  std::thread m_beats;
  HttpServer m_server;
};

/// Settings of deploy/node.toml.in that Site leaves out.
inline constexpr const char* kMoreSettings =
    "[placement]\nload_forecast = true\n[tenants]\nconfig_limit_ms = 2000\n";

/// A job of one step.
inline Json MakeJob(const std::string& spec, int count, int cpu, int memory) {
  return {{"spec", spec},
          {"steps", Json::array({{{"count", count},
                                  {"cpu", cpu},
                                  {"memMb", memory},
                                  {"estimateMs", 1000}}})}};
}

/// Pairs of runs of one task that went on at the same time.
inline std::vector<std::string> FindOverlaps(const std::vector<SeenRun>& runs) {
  std::vector<std::string> overlaps;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      const SeenRun& earlier = runs[j];
      const SeenRun& later = runs[i];
      if (earlier.m_task == later.m_task &&
          (earlier.m_ended < 0 || earlier.m_ended > later.m_began)) {
        overlaps.push_back(
            later.m_task + " run " + std::to_string(earlier.m_run) + " on " +
            earlier.m_minion + " and run " + std::to_string(later.m_run) +
            " on " + later.m_minion + " at " + std::to_string(later.m_began));
      }
    }
  }
  return overlaps;
}

}  // namespace review
