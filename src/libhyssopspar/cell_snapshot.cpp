// Encoding of a CellState, and snapshots of it in the cell's stream.

#include <algorithm>
#include <utility>

#include "hyssopspar/cell_state.h"
#include "pvt/archive.h"

namespace hyssopspar {

template <class A, class T>
void VisitFields(A& a, T& t, const Task* /*tag*/) {
  a(t.m_state, t.m_park_reason, t.m_attempt, t.m_hop, t.m_failures,
    t.m_evictions, t.m_progress, t.m_worker, t.m_size, t.m_target,
    t.m_hand_off_confirmed);
}
template <class A, class T>
void VisitFields(A& a, T& j, const Job* /*tag*/) {
  a(j.m_spec, j.m_cancelled, j.m_cancel_forwarded, j.m_admit_offset, j.m_tasks);
}
template <class A, class T>
void VisitFields(A& a, T& w, const WorkerSlot* /*tag*/) {
  a(w.m_name, w.m_failure_domain, w.m_rack, w.m_capacity, w.m_committed,
    w.m_live);
}
template <class A, class T>
void VisitFields(A& a, T& s, const CellState* /*tag*/) {
  a(s.m_has_records, s.m_next, s.m_epoch, s.m_owner, s.m_owner_writer,
    s.m_owner_last_offset, s.m_snapshot_offset, s.m_owner_sequence, s.m_workers,
    s.m_jobs);
}

namespace {

constexpr std::size_t kSnapshotChunkBytes = 48 << 10;

/// Rebuilds the task sets, which are not part of the encoded form.
void RebuildTaskSets(CellState* state) {
  for (const std::pair<const JobId, Job>& job : state->m_jobs) {
    for (const std::pair<const std::uint32_t, Task>& entry :
         job.second.m_tasks) {
      const TaskId id{job.first, entry.first};
      const TaskState task_state = entry.second.m_state;
      if (task_state == TaskState::kPending) {
        state->m_pending.insert(id);
      } else if (task_state == TaskState::kLive ||
                 task_state == TaskState::kEvicting) {
        state->m_live.insert(id);
      } else if (task_state == TaskState::kHandedOff &&
                 !entry.second.m_hand_off_confirmed) {
        state->m_outgoing.insert(id);
      }
    }
  }
}

}  // namespace

std::string EncodeCellState(const CellState& state) {
  return pvt::Encode(state);
}

Result<CellState> DecodeCellState(const std::string& bytes) {
  Result<CellState> decoded = pvt::Decode<CellState>(bytes);
  if (!decoded) {
    return decoded;
  }
  RebuildTaskSets(&decoded.value());
  const Result<void> checked = CheckInvariants(decoded.value());
  if (!checked) {
    return checked.error();
  }
  return decoded;
}

std::vector<Decision> MakeSnapshot(const CellState& state) {
  const std::string bytes = EncodeCellState(state);
  const Offset last_offset = state.m_next - 1;
  std::vector<Decision> decisions;
  for (std::size_t begin = 0; begin < bytes.size();
       begin += kSnapshotChunkBytes) {
    SnapshotChunk chunk;
    chunk.m_last_offset = last_offset;
    chunk.m_index = static_cast<std::uint32_t>(decisions.size());
    chunk.m_bytes = bytes.substr(begin, kSnapshotChunkBytes);
    decisions.emplace_back(std::move(chunk));
  }
  SnapshotFooter footer;
  footer.m_last_offset = last_offset;
  footer.m_chunk_count = static_cast<std::uint32_t>(decisions.size());
  footer.m_hash = Hash(bytes);
  decisions.emplace_back(footer);
  return decisions;
}

}  // namespace hyssopspar
