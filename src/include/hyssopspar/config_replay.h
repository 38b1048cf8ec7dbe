/// \file
/// Brings a ConfigState up to date from a stream that may have lost its oldest
/// records.

#pragma once

#include <vector>

#include "hyssopspar/config_state.h"
#include "hyssopspar/log_store.h"

namespace hyssopspar {

/// The configuration as one process knows it. Its revision never decreases.
class ConfigReplay {
 public:
  /// Takes what a read that was sent at \p sent returned.
  void Feed(const LogSlice& slice, TimePoint sent);

  /// True when the state reflected the whole stream at the last Feed.
  bool IsReady() const { return m_ready; }

  /// Send time of the last read that ended in a state of the whole stream.
  TimePoint Verified() const { return m_verified; }

  /// Offset to read from next.
  Offset Next() const { return m_next; }

  const ConfigState& State() const { return m_state; }

 private:
  void FeedRecord(const LogRecord& record);
  void TrySnapshot(const ConfigSnapshot& snapshot);

  ConfigState m_state;
  Offset m_next = 0;
  Offset m_start = 0;
  bool m_gap = false;  ///< Records were lost; a snapshot has to bridge them.
  bool m_ready = false;
  TimePoint m_verified;
  std::vector<LogRecord> m_held;
};

}  // namespace hyssopspar
