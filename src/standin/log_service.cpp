#include "standin/log_service.h"

#include <charconv>
#include <utility>
#include <vector>

#include "hyssopspar/platform_codec.h"

namespace hyssopspar::standin {

namespace {

constexpr milliseconds kMaxLongPollWait{10000};
constexpr std::uint64_t kMaxRecordsPerRead = 10000;

/// Value of the query parameter \p key of \p target, or \p fallback when it is
/// absent. Empty when it is not an unsigned decimal number.
std::optional<std::uint64_t> QueryNumber(const std::string& target,
                                         const std::string& key,
                                         std::uint64_t fallback) {
  const std::string text = QueryParameterOr(target, key);
  if (text.empty()) {
    return fallback;
  }
  std::uint64_t value = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool is_number =
      parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return is_number ? std::optional<std::uint64_t>(value) : std::nullopt;
}

}  // namespace

LogService::LogService(std::size_t max_stream_records,
                       milliseconds append_delay,
                       std::uint64_t seed,
                       DelayQueue* delay_queue)
    : m_append_delay(append_delay), m_random(seed), m_delay_queue(delay_queue) {
  m_log.m_max_stream_records = max_stream_records;
}

void LogService::SetFaults(const LogFaults& faults) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_faults = faults;
}

LogFaults LogService::Faults() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_faults;
}

std::uint64_t LogService::AppendCount() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_log.m_append_count;
}

std::uint64_t LogService::AppendedBytes() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_log.m_appended_bytes;
}

void LogService::Append(const std::string& stream,
                        HttpRequest request,
                        HttpReply reply) {
  const LogFaults faults = Faults();
  if (faults.m_unavailable) {
    reply(ErrorResponse(503, "unavailable", "log down"));
    return;
  }
  const TimePoint when = Clock::now() + m_append_delay + faults.m_extra_delay;
  m_delay_queue->RunAt(when, [this, stream, request = std::move(request),
                              reply = std::move(reply)] {
    Offset offset = 0;
    bool answer_lost = false;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      offset = AppendRecord(&m_log, stream, request.m_body);
      std::bernoulli_distribution answer_loss(
          m_faults.m_answer_loss_probability);
      answer_lost = answer_loss(m_random);
    }
    AnswerWaitingReads(stream);
    reply(
        answer_lost
            ? ErrorResponse(504, "timeout", "answer lost")
            : JsonResponse(200, "{\"offset\":" + std::to_string(offset) + "}"));
  });
}

void LogService::Read(const std::string& stream,
                      const HttpRequest& request,
                      HttpReply reply) {
  const std::optional<std::uint64_t> from =
      QueryNumber(request.m_target, "from", 0);
  const std::optional<std::uint64_t> max =
      QueryNumber(request.m_target, "max", kMaxRecordsPerRead);
  const std::optional<std::uint64_t> wait =
      QueryNumber(request.m_target, "wait_ms", 0);
  if (!from || !max || !wait) {
    reply(ErrorResponse(400, "invalid-argument",
                        "from, max and wait_ms are whole numbers"));
    return;
  }
  std::unique_lock<std::mutex> lock(m_mutex);
  if (m_faults.m_unavailable) {
    lock.unlock();
    reply(ErrorResponse(503, "unavailable", "log down"));
    return;
  }
  const std::size_t max_records = std::min(*max, kMaxRecordsPerRead);
  const LogSlice slice = ReadRecords(m_log, stream, *from, 1);
  if (!slice.m_records.empty() || *wait == 0) {
    lock.unlock();
    AnswerRead(stream, *from, max_records, reply);
    return;
  }
  const milliseconds wait_limit =
      std::min(milliseconds(*wait), kMaxLongPollWait);
  const TimePoint deadline = Clock::now() + wait_limit;
  m_waiting_reads.push_back(
      WaitingRead{stream, *from, max_records, deadline, std::move(reply)});
  lock.unlock();
  m_delay_queue->RunAt(deadline, [this] { AnswerExpiredReads(); });
}

void LogService::AnswerRead(const std::string& stream,
                            Offset from,
                            std::size_t max_records,
                            const HttpReply& reply) {
  LogSlice slice;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    slice = ReadRecords(m_log, stream, from, max_records);
  }
  reply(JsonResponse(200, EncodeSlice(slice)));
}

void LogService::AnswerWaitingReads(const std::string& stream) {
  std::list<WaitingRead> ready;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    std::list<WaitingRead>::iterator it = m_waiting_reads.begin();
    while (it != m_waiting_reads.end()) {
      const std::list<WaitingRead>::iterator next = std::next(it);
      if (it->m_stream == stream) {
        ready.splice(ready.end(), m_waiting_reads, it);
      }
      it = next;
    }
  }
  for (const WaitingRead& read : ready) {
    AnswerRead(read.m_stream, read.m_from, read.m_max_records, read.m_reply);
  }
}

void LogService::AnswerExpiredReads() {
  const TimePoint now = Clock::now();
  std::list<WaitingRead> ready;
  bool unavailable = false;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    unavailable = m_faults.m_unavailable;
    std::list<WaitingRead>::iterator it = m_waiting_reads.begin();
    while (it != m_waiting_reads.end()) {
      const std::list<WaitingRead>::iterator next = std::next(it);
      if (it->m_deadline <= now) {
        ready.splice(ready.end(), m_waiting_reads, it);
      }
      it = next;
    }
  }
  for (const WaitingRead& read : ready) {
    if (unavailable) {
      read.m_reply(ErrorResponse(503, "unavailable", "log down"));
    } else {
      AnswerRead(read.m_stream, read.m_from, read.m_max_records, read.m_reply);
    }
  }
}

}  // namespace hyssopspar::standin
