/// \file
/// Stores callers' requests in the job stream, many in one append.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/store/keyed_log.h"
#include "node/group_commit.h"
#include "node/peer_store.h"
#include "node/store_path.h"

namespace hyssopspar::node {

enum class StoreOutcome {
  kStored,
  kNotStored,  ///< Certainly not, and it won't be.
  kUnknown,
};

/// One append is under way at a time; what comes meanwhile goes with the next.
/// All calls and callbacks on the loop's thread.
class JobAppender {
 public:
  /// While the store can't be reached from here or is slow, records go by way
  /// of \p peers or of the node that \p owner_address yields.
  JobAppender(KeyedLog* log,
              DecisionLoop* loop,
              Partition partition,
              PeerStore* peers,
              std::function<std::string()> owner_address);

  /// Stores records for another node.
  void StoreForPeer(const std::vector<KeyedRecord>& records,
                    std::function<void(Result<Offset>)> done);

  /// Stores \p record, again while \p deadline allows: repeats are one job.
  void Store(KeyedRecord record,
             TimePoint deadline,
             std::function<void(StoreOutcome)> done);

 private:
  struct Entry {
    KeyedRecord m_record;
    TimePoint m_deadline;
    TimePoint m_give_up_at;  ///< When an unknown outcome is passed on.
    bool m_maybe_stored = false;
    std::function<void(StoreOutcome)> m_done;
  };

  void SendNext();
  void Send(const std::vector<KeyedRecord>& records,
            TimePoint deadline,
            std::function<void(Result<Offset>)> done);
  void RefuseWaiting();
  void OnAnswer(std::vector<Entry> entries,
                TimePoint sent,
                const Result<Offset>& end);
  void GiveUp(const Entry& entry, const Error& error);

  KeyedLog* m_log;
  DecisionLoop* m_loop;
  Partition m_partition;
  std::vector<Entry> m_waiting;
  PeerStore* m_peers;
  std::function<std::string()> m_owner_address;
  bool m_in_flight = false;
  std::uint64_t m_round = 0;  ///< Number of the append in flight.
  StorePath m_path;
  GroupCommit m_for_peers;
};

}  // namespace hyssopspar::node
