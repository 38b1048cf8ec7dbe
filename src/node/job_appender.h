/// \file
/// Stores callers' requests in the job stream, many in one append.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/store/keyed_log.h"

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
  JobAppender(KeyedLog* log, DecisionLoop* loop, Partition partition);

  /// Stores \p record, again while \p deadline allows: repeats are one job.
  void Store(KeyedRecord record,
             TimePoint deadline,
             std::function<void(StoreOutcome)> done);

 private:
  struct Entry {
    KeyedRecord m_record;
    TimePoint m_deadline;
    bool m_maybe_stored = false;
    std::function<void(StoreOutcome)> m_done;
  };

  void SendNext();
  void OnAnswer(std::vector<Entry> entries,
                TimePoint sent,
                const Result<Offset>& end);
  void GiveUp(const Entry& entry, const Error& error);

  KeyedLog* m_log;
  DecisionLoop* m_loop;
  Partition m_partition;
  std::vector<Entry> m_waiting;
  bool m_in_flight = false;
};

}  // namespace hyssopspar::node
