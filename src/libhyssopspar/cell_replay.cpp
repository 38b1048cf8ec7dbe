// Replay of a cell's stream, with recovery from a snapshot.

#include "hyssopspar/cell_replay.h"

#include <utility>

namespace hyssopspar {

void CellReplay::Reset(Offset start) {
  m_state = CellState{};
  m_oldest_offset = start;
  m_next = start;
  m_ready = start == 0;
  m_partial_snapshots.clear();
  m_buffered.clear();
}

CellReplay::ReplayedRecord CellReplay::Feed(const LogRecord& record) {
  ReplayedRecord replayed;
  m_next = record.m_offset + 1;
  Result<Batch> batch = DecodeBatch(record.m_payload);
  if (!batch) {
    replayed.m_malformed = true;
    return replayed;
  }
  replayed.m_batch = std::move(batch.value());
  if (m_ready) {
    replayed.m_verdicts = Apply(&m_state, record.m_offset, replayed.m_batch);
    return replayed;
  }
  m_buffered.push_back(record);
  for (const Decision& decision : replayed.m_batch.m_decisions) {
    if (const SnapshotChunk* chunk = std::get_if<SnapshotChunk>(&decision)) {
      m_partial_snapshots[chunk->m_last_offset].m_chunks[chunk->m_index] =
          chunk->m_bytes;
    } else if (const SnapshotFooter* footer =
                   std::get_if<SnapshotFooter>(&decision)) {
      TryRestore(*footer);
    }
  }
  return replayed;
}

void CellReplay::TryRestore(const SnapshotFooter& footer) {
  const std::map<std::uint32_t, std::string>& chunks =
      m_partial_snapshots[footer.m_last_offset].m_chunks;
  // With a gap, the records between the snapshot and the oldest record still in
  // the log would be missing from the state.
  const bool no_gap = footer.m_last_offset + 1 >= m_oldest_offset;
  if (!no_gap || chunks.size() != footer.m_chunk_count) {
    return;
  }
  std::string bytes;
  for (const std::pair<const std::uint32_t, std::string>& chunk : chunks) {
    bytes += chunk.second;
  }
  if (Hash(bytes) != footer.m_hash) {
    return;
  }
  Result<CellState> state = DecodeCellState(bytes);
  if (!state || state.value().m_next != footer.m_last_offset + 1) {
    return;
  }
  m_state = std::move(state.value());
  m_ready = true;
  const std::vector<LogRecord> buffered = std::move(m_buffered);
  m_buffered.clear();
  m_partial_snapshots.clear();
  for (const LogRecord& record : buffered) {
    const Result<Batch> batch = DecodeBatch(record.m_payload);
    if (record.m_offset >= m_state.m_next && batch) {
      Apply(&m_state, record.m_offset, batch.value());
    }
  }
}

}  // namespace hyssopspar
