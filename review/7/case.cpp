// A worker loses power and starts again under its id and at its address before
// the owner notices. It accepts a start whose deadline is a time of its earlier
// clock, which is far ahead, so that its lease lasts for the longest time that
// the platform allows. Then it is cut off. Checks that no task runs on two
// workers at once.

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../../testsuite/platform/standin/site.h"

namespace {

using review::Json;
using review::Millis;

/// Beside the one that loses power, which is 0.125 of the workers.
constexpr int kOtherWorkers = 7;
/// At most 1.5 s.
constexpr Millis kDark{800};
constexpr Millis kTimeBeforeCut{400};
/// At most 5.5 s.
constexpr Millis kCut{5500};

/// Decodes base64 text.
std::string DecodeBase64(const std::string& text) {
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
      bytes += static_cast<char>((group >> static_cast<unsigned>(bits)) & 255U);
    }
  }
  return bytes;
}

/// Forwards connections to one address. Plays the network side of a machine
/// that loses power: its connections go silent without a word, connection
/// attempts wait until it is back, and what arrives on a connection of before
/// is reset.
class Relay {
 public:
  explicit Relay(std::string backend) : m_backend(std::move(backend)) {}
  ~Relay() { Close(); }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  bool Open() {
    m_listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = review::ParseAddress("127.0.0.1:0");
    socklen_t size = sizeof(address);
    if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(m_listener, 64) != 0) {
      return false;
    }
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    m_open.store(true);
    m_acceptor = std::thread([this] { Accept(); });
    return true;
  }

  const std::string& Address() const { return m_address; }

  void SetPower(bool on) {
    if (!on) {
      ++m_life;
    }
    m_powered.store(on);
  }

  void Close() {
    if (!m_open.exchange(false)) {
      return;
    }
    m_acceptor.join();
    close(m_listener);
    while (m_connections.load() > 0) {
      std::this_thread::sleep_for(Millis(5));
    }
  }

 private:
  static constexpr int kPollMs = 10;

  void Accept() {
    while (m_open.load()) {
      pollfd waiter{m_listener, POLLIN, 0};
      if (!m_powered.load()) {
        std::this_thread::sleep_for(Millis(kPollMs));
      } else if (poll(&waiter, 1, kPollMs) > 0) {
        const int client = accept(m_listener, nullptr, nullptr);
        ++m_connections;
        std::thread([this, client, life = m_life.load()] {
          Forward(client, life);
          --m_connections;
        }).detach();
      }
    }
  }

  static void Reset(int fd) {
    const linger reset{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(fd);
  }

  /// Passes on what has arrived at \p from. Returns false at its end.
  static bool Pass(int from, int to) {
    char bytes[65536];
    const ssize_t n = recv(from, bytes, sizeof(bytes), 0);
    return n > 0 &&
           review::SendAll(to, std::string(bytes, static_cast<std::size_t>(n)));
  }

  void Forward(int client, int life) {
    const int backend = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = review::ParseAddress(m_backend);
    if (connect(backend, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
      close(backend);
      Reset(client);
      return;
    }
    bool passing = true;
    while (passing && m_open.load() && m_life.load() == life) {
      pollfd waiters[2] = {{client, POLLIN, 0}, {backend, POLLIN, 0}};
      if (poll(waiters, 2, kPollMs) <= 0 || m_life.load() != life) {
        continue;
      }
      passing = (waiters[0].revents == 0 || Pass(client, backend)) &&
                (waiters[1].revents == 0 || Pass(backend, client));
    }
    close(backend);
    if (m_life.load() == life) {
      close(client);
      return;
    }
    // The machine that had this connection has lost power.
    pollfd waiter{client, POLLIN, 0};
    while (m_open.load() &&
           (!m_powered.load() || poll(&waiter, 1, kPollMs) == 0)) {
      std::this_thread::sleep_for(Millis(kPollMs));
    }
    Reset(client);
  }

  std::string m_backend;
  std::string m_address;
  int m_listener = -1;
  std::atomic<bool> m_open{false};
  std::atomic<bool> m_powered{true};
  std::atomic<int> m_life{0};
  std::atomic<int> m_connections{0};
  std::thread m_acceptor;
};

/// A worker behind a relay. It writes its entries to a store of its own, from
/// which they are copied with the relay's address, and a while later.
class RelayedWorker {
 public:
  RelayedWorker(const review::MinionSettings& settings,
                review::Site* site,
                review::GangBoard* gangs)
      : m_id(settings.m_id),
        m_site(site),
        m_minion(settings,
                 &m_entries,
                 &site->GetRecord(),
                 &site->History(),
                 gangs) {}
  ~RelayedWorker() { Stop(); }
  RelayedWorker(const RelayedWorker&) = delete;
  RelayedWorker& operator=(const RelayedWorker&) = delete;

  bool Start() {
    if (!m_entries.Open("127.0.0.1") || !m_minion.Begin()) {
      return false;
    }
    const Json entry = NewestEntry();
    m_relay = std::make_unique<Relay>(entry.value("address", ""));
    if (!m_relay->Open()) {
      return false;
    }
    Publish(entry);
    m_running.store(true);
    m_publisher = std::thread([this] { CopyEntries(); });
    return true;
  }

  void Stop() {
    if (!m_running.exchange(false)) {
      return;
    }
    m_publisher.join();
    m_minion.SetCut(false);
    m_relay->Close();
    m_minion.Crash();
    m_entries.Close();
  }

  /// The machine loses power and starts again after \p dark.
  void LosePower(Millis dark) {
    m_relay->SetPower(false);
    m_minion.Crash();
    std::this_thread::sleep_for(dark);
    m_minion.Begin();
    m_relay->SetPower(true);
  }

  review::Minion& GetMinion() { return m_minion; }

 private:
  /// Time until an entry that the worker writes is in the store: less than the
  /// interval between its entries, 1.5 s.
  static constexpr Millis kEntryDelay{1000};

  Json NewestEntry() {
    const review::Answer answer =
        review::Call(m_entries.Address(), "GET",
                     "/api/log-newest?topic=keyed.servers&part=0", "store", "",
                     Millis(1000));
    const Json page = Json::parse(answer.m_body, nullptr, false);
    if (!page.is_object() || page["items"].empty()) {
      return Json::object();
    }
    return Json::parse(
        DecodeBase64(page["items"][0]["value"].get<std::string>()), nullptr,
        false);
  }

  void Publish(Json entry) {
    entry["address"] = m_relay->Address();
    m_site->GetStore().Put("keyed.servers", m_id, entry.dump());
  }

  void CopyEntries() {
    while (m_running.load()) {
      const Json entry = NewestEntry();
      std::this_thread::sleep_for(kEntryDelay);
      if (entry.contains("address")) {
        Publish(entry);
      }
    }
  }

  std::string m_id;
  review::Site* m_site;
  review::Store m_entries;
  review::Minion m_minion;
  std::unique_ptr<Relay> m_relay;
  std::atomic<bool> m_running{false};
  std::thread m_publisher;
};

/// Longest time for which two runs of one task went on at once.
std::int64_t LongestOverlap(review::Site* site) {
  const std::vector<review::SeenRun> runs = site->History().Runs();
  const std::int64_t now = site->GetRecord().Now();
  std::int64_t longest = 0;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    for (std::size_t k = i + 1; k < runs.size(); ++k) {
      const std::int64_t first_end =
          runs[i].m_ended < 0 ? now : runs[i].m_ended;
      const std::int64_t second_end =
          runs[k].m_ended < 0 ? now : runs[k].m_ended;
      const std::int64_t overlap = std::min(first_end, second_end) -
                                   std::max(runs[i].m_began, runs[k].m_began);
      if (runs[i].m_task == runs[k].m_task && overlap > longest) {
        longest = overlap;
        site->GetRecord().Add("task=" + runs[i].m_task + " runs " +
                              std::to_string(runs[i].m_run) + " on " +
                              runs[i].m_minion + " and " +
                              std::to_string(runs[k].m_run) + " on " +
                              runs[k].m_minion + " overlap for " +
                              std::to_string(overlap) + " ms");
      }
    }
  }
  return longest;
}

}  // namespace

