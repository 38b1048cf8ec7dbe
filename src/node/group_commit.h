/// \file
/// Appends of several callers, in as few calls as possible.

#pragma once

#include <functional>
#include <vector>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/store/keyed_log.h"

namespace hyssopspar::node {

/// One append is under way at a time; what comes meanwhile goes with the next.
/// All calls and callbacks on the loop's thread.
class GroupCommit {
 public:
  GroupCommit(KeyedLog* log, DecisionLoop* loop, Partition partition);

  void Append(const std::vector<KeyedRecord>& records,
              std::function<void(Result<Offset>)> done);

 private:
  using Done = std::function<void(Result<Offset>)>;

  void SendNext();

  KeyedLog* m_log;
  DecisionLoop* m_loop;
  Partition m_partition;
  std::vector<KeyedRecord> m_waiting;
  std::vector<Done> m_waiting_done;
  bool m_in_flight = false;
};

}  // namespace hyssopspar::node
