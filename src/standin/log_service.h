/// \file
/// HTTP form of the log, with switches for its faults.

#pragma once

#include <list>
#include <mutex>
#include <random>
#include <string>

#include "hyssopspar/http_server.h"
#include "standin/delay_queue.h"
#include "standin/log_model.h"

namespace hyssopspar::standin {

/// Faults of the log that can be switched on and off.
struct LogFaults {
  bool m_down = false;        ///< Every call is answered with 503.
  double m_lose_answers = 0;  ///< Share of appends answered 504 after effect.
  milliseconds m_extra_delay{0};
};

class LogService {
 public:
  LogService(std::size_t retention,
             milliseconds append_delay,
             std::uint64_t seed,
             DelayQueue* delays);

  /// POST /v1/streams/NAME/records
  void Append(const std::string& stream, HttpRequest request, HttpReply reply);

  /// GET /v1/streams/NAME/records?from=&max=&wait_ms=
  void Read(const std::string& stream,
            const HttpRequest& request,
            HttpReply reply);

  void SetFaults(const LogFaults& faults);
  LogFaults Faults() const;

  std::uint64_t Appends() const;
  std::uint64_t Bytes() const;

 private:
  struct Waiter {
    std::string m_stream;
    Offset m_from = 0;
    std::size_t m_max = 0;
    TimePoint m_deadline;
    HttpReply m_reply;
  };

  void Answer(const std::string& stream,
              Offset from,
              std::size_t max,
              const HttpReply& reply);
  void Wake(const std::string& stream);
  void Expire();

  mutable std::mutex m_mutex;
  LogModel m_log;
  LogFaults m_faults;
  milliseconds m_append_delay;
  std::mt19937_64 m_random;
  std::list<Waiter> m_waiters;
  DelayQueue* m_delays;
};

}  // namespace hyssopspar::standin
