#include "hyssopspar/cell_replay.h"

#include <utility>

namespace hyssopspar {

void CellReplay::Reset(Offset start) {
  m_state = CellState{};
  m_start = start;
  m_next = start;
  m_ready = start == 0;
  m_partials.clear();
  m_held.clear();
}

CellReplay::Step CellReplay::Feed(const LogRecord& record) {
  Step step;
  m_next = record.m_offset + 1;
  Result<Batch> batch = DecodeBatch(record.m_payload);
  if (!batch) {
    step.m_malformed = true;
    return step;
  }
  step.m_batch = std::move(batch.value());
  if (m_ready) {
    step.m_verdicts = Apply(&m_state, record.m_offset, step.m_batch);
    return step;
  }
  m_held.push_back(record);
  for (const Decision& decision : step.m_batch.m_decisions) {
    if (const SnapshotChunk* chunk = std::get_if<SnapshotChunk>(&decision)) {
      m_partials[chunk->m_covers].m_chunks[chunk->m_index] = chunk->m_bytes;
    } else if (const SnapshotFooter* footer =
                   std::get_if<SnapshotFooter>(&decision)) {
      TrySnapshot(*footer);
    }
  }
  return step;
}

void CellReplay::TrySnapshot(const SnapshotFooter& footer) {
  const std::map<std::uint32_t, std::string>& chunks =
      m_partials[footer.m_covers].m_chunks;
  // Records between the snapshot and the oldest one held would be missing.
  const bool continuous = footer.m_covers + 1 >= m_start;
  if (!continuous || chunks.size() != footer.m_chunks) {
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
  if (!state || state.value().m_next != footer.m_covers + 1) {
    return;
  }
  m_state = std::move(state.value());
  m_ready = true;
  const std::vector<LogRecord> held = std::move(m_held);
  m_held.clear();
  m_partials.clear();
  for (const LogRecord& record : held) {
    const Result<Batch> batch = DecodeBatch(record.m_payload);
    if (record.m_offset >= m_state.m_next && batch) {
      Apply(&m_state, record.m_offset, batch.value());
    }
  }
}

}  // namespace hyssopspar
