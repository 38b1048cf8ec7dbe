/// \file
/// One memory budget for all connections of the process: read buffers, headers,
/// bodies, and answers that wait for slow readers.

#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <vector>

#include "hyssopspar/resource_limits.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// Why a message or a connection was refused.
enum class ConnectionRefusal : std::uint8_t {
  kMemory,         ///< The budget has no room for a message.
  kGreediest,      ///< Closed, to make room for a smaller one.
  kConnections,    ///< Too many connections, all of them busy.
  kIdle,           ///< Closed while idle, to make room for a new one.
  kDescriptors,    ///< No descriptor was left for a new connection.
  kHeader,         ///< Header, trailers or a chunk extension too large.
  kBody,           ///< Body too large.
  kMalformed,      ///< Not a valid HTTP message.
  kSlowSender,     ///< The request was not complete in time.
  kSlowReader,     ///< The response was not taken in time.
  kAnswerTooLarge  ///< An answer to this process exceeds a limit.
};
inline constexpr std::size_t kConnectionRefusals = 11;

/// The memory that one connection holds, as its budget knows it.
struct ConnectionCharge {
  std::atomic<std::size_t> m_bytes{0};
  /// Closing the connection frees its memory, and does not abandon a request
  /// that a handler has received.
  std::atomic<bool> m_is_closable{false};
  /// Start of the wait for a complete request header, from the clock's epoch;
  /// zero while the connection has another state.
  std::atomic<Duration::rep> m_waiting_since{0};
  const void* m_server = nullptr;  ///< Null for connections of clients.
  /// Closes the connection soon. May be called from any thread.
  std::function<void()> m_close;

  // Under the mutex of the budget.
  bool m_is_closing = false;
  std::size_t m_closing_bytes = 0;
  std::list<ConnectionCharge*>::iterator m_position;
};

/// Safe to use from several threads.
class ConnectionBudget {
 public:
  /// The budget of this process.
  static ConnectionBudget& Process();

  void SetLimit(std::size_t bytes) { m_limit.store(bytes); }
  std::size_t Limit() const { return m_limit.load(); }
  std::size_t Used() const { return m_used.load(); }

  /// Each charge is added once, and removed before it is destroyed.
  void Add(ConnectionCharge* charge);
  void Remove(ConnectionCharge* charge);

  /// Changes what \p charge holds. Charges up to kFreeBytes are always
  /// admitted, so that small requests are served while the budget is used up.
  /// Beyond the limit, makes room by closing connections: for one of a server,
  /// those that hold more than it will; for one of a client, any of a server.
  /// Returns false, without a change, if that is not enough.
  bool TrySet(ConnectionCharge* charge, std::size_t bytes);

  /// Closes the connection of \p server that has waited longest for a request.
  /// Returns false if there is none.
  bool CloseLongestWaiting(const void* server);

  /// Closes all connections of \p server that have waited for a request since
  /// \p since or before, because the server stops.
  void CloseWaiting(const void* server, TimePoint since);

  /// Counts a refusal and logs at most one line per second for all.
  void Count(ConnectionRefusal reason);

  /// Metrics in the text exposition format.
  std::string Render() const;

  static constexpr std::size_t kFreeBytes = 8 << 10;

 private:
  bool MakeRoom(const ConnectionCharge& charge,
                std::size_t bytes,
                std::vector<std::function<void()>>* closes);
  ConnectionCharge* FindGreediest(const ConnectionCharge& charge,
                                  std::size_t bytes);

  std::atomic<std::size_t> m_limit{SIZE_MAX};
  std::atomic<std::size_t> m_used{0};
  std::array<std::atomic<std::uint64_t>, kConnectionRefusals> m_refusals{};
  std::atomic<Duration::rep> m_next_log_time{0};
  std::mutex m_mutex;
  std::list<ConnectionCharge*> m_charges;
  std::size_t m_closing_bytes = 0;  ///< Freed soon.
};

/// Sets the budget of the process to a quarter of the machine's memory, and at
/// least \p min_bytes.
void SetProcessBudget(const ResourceLimits& limits, std::size_t min_bytes);

}  // namespace hyssopspar
