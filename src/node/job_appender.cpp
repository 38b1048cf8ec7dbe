#include "node/job_appender.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/logging.h"

namespace hyssopspar::node {

namespace {

constexpr const char* kLogPart = "front";
/// Limit of one append, and pause before the next after one that failed.
constexpr milliseconds kAppendLimit{800};
constexpr milliseconds kRetryPause{80};
/// The same for a store that is slow: two appends of the owner's.
constexpr milliseconds kSlowLimit{1800};
/// With nothing stored for so long, requests that have not been sent are
/// refused: they would only wait.
constexpr milliseconds kRefuseAfter{500};
/// A request whose outcome is unknown is tried again for this long.
constexpr milliseconds kUnknownLimit{1200};
/// Requests in one append, so that it stays below the store's limit.
constexpr std::size_t kBatch = 64;
/// A request with less time left is not sent again.
constexpr milliseconds kLeastTime{300};

}  // namespace

JobAppender::JobAppender(KeyedLog* log,
                         DecisionLoop* loop,
                         Partition partition,
                         PeerStore* peers,
                         std::function<std::string()> owner_address)
    : m_log(log),
      m_loop(loop),
      m_partition(std::move(partition)),
      m_peers(peers),
      m_owner_address(std::move(owner_address)),
      m_for_peers(log, loop, m_partition) {}

void JobAppender::StoreForPeer(const std::vector<KeyedRecord>& records,
                               std::function<void(Result<Offset>)> done) {
  if (m_path.m_lost) {
    done(Fail(ErrorCode::kUnavailable, "the store can't be reached"));
    return;
  }
  m_for_peers.Append(records, std::move(done));
}

void JobAppender::Send(const std::vector<KeyedRecord>& records,
                       TimePoint deadline,
                       std::function<void(Result<Offset>)> done) {
  const TimePoint sent = Clock::now();
  const std::string owner = m_owner_address();
  const StoreRoute route =
      ChooseRoute(m_path, !owner.empty(), m_peers->HasPeers(), sent);
  const auto finish = [this, route, sent,
                       done = std::move(done)](const Result<Offset>& end) {
    const StorePath before = m_path;
    NoteAnswer(&m_path, route, end.has_value(), sent, Clock::now());
    if (before.m_lost != m_path.m_lost || before.m_slow != m_path.m_slow) {
      Log(kLogPart)->info("store-path ok={} slow={}", !m_path.m_lost,
                          m_path.m_slow);
    }
    done(end);
  };
  if (route != StoreRoute::kDirect) {
    m_peers->Append(route == StoreRoute::kOwner ? owner : "", records, deadline,
                    finish);
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
  Entry entry{std::move(record), deadline, Clock::now() + kUnknownLimit, false,
              std::move(done)};
  // One request at a time finds out whether the store is back.
  if (m_in_flight && m_path.m_lost && m_path.m_peers_lost) {
    GiveUp(entry, {ErrorCode::kUnavailable, "the store is away"});
    return;
  }
  m_waiting.push_back(std::move(entry));
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
  const std::uint64_t round = ++m_round;
  m_loop->PostAt(sent + kRefuseAfter, [this, round] {
    if (m_in_flight && m_round == round && !m_path.m_slow) {
      RefuseWaiting();
    }
  });
  Send(records,
       std::min(last, sent + (m_path.m_slow ? kSlowLimit : kAppendLimit)),
       [this, sent, entries = std::move(entries)](const Result<Offset>& end) {
         OnAnswer(entries, sent, end);
       });
}

/// Answers the requests of which nothing has been sent.
void JobAppender::RefuseWaiting() {
  std::vector<Entry> kept;
  for (Entry& entry : std::exchange(m_waiting, {})) {
    if (entry.m_maybe_stored) {
      kept.push_back(std::move(entry));
    } else {
      GiveUp(entry, {ErrorCode::kUnavailable, "the store does not answer"});
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
    const bool waited_long = entry.m_maybe_stored && now > entry.m_give_up_at;
    if (waited_long || entry.m_deadline - now < kLeastTime) {
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
