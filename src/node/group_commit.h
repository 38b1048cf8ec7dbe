/// \file
/// Combines the appends of several callers into few calls to the store.

#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/store/keyed_log.h"
#include "hyssopspar/store/store_limits.h"

namespace hyssopspar::node {

/// Keeps one append in flight; records that arrive meanwhile share the next
/// one, as far as the store's limits allow. When the store refuses an append of
/// several callers, each caller's records are sent alone. All calls and
/// callbacks on the loop's thread.
class GroupCommit {
 public:
  GroupCommit(KeyedLog* log,
              DecisionLoop* loop,
              Partition partition,
              const StoreLimits& limits);

  /// Appends \p records. Fails with kUnavailable at once when too many records
  /// wait, and with kNotSent shortly before \p deadline when they could not be
  /// sent in time; otherwise errors are those of KeyedLog::Append.
  void Append(const std::vector<KeyedRecord>& records,
              TimePoint deadline,
              std::function<void(Result<Offset>)> done);

 private:
  using Callback = std::function<void(Result<Offset>)>;

  /// Records of one caller.
  struct Entry {
    std::vector<KeyedRecord> m_records;
    TimePoint m_deadline;
    Callback m_done;
    bool m_alone = false;  ///< Shares no append with other callers.
  };

  void SendNext();
  /// Fails the waiting entries with too little time left for an append.
  void FailExpired();
  void OnAnswer(std::vector<Entry> entries, const Result<Offset>& end);

  KeyedLog* m_log;
  DecisionLoop* m_loop;
  Partition m_partition;
  StoreLimits m_limits;
  std::deque<Entry> m_waiting;
  std::size_t m_waiting_records = 0;  ///< Of all entries of m_waiting.
  bool m_in_flight = false;
};

}  // namespace hyssopspar::node
