/// \file
/// Keeps up with a keyed stream: its newest records first, then what comes.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/store/keyed_log.h"

namespace hyssopspar {

struct FollowerSettings {
  /// Time the store waits for a record before it answers a read.
  milliseconds m_wait{1000};
  /// Pause between reads; with one, reads do not wait.
  milliseconds m_pause{0};
};

/// What a follower reports, on the loop's thread.
struct FollowerSink {
  /// The newest record of every key; replaces all that was known.
  std::function<void(std::vector<KeyedRecord>)> m_snapshot;
  /// Records after that, in order.
  std::function<void(std::vector<KeyedRecord>)> m_records;
};

/// Follows one partition. All calls on the loop's thread.
class StreamFollower : public std::enable_shared_from_this<StreamFollower> {
 public:
  StreamFollower(KeyedLog* log,
                 DecisionLoop* loop,
                 Partition partition,
                 FollowerSettings settings,
                 FollowerSink sink);

  void Start();
  /// No more reports after this.
  void Stop();

  bool IsLoaded() const { return m_loaded; }
  /// Everything appended before this time has been reported.
  TimePoint Verified() const { return m_verified; }
  /// Offset after the last reported record.
  Offset Next() const { return m_next; }

 private:
  void LoadPage(const std::string& after_key, TimePoint first_sent);
  void OnPage(const Result<KeyedPage>& page, TimePoint first_sent);
  milliseconds Wait() const;
  void ReadOn();
  void OnSlice(const Result<KeyedSlice>& slice, TimePoint sent);
  void Retry(const Error& error);
  void NoteContact();

  KeyedLog* m_log;
  DecisionLoop* m_loop;
  Partition m_partition;
  FollowerSettings m_settings;
  FollowerSink m_sink;
  bool m_stopped = false;
  bool m_loaded = false;
  bool m_in_contact = true;
  TimePoint m_verified;
  Offset m_next = 0;
  std::vector<KeyedRecord> m_pages;
};

}  // namespace hyssopspar
