/// \file
/// HTTP handlers of the simulated log service, with fault injection.

#pragma once

#include <list>
#include <mutex>
#include <random>
#include <string>

#include "hyssopspar/http_server.h"
#include "standin/delay_queue.h"
#include "standin/log_model.h"

namespace hyssopspar::standin {

/// Faults injected into the log; the defaults are a healthy log.
struct LogFaults {
  bool m_unavailable = false;  ///< Appends and reads get status 503.
  /// Probability that an append takes effect but is answered with 504.
  double m_answer_loss_probability = 0;
  milliseconds m_extra_delay{0};  ///< Added to the latency of appends.
};

class LogService {
 public:
  LogService(std::size_t max_stream_records,
             milliseconds append_delay,
             std::uint64_t seed,
             DelayQueue* delay_queue);

  /// Handles POST /v1/streams/NAME/records.
  void Append(const std::string& stream, HttpRequest request, HttpReply reply);

  /// Handles GET /v1/streams/NAME/records?from=&max=&wait_ms=. When there is
  /// no record at `from` or later, the response is delayed by up to `wait_ms`
  /// until one is appended.
  void Read(const std::string& stream,
            const HttpRequest& request,
            HttpReply reply);

  void SetFaults(const LogFaults& faults);
  LogFaults Faults() const;

  std::uint64_t AppendCount() const;
  std::uint64_t AppendedBytes() const;

 private:
  /// A long-polling read that waits for new records.
  struct WaitingRead {
    std::string m_stream;
    Offset m_from = 0;
    std::size_t m_max_records = 0;
    TimePoint m_deadline;
    HttpReply m_reply;
  };

  void AnswerRead(const std::string& stream,
                  Offset from,
                  std::size_t max_records,
                  const HttpReply& reply);
  /// Answers all reads that wait for \p stream.
  void AnswerWaitingReads(const std::string& stream);
  /// Answers all waiting reads whose deadline has passed.
  void AnswerExpiredReads();

  mutable std::mutex m_mutex;
  LogModel m_log;
  LogFaults m_faults;
  milliseconds m_append_delay;
  std::mt19937_64 m_random;
  std::list<WaitingRead> m_waiting_reads;
  DelayQueue* m_delay_queue;
};

}  // namespace hyssopspar::standin
