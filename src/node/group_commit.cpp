#include "node/group_commit.h"

#include <algorithm>
#include <utility>

namespace hyssopspar::node {

namespace {

/// Time limit of one append. A caller waits for at most two: the one in flight
/// and the one with its records.
constexpr milliseconds kAppendTimeout{1500};
/// An append is sent only if at least this much time is left until the caller's
/// deadline. The answer to an append cut short would be unknown.
constexpr milliseconds kMinTimeForAppend{150};
/// Most records that wait for the next append; further ones are refused.
constexpr std::size_t kMaxWaitingRecords = 512;

}  // namespace

GroupCommit::GroupCommit(KeyedLog* log,
                         DecisionLoop* loop,
                         Partition partition,
                         const StoreLimits& limits)
    : m_log(log),
      m_loop(loop),
      m_partition(std::move(partition)),
      m_limits(limits) {}

void GroupCommit::Append(const std::vector<KeyedRecord>& records,
                         TimePoint deadline,
                         Callback done) {
  if (m_waiting_records + records.size() > kMaxWaitingRecords) {
    done(Fail(ErrorCode::kUnavailable, "too many records wait"));
    return;
  }
  m_waiting_records += records.size();
  m_waiting.push_back({records, deadline, std::move(done), false});
  if (!m_in_flight) {
    SendNext();
    return;
  }
  m_loop->PostAt(deadline - kMinTimeForAppend, [this] { FailExpired(); });
}

void GroupCommit::FailExpired() {
  const TimePoint latest = Clock::now() + kMinTimeForAppend;
  std::vector<Callback> expired;
  std::deque<Entry> kept;
  for (Entry& entry : std::exchange(m_waiting, {})) {
    if (entry.m_deadline <= latest) {
      m_waiting_records -= entry.m_records.size();
      expired.push_back(std::move(entry.m_done));
    } else {
      kept.push_back(std::move(entry));
    }
  }
  m_waiting = std::move(kept);
  for (const Callback& done : expired) {
    done(Fail(ErrorCode::kNotSent, "deadline passed before the append"));
  }
}

void GroupCommit::SendNext() {
  FailExpired();
  if (m_in_flight || m_waiting.empty()) {
    return;
  }
  std::vector<Entry> entries;
  std::vector<KeyedRecord> records;
  std::size_t bytes = 0;
  TimePoint latest_deadline = TimePoint::min();
  while (!m_waiting.empty()) {
    Entry& next = m_waiting.front();
    bytes += BytesOf(next.m_records);
    const bool alone = next.m_alone || (!entries.empty() && entries[0].m_alone);
    if (!entries.empty() && (alone || bytes > m_limits.m_max_batch_bytes)) {
      break;
    }
    m_waiting_records -= next.m_records.size();
    records.insert(records.end(), next.m_records.begin(), next.m_records.end());
    latest_deadline = std::max(latest_deadline, next.m_deadline);
    entries.push_back(std::move(next));
    m_waiting.pop_front();
  }
  m_in_flight = true;
  m_log->Append(
      m_partition, records, AppendGuard(),
      std::min(latest_deadline, Clock::now() + kAppendTimeout),
      [this, entries = std::move(entries)](const Result<Offset>& end) {
        m_loop->Post([this, entries, end] { OnAnswer(entries, end); });
      });
}

void GroupCommit::OnAnswer(std::vector<Entry> entries,
                           const Result<Offset>& end) {
  m_in_flight = false;
  const bool refused =
      !end && end.error().m_code == ErrorCode::kInvalidArgument;
  if (refused && entries.size() > 1) {
    for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
      entry->m_alone = true;
      m_waiting_records += entry->m_records.size();
      m_waiting.push_front(std::move(*entry));
    }
  } else {
    for (const Entry& entry : entries) {
      entry.m_done(end);
    }
  }
  if (!m_in_flight) {
    SendNext();
  }
}

}  // namespace hyssopspar::node
