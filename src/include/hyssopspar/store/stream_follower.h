/// \file
/// Follows a partition of a keyed stream: reads the newest record of every key
/// first, then all later records.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/store/keyed_log.h"

namespace hyssopspar {

/// Read parameters of a follower.
struct FollowerSettings {
  /// Maximum time for which the store holds a read open until a record arrives
  /// (long polling).
  milliseconds m_max_wait{1000};
  /// Pause between reads. If it is not zero, reads return immediately.
  milliseconds m_poll_interval{0};
};

/// Callbacks of a follower. They run on the loop's thread.
struct FollowerCallbacks {
  /// Receives the newest record of every key, which replaces all earlier data.
  std::function<void(std::vector<KeyedRecord>)> m_snapshot;
  /// Receives the records that follow the snapshot, in stream order.
  std::function<void(std::vector<KeyedRecord>)> m_records;
};

/// Follows one partition. All methods must be called on the loop's thread.
class StreamFollower : public std::enable_shared_from_this<StreamFollower> {
 public:
  StreamFollower(KeyedLog* log,
                 DecisionLoop* loop,
                 Partition partition,
                 FollowerSettings settings,
                 FollowerCallbacks callbacks);

  /// Loads a snapshot page by page, then follows the stream until Stop. Failed
  /// calls are repeated.
  void Start();
  /// No callback runs after this call.
  void Stop();

  /// True once a snapshot has been delivered.
  bool IsLoaded() const { return m_loaded; }
  /// True unless the last call to the store failed.
  bool IsConnected() const { return m_store_connected; }
  /// Time of the first success after the last failure.
  TimePoint ConnectedSince() const { return m_connected_since; }
  /// Time as of which the view is current: all records appended earlier have
  /// been delivered.
  TimePoint CurrentAsOf() const { return m_current_as_of; }
  /// Offset after the last delivered record.
  Offset Next() const { return m_next; }

 private:
  void LoadPage(const std::string& after_key, TimePoint first_sent);
  void OnPage(const Result<KeyedPage>& page, TimePoint first_sent);
  /// Time for which the store may hold the next read open.
  milliseconds ReadWait() const;
  void ReadNext();
  void OnSlice(const Result<KeyedSlice>& slice, TimePoint sent);
  /// Logs the first failure and repeats the read after a delay.
  void Retry(const Error& error);
  /// Logs the first success after a failure.
  void MarkConnected();

  KeyedLog* m_log;
  DecisionLoop* m_loop;
  Partition m_partition;
  FollowerSettings m_settings;
  FollowerCallbacks m_callbacks;
  bool m_stopped = false;
  bool m_loaded = false;
  bool m_loading =
      false;  ///< Pages are being read, for the first time or again.
  bool m_store_connected = true;
  TimePoint m_connected_since;
  TimePoint m_current_as_of;
  Offset m_next = 0;
  std::vector<KeyedRecord> m_snapshot_records;  ///< Pages loaded so far.
};

}  // namespace hyssopspar
