// Following, claiming and giving up a cell.

#include <algorithm>
#include <utility>

#include "hyssopspar/cell_owner.h"
#include "hyssopspar/logging.h"

namespace hyssopspar {

namespace {

constexpr const char* kLogPart = "cell";

/// Forgets what only an owner knows.
void ResetOwnership(CellOwner* owner) {
  owner->m_owned = false;
  owner->m_releasing = false;
  owner->m_workers.clear();
  owner->m_dead_since.clear();
  owner->m_own_commits.clear();
  owner->m_transfer_retry.clear();
  owner->m_cancel_retry.clear();
  owner->m_cancel_reached.clear();
  owner->m_delivered.clear();
}

/// Starts the term whose claim was sent at \p sent. \p graceful tells that the
/// previous owner gave the cell up, or that there was none.
void BeginTerm(CellOwner* owner,
               const SchedSettings& settings,
               TimePoint sent,
               bool graceful,
               TimePoint now) {
  ResetOwnership(owner);
  owner->m_owned = true;
  owner->m_term_began = now;
  ++owner->m_counters.m_takeovers;
  const Duration silent =
      graceful ? Duration::zero() : Duration(settings.m_outage_limit);
  owner->m_takeover_floor =
      now + WithDrift(settings, silent + settings.m_worker_lease);
  owner->m_lease_deadline = sent + settings.m_cell_lease;
  owner->m_outage_deadline = sent + settings.m_outage_limit;
  Log(kLogPart)->info("cell owned cell={} epoch={} graceful={}", owner->m_cell,
                      owner->m_replay.State().m_epoch, graceful);
}

/// Takes note of the commits of a batch of ours that was read back.
void NoteOwnVerdicts(CellOwner* owner,
                     const CellReplay::Step& step,
                     TimePoint now) {
  for (std::size_t i = 0; i < step.m_verdicts.size(); ++i) {
    const Decision& decision = step.m_batch.m_decisions[i];
    const bool applied = step.m_verdicts[i] == Verdict::kApplied;
    if (!applied) {
      owner->m_counters.m_refused +=
          step.m_verdicts[i] == Verdict::kDuplicate ? 0 : 1;
      continue;
    }
    if (const TaskCommit* commit = std::get_if<TaskCommit>(&decision)) {
      owner->m_own_commits.insert(AttemptId{commit->m_task, commit->m_attempt});
      ++owner->m_counters.m_starts;
    } else if (const TaskFinish* finish = std::get_if<TaskFinish>(&decision)) {
      owner->m_own_commits.erase(AttemptId{finish->m_task, finish->m_attempt});
      owner->m_succeeded_jobs.insert(finish->m_task.m_job);
      ++owner->m_counters.m_finishes;
    } else if (const TaskStop* stop = std::get_if<TaskStop>(&decision)) {
      owner->m_own_commits.erase(AttemptId{stop->m_task, stop->m_attempt});
      owner->m_pending_since[stop->m_task] = now;
      owner->m_counters.m_evictions +=
          stop->m_reason == StopReason::kEvicted ? 1 : 0;
    } else if (std::holds_alternative<SnapshotFooter>(decision)) {
      owner->m_since_snapshot = 0;
    }
  }
}

/// Takes one record that was read.
void NoteRecord(CellOwner* owner,
                const CellContext& context,
                const LogRecord& record,
                TimePoint now) {
  const SchedSettings& settings = *context.m_settings;
  const bool released = owner->m_replay.State().m_owner.empty();
  const CellReplay::Step step = owner->m_replay.Feed(record);
  ++owner->m_since_snapshot;
  if (step.m_malformed) {
    Log(kLogPart)->error("record malformed cell={} offset={}", owner->m_cell,
                         record.m_offset);
    return;
  }
  const CellState& state = owner->m_replay.State();
  const bool ours = step.m_batch.m_writer == owner->m_writer;
  const bool confirmed =
      ours && owner->m_outstanding &&
      owner->m_outstanding->m_batch.m_sequence == step.m_batch.m_sequence;
  const TimePoint sent =
      confirmed ? owner->m_outstanding->m_first_sent : TimePoint();
  if (confirmed) {
    owner->m_outstanding.reset();
  }
  const bool stands =
      state.m_owner_writer == owner->m_writer && !state.m_owner.empty();
  if (confirmed && stands && !owner->m_owned) {
    BeginTerm(owner, settings, sent, released, now);
  } else if (confirmed && stands && step.m_batch.m_epoch == state.m_epoch) {
    owner->m_lease_deadline =
        std::max(owner->m_lease_deadline, sent + settings.m_cell_lease);
    owner->m_outage_deadline =
        std::max(owner->m_outage_deadline, sent + settings.m_outage_limit);
  }
  if (!stands && owner->m_owned) {
    Log(kLogPart)->info("cell lost cell={} owner={}", owner->m_cell,
                        state.m_owner);
    ResetOwnership(owner);
  }
  if (confirmed) {
    NoteOwnVerdicts(owner, step, now);
  }
  if (step.m_batch.m_epoch == state.m_epoch ||
      state.m_epoch == record.m_offset + 1) {
    owner->m_owner_seen = now;
  }
}

}  // namespace

bool HoldsLease(const CellOwner& owner, TimePoint now) {
  return owner.m_owned && now < owner.m_lease_deadline;
}

void NoteCellRead(CellOwner* owner,
                  const CellContext& context,
                  const LogSlice& slice,
                  TimePoint sent,
                  TimePoint now) {
  if (!owner->m_reading) {
    // Silence only counts while the log can be read.
    owner->m_owner_seen = now;
  }
  owner->m_reading = true;
  owner->m_read_verified = sent;
  if (slice.m_start > owner->m_replay.Next()) {
    Log(kLogPart)->warn("cell restarts from snapshot cell={} start={}",
                        owner->m_cell, slice.m_start);
    ResetOwnership(owner);
    owner->m_outstanding.reset();
    owner->m_replay.Reset(slice.m_start);
  }
  for (const LogRecord& record : slice.m_records) {
    if (record.m_offset >= owner->m_replay.Next()) {
      NoteRecord(owner, context, record, now);
    }
  }
  owner->m_caught_up =
      owner->m_replay.Next() >= slice.m_end && owner->m_replay.IsReady();
}

void NoteCellReadFailed(CellOwner* owner) {
  owner->m_reading = false;
}

void NoteCellAppend(CellOwner* owner,
                    const SchedSettings& settings,
                    bool succeeded,
                    TimePoint now) {
  if (!owner->m_outstanding) {
    return;
  }
  owner->m_outstanding->m_in_flight = false;
  // Without success the same bytes go out again; after success they are only
  // waited for, and sent again should they not turn up.
  owner->m_outstanding->m_retry_at =
      now +
      (succeeded ? 10 * settings.m_append_retry : settings.m_append_retry);
}

}  // namespace hyssopspar
