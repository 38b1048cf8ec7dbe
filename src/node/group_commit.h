/// \file
/// Combines the appends of several callers into few calls to the store.

#pragma once

#include <functional>
#include <vector>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/store/keyed_log.h"

namespace hyssopspar::node {

/// Keeps one append in flight; records that arrive meanwhile share the next
/// one. All calls and callbacks on the loop's thread.
class GroupCommit {
 public:
  GroupCommit(KeyedLog* log, DecisionLoop* loop, Partition partition);

  /// Appends \p records. Fails with kUnavailable at once when too many records
  /// wait; otherwise errors are those of KeyedLog::Append.
  void Append(const std::vector<KeyedRecord>& records,
              std::function<void(Result<Offset>)> done);

 private:
  using Callback = std::function<void(Result<Offset>)>;

  void SendNext();

  KeyedLog* m_log;
  DecisionLoop* m_loop;
  Partition m_partition;
  std::vector<KeyedRecord> m_waiting_records;
  std::vector<Callback> m_waiting_callbacks;
  bool m_in_flight = false;
};

}  // namespace hyssopspar::node
