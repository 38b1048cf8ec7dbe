/// \file
/// Appends callers' requests to the job stream, many in one append, with
/// retries and relays while the store is unreachable or slow.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/store/keyed_log.h"
#include "hyssopspar/store/store_limits.h"
#include "node/group_commit.h"
#include "node/peer_store.h"
#include "node/store_path.h"

namespace hyssopspar::node {

enum class StoreOutcome {
  kStored,
  kNotStored,  ///< The record is not in the store and will not get there.
  kUnknown,    ///< The record may be in the store, or may get there later.
  kRefused,    ///< The store has refused it. It will not get there.
};

/// Keeps one append of callers' requests in flight; requests that arrive
/// meanwhile share the next one. All calls and callbacks on the loop's thread.
class JobAppender {
 public:
  /// While the store is unreachable from here or slow, records are relayed by
  /// \p peer_store or by the node whose internal address \p owner_address
  /// returns; an empty address means that no other node owns the cell.
  JobAppender(KeyedLog* log,
              DecisionLoop* loop,
              Partition partition,
              PeerStore* peer_store,
              const StoreLimits& limits,
              std::function<std::string()> owner_address);

  /// Appends records relayed by another node, in appends of their own. Fails
  /// with kUnavailable at once while the store is unreachable from here;
  /// with kNotSent shortly before \p deadline if they could not be sent by
  /// then; otherwise errors are those of KeyedLog::Append.
  void StoreForPeer(const std::vector<KeyedRecord>& records,
                    TimePoint deadline,
                    std::function<void(Result<Offset>)> done);

  /// Appends \p record. Retries until \p deadline; a record that is stored
  /// twice has the effect of one, as repeats of a job do nothing. A record that
  /// could not be sent is reported as not stored before \p deadline.
  void Store(KeyedRecord record,
             TimePoint deadline,
             std::function<void(StoreOutcome)> done);

  /// Answers the requests that wait, and all later ones: those that are
  /// certainly not in the store as not stored. For a node that stops.
  void Stop();

  /// Send time of the first of the failed appends since the last success;
  /// max(): the last append succeeded.
  TimePoint FailingSince() const { return m_failing_since; }

 private:
  struct Entry {
    KeyedRecord m_record;
    TimePoint m_deadline;
    /// After this time, a request whose outcome is unknown is not retried.
    TimePoint m_report_unknown_after;
    bool m_maybe_stored = false;  ///< Some append may have stored the record.
    std::function<void(StoreOutcome)> m_done;
    bool m_alone = false;  ///< Shares no append with other requests.
  };

  void SendNext();
  /// Least time until its deadline with which a record is sent at first.
  milliseconds MinTimeForAppend() const;
  /// Answers the waiting requests that have too little time left.
  void AnswerExpired();
  /// Sets a timer for AnswerExpired if \p entry may have to wait too long.
  void WatchDeadline(const Entry& entry);
  /// Takes the requests of the next append from those that wait.
  std::vector<Entry> TakeNextEntries();
  /// Appends \p records on the route that suits the state of the store.
  void Send(const std::vector<KeyedRecord>& records,
            TimePoint deadline,
            std::function<void(Result<Offset>)> done);
  /// Answers waiting requests that are certainly not in the store as not
  /// stored.
  void RejectUnstored();
  void OnAnswer(std::vector<Entry> entries,
                TimePoint sent,
                const Result<Offset>& end);
  /// Handles the store's refusal of an append, which is final.
  void OnRefused(std::vector<Entry> entries, const Error& error);
  /// Answers \p entry as not stored or unknown. \p error is only logged.
  void Abandon(const Entry& entry, const Error& error);

  KeyedLog* m_log;
  DecisionLoop* m_loop;
  Partition m_partition;
  StoreLimits m_limits;
  std::vector<Entry> m_waiting;
  PeerStore* m_peer_store;
  std::function<std::string()> m_owner_address;
  bool m_in_flight = false;     ///< Also set during the delay after a failure.
  TimePoint m_in_flight_until;  ///< Deadline of the append in flight.
  bool m_stopped = false;
  std::uint64_t m_append_number = 0;  ///< Number of the last append sent.
  StorePathStatus m_path_status;
  TimePoint m_failing_since = TimePoint::max();
  GroupCommit m_peer_commit;  ///< Records relayed by other nodes.
};

}  // namespace hyssopspar::node
