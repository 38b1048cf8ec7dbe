#include "hyssopspar/connection_budget.h"

#include <malloc.h>

#include <algorithm>

#include "hyssopspar/logging.h"

namespace hyssopspar {

namespace {

constexpr const char* kLogComponent = "limits";
constexpr std::array<const char*, kConnectionRefusals> kRefusalNames = {
    "memory",          "greediest", "connections", "idle",        "descriptors",
    "header",          "body",      "malformed",   "slow-sender", "slow-reader",
    "answer-too-large"};
constexpr std::chrono::seconds kLogPeriod{1};
/// The rest is for the program itself, and for what handlers make of requests.
constexpr std::size_t kMemoryDivisor = 4;
/// Blocks of this size and above go back to the operating system when they are
/// freed. By default the C library raises its threshold to the largest block
/// freed so far, keeps such blocks, and a declared body that is reserved but
/// not yet received takes resident memory.
constexpr int kMapThreshold = 256 << 10;

}  // namespace

ConnectionBudget& ConnectionBudget::Process() {
  static ConnectionBudget budget;
  return budget;
}

void ConnectionBudget::Add(ConnectionCharge* charge) {
  std::lock_guard<std::mutex> lock(m_mutex);
  charge->m_position = m_charges.insert(m_charges.end(), charge);
}

void ConnectionBudget::Remove(ConnectionCharge* charge) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_charges.erase(charge->m_position);
  m_used.fetch_sub(charge->m_bytes.load());
  m_closing_bytes -= charge->m_closing_bytes;
}

bool ConnectionBudget::TrySet(ConnectionCharge* charge, std::size_t bytes) {
  const std::size_t before = charge->m_bytes.exchange(bytes);
  const std::size_t used = m_used.fetch_add(bytes - before) + bytes - before;
  if (bytes <= std::max(before, kFreeBytes) || used <= m_limit.load()) {
    return true;
  }
  std::vector<std::function<void()>> closes;
  const bool has_room = MakeRoom(*charge, bytes, &closes);
  if (!has_room) {
    charge->m_bytes.store(before);
    m_used.fetch_sub(bytes - before);
  }
  // Outside of the mutex, which the destructors of connections lock.
  for (const std::function<void()>& close : closes) {
    Count(ConnectionRefusal::kGreediest);
    close();
  }
  return has_room;
}

bool ConnectionBudget::MakeRoom(const ConnectionCharge& charge,
                                std::size_t bytes,
                                std::vector<std::function<void()>>* closes) {
  std::lock_guard<std::mutex> lock(m_mutex);
  while (m_used.load() > m_limit.load() + m_closing_bytes) {
    ConnectionCharge* const greediest = FindGreediest(charge, bytes);
    if (greediest == nullptr) {
      return false;
    }
    greediest->m_is_closing = true;
    greediest->m_closing_bytes = greediest->m_bytes.load();
    m_closing_bytes += greediest->m_closing_bytes;
    closes->push_back(greediest->m_close);
  }
  return true;
}

ConnectionCharge* ConnectionBudget::FindGreediest(
    const ConnectionCharge& charge,
    std::size_t bytes) {
  const bool is_client = charge.m_server == nullptr;
  ConnectionCharge* greediest = nullptr;
  std::size_t most = is_client ? kFreeBytes : std::max(bytes, kFreeBytes);
  for (ConnectionCharge* other : m_charges) {
    const std::size_t held = other->m_bytes.load();
    if (other != &charge && other->m_is_closable.load() &&
        !other->m_is_closing && held > most) {
      greediest = other;
      most = held;
    }
  }
  return greediest;
}

bool ConnectionBudget::CloseLongestWaiting(const void* server) {
  std::function<void()> close;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    ConnectionCharge* longest = nullptr;
    Duration::rep since = Clock::now().time_since_epoch().count();
    for (ConnectionCharge* charge : m_charges) {
      const Duration::rep waiting = charge->m_waiting_since.load();
      if (charge->m_server == server && !charge->m_is_closing && waiting > 0 &&
          waiting < since) {
        longest = charge;
        since = waiting;
      }
    }
    if (longest == nullptr) {
      return false;
    }
    longest->m_is_closing = true;
    close = longest->m_close;
  }
  Count(ConnectionRefusal::kIdle);
  close();
  return true;
}

void ConnectionBudget::CloseWaiting(const void* server, TimePoint since) {
  std::vector<std::function<void()>> closes;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const ConnectionCharge* charge : m_charges) {
      const Duration::rep waiting = charge->m_waiting_since.load();
      if (charge->m_server == server && waiting > 0 &&
          waiting <= since.time_since_epoch().count()) {
        closes.push_back(charge->m_close);
      }
    }
  }
  for (const std::function<void()>& close : closes) {
    close();
  }
}

void ConnectionBudget::Count(ConnectionRefusal reason) {
  const std::size_t index = static_cast<std::size_t>(reason);
  const std::uint64_t count = m_refusals[index].fetch_add(1) + 1;
  const Duration::rep now = Clock::now().time_since_epoch().count();
  Duration::rep next = m_next_log_time.load();
  if (now >= next && m_next_log_time.compare_exchange_strong(
                         next, now + Duration(kLogPeriod).count())) {
    Log(kLogComponent)
        ->warn("refused reason={} total={} used_bytes={} limit_bytes={}",
               kRefusalNames[index], count, m_used.load(), m_limit.load());
  }
}

std::string ConnectionBudget::Render() const {
  std::string text = "hyssopspar_connection_memory_bytes " +
                     std::to_string(m_used.load()) +
                     "\nhyssopspar_connection_memory_limit_bytes " +
                     std::to_string(m_limit.load()) + "\n";
  for (std::size_t i = 0; i < kConnectionRefusals; ++i) {
    text += "hyssopspar_connection_refusals_total{reason=\"" +
            std::string(kRefusalNames[i]) + "\"} " +
            std::to_string(m_refusals[i].load()) + "\n";
  }
  return text;
}

void SetProcessBudget(const ResourceLimits& limits, std::size_t min_bytes) {
#ifdef M_MMAP_THRESHOLD
  mallopt(M_MMAP_THRESHOLD, kMapThreshold);
#endif
  ConnectionBudget::Process().SetLimit(
      std::max(EffectiveMemory(limits) / kMemoryDivisor, min_bytes));
}

}  // namespace hyssopspar
