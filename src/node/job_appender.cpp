#include "node/job_appender.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/logging.h"

namespace hyssopspar::node {

namespace {

constexpr const char* kLogPart = "front";
/// Limit of one append, and pause before the next after one that failed.
constexpr milliseconds kAppendLimit{1200};
constexpr milliseconds kRetryPause{80};
/// Requests in one append, so that it stays below the store's limit.
constexpr std::size_t kBatch = 64;
/// A request with less time left is not sent again.
constexpr milliseconds kLeastTime{300};

}  // namespace

JobAppender::JobAppender(KeyedLog* log, DecisionLoop* loop, Partition partition)
    : m_log(log), m_loop(loop), m_partition(std::move(partition)) {}

void JobAppender::Store(KeyedRecord record,
                        TimePoint deadline,
                        std::function<void(StoreOutcome)> done) {
  m_waiting.push_back({std::move(record), deadline, false, std::move(done)});
  if (!m_in_flight) {
    SendNext();
  }
}

void JobAppender::SendNext() {
  if (m_waiting.empty()) {
    return;
  }
  const std::size_t count = std::min(kBatch, m_waiting.size());
  const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<Entry> entries(std::make_move_iterator(m_waiting.begin()),
                             std::make_move_iterator(end));
  m_waiting.erase(m_waiting.begin(), end);
  std::vector<KeyedRecord> records;
  TimePoint last = TimePoint::min();
  for (const Entry& entry : entries) {
    records.push_back(entry.m_record);
    last = std::max(last, entry.m_deadline);
  }
  m_in_flight = true;
  const TimePoint sent = Clock::now();
  m_log->Append(
      m_partition, records, AppendGuard(), std::min(last, sent + kAppendLimit),
      [this, sent, entries = std::move(entries)](Result<Offset> offset) {
        m_loop->Post([this, sent, entries, offset = std::move(offset)] {
          OnAnswer(entries, sent, offset);
        });
      });
}

void JobAppender::OnAnswer(std::vector<Entry> entries,
                           TimePoint sent,
                           const Result<Offset>& end) {
  m_in_flight = false;
  const TimePoint now = Clock::now();
  if (end) {
    for (const Entry& entry : entries) {
      Log(kLogPart)->info("stored key={} offset_end={} took_ms={}",
                          entry.m_record.m_key, end.value(),
                          ToMillis(now - sent));
      entry.m_done(StoreOutcome::kStored);
    }
    SendNext();
    return;
  }
  const ErrorCode code = end.error().m_code;
  const bool maybe =
      code != ErrorCode::kNotSent && code != ErrorCode::kUnavailable;
  for (Entry& entry : entries) {
    entry.m_maybe_stored = entry.m_maybe_stored || maybe;
    if (entry.m_deadline - now < kLeastTime) {
      GiveUp(entry, end.error());
    } else {
      m_waiting.push_back(std::move(entry));
    }
  }
  // Nothing is sent in the pause, also not what arrives in it.
  m_in_flight = true;
  m_loop->PostAt(now + kRetryPause, [this] {
    m_in_flight = false;
    SendNext();
  });
}

void JobAppender::GiveUp(const Entry& entry, const Error& error) {
  Log(kLogPart)->warn("not-stored key={} known={} error={}",
                      entry.m_record.m_key, !entry.m_maybe_stored,
                      ToString(error));
  entry.m_done(entry.m_maybe_stored ? StoreOutcome::kUnknown
                                    : StoreOutcome::kNotStored);
}

}  // namespace hyssopspar::node
