/// \file
/// Brings a CellState up to date from a stream that may have lost its oldest
/// records.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "hyssopspar/cell_state.h"
#include "hyssopspar/log_store.h"

namespace hyssopspar {

/// Feeds records to a state. From offset 0 it applies them as they come. When
/// the stream begins later it holds records back until it has met a complete
/// snapshot whose offset it can continue from.
class CellReplay {
 public:
  /// What one record did.
  struct Step {
    Batch m_batch;
    std::vector<Verdict> m_verdicts;  ///< Empty while a snapshot is missing.
    bool m_malformed = false;
  };

  /// Starts over at \p start, the oldest offset the log still holds.
  void Reset(Offset start);

  /// Takes the next record.
  Step Feed(const LogRecord& record);

  /// Offset to read from next.
  Offset Next() const { return m_next; }

  /// True once the state reflects all that was fed.
  bool IsReady() const { return m_ready; }

  const CellState& State() const { return m_state; }

 private:
  struct Partial {
    std::map<std::uint32_t, std::string> m_chunks;
  };

  void TrySnapshot(const SnapshotFooter& footer);

  CellState m_state;
  bool m_ready = true;
  Offset m_next = 0;
  Offset m_start = 0;
  std::map<Offset, Partial> m_partials;
  std::vector<LogRecord> m_held;
};

}  // namespace hyssopspar