int main(int argc, char** argv) {
  review::CaseArguments arguments = review::ParseArguments(argc, argv);
  arguments.m_more_settings =
      "[placement]\nload_forecast = true\n"
      "[limits]\nmemory_mb = 260\nmax_fds = 4100\n";
  review::Site site(arguments);
  review::GangBoard gangs;
  review::MinionSettings settings;
  settings.m_id = "m-small";
  settings.m_capacity = {32000, 128000};
  // Tasks are packed on the smaller worker.
  RelayedWorker small(settings, &site, &gangs);
  if (!small.Start()) {
    return review::kCouldNotRun;
  }
  for (int i = 0; i < kOtherWorkers; ++i) {
    review::MinionSettings other;
    other.m_id = "m-large-" + std::to_string(i);
    other.m_rack = "r1-2";
    site.AddMinion(other);
  }
  site.WriteConfig(4);
  if (!site.StartNodes(2)) {
    return review::kCouldNotRun;
  }
  // The worker's clock is to be further than the longest lease, 10 s.
  review::Sleep(14000);
  if (arguments.m_trouble) {
    small.LosePower(kDark);
  }
  const std::string id = "5c0e7a21d94b36f8";
  const Json job = {{"spec", "work=0"},
                    {"steps", Json::array({{{"count", 2},
                                            {"cpu", 1000},
                                            {"memMb", 256},
                                            {"estimateMs", 900},
                                            {"longRunning", true}}})}};
  if (!site.Submit(id, job) ||
      !review::WaitFor(5000, [&] { return site.CountRuns(id) == 2; })) {
    return review::kCouldNotRun;
  }
  review::Sleep(kTimeBeforeCut.count());
  if (arguments.m_trouble) {
    small.GetMinion().SetCut(true);
  }
  review::Sleep(kCut.count());
  if (arguments.m_trouble) {
    small.GetMinion().SetCut(false);
  }
  review::Sleep(6000);
  site.Client(0, "DELETE", id, "");
  review::Sleep(1500);
  const std::int64_t overlap = LongestOverlap(&site);
  site.GetRecord().Add("longest overlap of two runs of a task: " +
                       std::to_string(overlap) + " ms");
  small.Stop();
  site.Stop();
  // Far more than the stand-in's tick of 2 ms.
  return overlap > 100 ? review::kBroken : review::kHeld;
}
