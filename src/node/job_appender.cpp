#include "node/job_appender.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/logging.h"

namespace hyssopspar::node {

namespace {

constexpr const char* kLogComponent = "front";
/// Time limit of one append, and delay before the next one after a failure.
constexpr milliseconds kAppendTimeout{800};
constexpr milliseconds kRetryDelay{80};
/// Time limit of one append to a slow store. The owner, which then relays it,
/// may need two appends: the one in flight and the one with these records.
constexpr milliseconds kSlowAppendTimeout{1800};
/// When an append has been in flight for this long, waiting requests that are
/// certainly not in the store are rejected, since they would only wait longer.
constexpr milliseconds kRejectUnstoredAfter{500};
/// A request whose outcome is unknown is retried until this long after its
/// arrival.
constexpr milliseconds kUnknownRetryPeriod{1200};
/// Most requests, and bytes of several requests, in one append; also relayed
/// appends stay below the size limits.
constexpr std::size_t kMaxRequestsPerAppend = 64;
constexpr std::size_t kMaxBytesPerAppend = 524288;
/// A request is retried only if at least this much time is left until its
/// deadline.
constexpr milliseconds kMinTimeForRetry{300};
/// Same for the first append of a request that had to wait, while the store is
/// not slow. A shorter append would often end unknown.
constexpr milliseconds kMinTimeForAppend{150};

}  // namespace

JobAppender::JobAppender(KeyedLog* log,
                         DecisionLoop* loop,
                         Partition partition,
                         PeerStore* peer_store,
                         const StoreLimits& limits,
                         std::function<std::string()> owner_address)
    : m_log(log),
      m_loop(loop),
      m_partition(std::move(partition)),
      m_limits(limits),
      m_peer_store(peer_store),
      m_owner_address(std::move(owner_address)),
      m_peer_commit(log, loop, m_partition, limits) {}

void JobAppender::StoreForPeer(const std::vector<KeyedRecord>& records,
                               TimePoint deadline,
                               std::function<void(Result<Offset>)> done) {
  if (m_path_status.m_store_unreachable) {
    done(Fail(ErrorCode::kUnavailable, "the store can't be reached"));
    return;
  }
  m_peer_commit.Append(records, deadline, std::move(done));
}

void JobAppender::Send(const std::vector<KeyedRecord>& records,
                       TimePoint deadline,
                       std::function<void(Result<Offset>)> done) {
  const TimePoint sent = Clock::now();
  const std::string owner = m_owner_address();
  const StoreRoute route = ChooseRoute(m_path_status, !owner.empty(),
                                       m_peer_store->HasPeers(), sent);
  const auto finish = [this, route, sent,
                       done = std::move(done)](const Result<Offset>& end) {
    const StorePathStatus before = m_path_status;
    // A refusal is an answer of the store: it is in reach.
    const bool reached =
        end || end.error().m_code == ErrorCode::kInvalidArgument;
    RecordAppendResult(&m_path_status, route, reached, sent, Clock::now());
    m_failing_since =
        reached ? TimePoint::max() : std::min(m_failing_since, sent);
    if (before.m_store_unreachable != m_path_status.m_store_unreachable ||
        before.m_slow != m_path_status.m_slow) {
      Log(kLogComponent)
          ->info("store-path ok={} slow={}", !m_path_status.m_store_unreachable,
                 m_path_status.m_slow);
    }
    done(end);
  };
  if (route != StoreRoute::kDirect) {
    m_peer_store->Append(route == StoreRoute::kOwner ? owner : "", records,
                         deadline, finish);
    return;
  }
  m_log->Append(m_partition, records, AppendGuard(), deadline,
                [this, finish](Result<Offset> end) {
                  m_loop->Post([finish, end = std::move(end)] { finish(end); });
                });
}

void JobAppender::Store(KeyedRecord record,
                        TimePoint deadline,
                        std::function<void(StoreOutcome)> done) {
  Entry entry{
      std::move(record), deadline, Clock::now() + kUnknownRetryPeriod, false,
      std::move(done),   false};
  if (m_stopped) {
    Abandon(entry, {ErrorCode::kNotSent, "the node stops"});
    return;
  }
  if (deadline - Clock::now() < kMinTimeForAppend) {
    Abandon(entry, {ErrorCode::kNotSent, "deadline passed before the append"});
    return;
  }
  // While all routes to the store fail, only one append at a time probes it.
  if (m_in_flight && m_path_status.m_store_unreachable &&
      m_path_status.m_relay_failed) {
    Abandon(entry, {ErrorCode::kUnavailable,
                    "store unreachable directly and through other nodes"});
    return;
  }
  m_waiting.push_back(std::move(entry));
  if (!m_in_flight) {
    SendNext();
  } else {
    WatchDeadline(m_waiting.back());
  }
}

milliseconds JobAppender::MinTimeForAppend() const {
  return m_path_status.m_slow ? kMinTimeForRetry : kMinTimeForAppend;
}

void JobAppender::WatchDeadline(const Entry& entry) {
  const TimePoint expires =
      entry.m_deadline -
      (entry.m_maybe_stored ? milliseconds(0) : MinTimeForAppend());
  if (expires <= m_in_flight_until + kRetryDelay) {
    m_loop->PostAt(expires, [this] { AnswerExpired(); });
  }
}

void JobAppender::AnswerExpired() {
  const TimePoint now = Clock::now();
  // With no append in flight a request is sent also to a slow store: it shows
  // whether the store is still slow.
  const milliseconds needed_to_send =
      m_in_flight ? MinTimeForAppend() : kMinTimeForAppend;
  std::vector<Entry> kept;
  std::vector<Entry> expired;
  for (Entry& entry : m_waiting) {
    const milliseconds needed =
        entry.m_maybe_stored ? milliseconds(0) : needed_to_send;
    (entry.m_deadline - now <= needed ? expired : kept)
        .push_back(std::move(entry));
  }
  m_waiting = std::move(kept);
  for (const Entry& entry : expired) {
    Abandon(entry, {ErrorCode::kNotSent, "deadline passed before the append"});
  }
}

void JobAppender::Stop() {
  m_stopped = true;
  for (const Entry& entry : std::exchange(m_waiting, {})) {
    Abandon(entry, {ErrorCode::kNotSent, "the node stops"});
  }
}

void JobAppender::SendNext() {
  AnswerExpired();
  if (m_waiting.empty()) {
    return;
  }
  std::vector<Entry> entries = TakeNextEntries();
  std::vector<KeyedRecord> records;
  TimePoint latest_deadline = TimePoint::min();
  for (const Entry& entry : entries) {
    records.push_back(entry.m_record);
    latest_deadline = std::max(latest_deadline, entry.m_deadline);
  }
  m_in_flight = true;
  const TimePoint sent = Clock::now();
  m_in_flight_until = std::min(
      latest_deadline,
      sent + (m_path_status.m_slow ? kSlowAppendTimeout : kAppendTimeout));
  for (const Entry& entry : m_waiting) {
    WatchDeadline(entry);
  }
  const std::uint64_t append_number = ++m_append_number;
  m_loop->PostAt(sent + kRejectUnstoredAfter, [this, append_number] {
    if (m_in_flight && m_append_number == append_number &&
        !m_path_status.m_slow) {
      RejectUnstored();
    }
  });
  Send(records, m_in_flight_until,
       [this, sent, entries = std::move(entries)](const Result<Offset>& end) {
         OnAnswer(entries, sent, end);
       });
}

std::vector<JobAppender::Entry> JobAppender::TakeNextEntries() {
  const std::size_t max_bytes =
      std::min(kMaxBytesPerAppend, m_limits.m_max_batch_bytes);
  std::size_t count = 0;
  std::size_t bytes = 0;
  for (const Entry& entry : m_waiting) {
    bytes += BytesOf(entry.m_record);
    const bool fits = count < kMaxRequestsPerAppend && bytes <= max_bytes &&
                      !entry.m_alone && !m_waiting.front().m_alone;
    if (count > 0 && !fits) {
      break;
    }
    ++count;
  }
  const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<Entry> entries(std::make_move_iterator(m_waiting.begin()),
                             std::make_move_iterator(end));
  m_waiting.erase(m_waiting.begin(), end);
  return entries;
}

void JobAppender::RejectUnstored() {
  std::vector<Entry> kept;
  for (Entry& entry : std::exchange(m_waiting, {})) {
    if (entry.m_maybe_stored) {
      kept.push_back(std::move(entry));
    } else {
      Abandon(entry, {ErrorCode::kUnavailable,
                      "append in flight has not been answered in time"});
    }
  }
  m_waiting = std::move(kept);
}

void JobAppender::OnAnswer(std::vector<Entry> entries,
                           TimePoint sent,
                           const Result<Offset>& end) {
  m_in_flight = false;
  const TimePoint now = Clock::now();
  if (end) {
    for (const Entry& entry : entries) {
      Log(kLogComponent)
          ->info("stored key={} offset_end={} took_ms={}", entry.m_record.m_key,
                 end.value(), ToMillis(now - sent));
      entry.m_done(StoreOutcome::kStored);
    }
    SendNext();
    return;
  }
  const ErrorCode code = end.error().m_code;
  if (code == ErrorCode::kInvalidArgument) {
    OnRefused(std::move(entries), end.error());
    return;
  }
  const bool maybe_stored = !CertainlyHadNoEffect(code);
  for (Entry& entry : entries) {
    entry.m_maybe_stored = entry.m_maybe_stored || maybe_stored;
    const bool retried_long =
        entry.m_maybe_stored && now > entry.m_report_unknown_after;
    if (m_stopped || retried_long ||
        entry.m_deadline - now < kMinTimeForRetry) {
      Abandon(entry, end.error());
    } else {
      m_waiting.push_back(std::move(entry));
    }
  }
  // Marks an append as in flight, so that requests that arrive during the delay
  // wait for its end.
  m_in_flight = true;
  m_loop->PostAt(now + kRetryDelay, [this] {
    m_in_flight = false;
    SendNext();
  });
}

void JobAppender::OnRefused(std::vector<Entry> entries, const Error& error) {
  if (entries.size() > 1) {
    for (Entry& entry : entries) {
      entry.m_alone = true;
    }
    m_waiting.insert(m_waiting.begin(),
                     std::make_move_iterator(entries.begin()),
                     std::make_move_iterator(entries.end()));
  } else {
    const Entry& entry = entries.front();
    Log(kLogComponent)
        ->warn("refused key={} bytes={} error={}", entry.m_record.m_key,
               BytesOf(entry.m_record), ToString(error));
    entry.m_done(entry.m_maybe_stored ? StoreOutcome::kUnknown
                                      : StoreOutcome::kRefused);
  }
  if (!m_in_flight) {
    SendNext();
  }
}

void JobAppender::Abandon(const Entry& entry, const Error& error) {
  Log(kLogComponent)
      ->warn("not-stored key={} known={} error={}", entry.m_record.m_key,
             !entry.m_maybe_stored, ToString(error));
  entry.m_done(entry.m_maybe_stored ? StoreOutcome::kUnknown
                                    : StoreOutcome::kNotStored);
}

}  // namespace hyssopspar::node
