/// \file
/// Replay of the configuration stream into a ConfigState. Starts from a
/// snapshot record when the log no longer holds the stream's first records.

#pragma once

#include <vector>

#include "hyssopspar/config_state.h"
#include "hyssopspar/log_store.h"

namespace hyssopspar {

/// A process's replica of the configuration. Its revision never decreases.
class ConfigReplay {
 public:
  /// Applies the result of a read that was sent at \p sent.
  void Feed(const LogSlice& slice, TimePoint sent);

  /// True when the last read reached the end of the stream and no records are
  /// missing from the state.
  bool IsReady() const { return m_ready; }

  /// Time as of which the state is current: the latest send time of a read
  /// after which IsReady() was true.
  TimePoint CurrentAsOf() const { return m_current_as_of; }

  /// Offset to read from next.
  Offset Next() const { return m_next; }

  const ConfigState& State() const { return m_state; }

 private:
  void ApplyRecord(const LogRecord& record);
  /// Restores the state from \p snapshot and applies the buffered records after
  /// it. Does nothing if records after the snapshot are missing or the snapshot
  /// is older than the state.
  void TryRestore(const ConfigSnapshot& snapshot);

  ConfigState m_state;
  Offset m_next = 0;
  /// Oldest offset in the log when the last gap was found.
  Offset m_oldest_offset = 0;
  /// The log dropped records before they were read; a snapshot must replace
  /// them.
  bool m_needs_snapshot = false;
  bool m_ready = false;
  TimePoint m_current_as_of;
  std::vector<LogRecord> m_buffered;  ///< Waiting for a snapshot.
};

}  // namespace hyssopspar
