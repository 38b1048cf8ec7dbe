/// \file
/// Replay of a cell's stream into a CellState, starting from a snapshot if the
/// oldest records have been trimmed.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "hyssopspar/cell_state.h"
#include "hyssopspar/log_store.h"

namespace hyssopspar {

/// Applies the records of a stream to a state. A stream that starts at offset 0
/// is applied record by record. If it starts later, records are buffered until
/// a complete snapshot has been read that no missing record follows.
class CellReplay {
 public:
  /// A record that was fed, decoded, and the result of applying it.
  struct ReplayedRecord {
    Batch m_batch;
    /// One for each decision; empty while a snapshot is still missing.
    std::vector<Verdict> m_verdicts;
    bool m_malformed = false;  ///< The payload could not be decoded.
  };

  /// Clears the state and restarts at \p start, the oldest offset in the log.
  void Reset(Offset start);

  /// Applies or buffers the next record.
  ReplayedRecord Feed(const LogRecord& record);

  /// Offset to read from next.
  Offset Next() const { return m_next; }

  /// True if the state reflects all records fed; false while a snapshot is
  /// missing.
  bool IsReady() const { return m_ready; }

  const CellState& State() const { return m_state; }

 private:
  /// Chunks read so far of one snapshot, by index.
  struct PartialSnapshot {
    std::map<std::uint32_t, std::string> m_chunks;
  };

  /// Restores the state from the snapshot closed by \p footer and applies the
  /// buffered records after it. Does nothing if the snapshot is incomplete,
  /// corrupt, or followed by missing records.
  void TryRestore(const SnapshotFooter& footer);

  CellState m_state;
  bool m_ready = true;
  Offset m_next = 0;
  Offset m_oldest_offset = 0;  ///< Oldest offset in the log at the last Reset.
  /// By the offset of the last record that the snapshot includes.
  std::map<Offset, PartialSnapshot> m_partial_snapshots;
  std::vector<LogRecord> m_buffered;  ///< Waiting for a snapshot.
};

}  // namespace hyssopspar
