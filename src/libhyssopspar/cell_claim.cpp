// Following a cell's stream, and gaining and losing its ownership.

#include <algorithm>
#include <utility>

#include "hyssopspar/cell_owner.h"
#include "hyssopspar/logging.h"

namespace hyssopspar {

namespace {

constexpr const char* kLogComponent = "cell";

/// Clears the state that is kept only while owning the cell.
void ResetOwnership(CellReplica* replica) {
  replica->m_owned = false;
  replica->m_releasing = false;
  replica->m_workers.clear();
  replica->m_dead_since.clear();
  replica->m_own_commits.clear();
  replica->m_transfer_retry_at.clear();
  replica->m_cancel_retry_at.clear();
  replica->m_cancel_delivered_to.clear();
  replica->m_delivered_transfers.clear();
}

/// Takes ownership after the claim that was sent at \p sent was accepted.
/// \p previous_released is true if the previous owner released the cell or
/// there was none.
void BeginOwnership(CellReplica* replica,
                    const SchedSettings& settings,
                    TimePoint sent,
                    bool previous_released,
                    TimePoint now) {
  ResetOwnership(replica);
  replica->m_owned = true;
  replica->m_owned_since = now;
  ++replica->m_counters.m_takeovers;
  // An owner that lost the cell without releasing it may not have read the
  // claim that replaced it, and keeps renewing worker leases for up to
  // m_outage_limit.
  const Duration prior_owner_renewal =
      previous_released ? Duration::zero() : Duration(settings.m_outage_limit);
  replica->m_prior_leases_expired_at =
      now + WithDrift(settings, prior_owner_renewal + settings.m_worker_lease);
  replica->m_lease_deadline = sent + settings.m_cell_lease;
  replica->m_outage_deadline = sent + settings.m_outage_limit;
  Log(kLogComponent)
      ->info("cell owned cell={} epoch={} graceful={}", replica->m_cell,
             replica->m_replay.State().m_epoch, previous_released);
}

/// Updates the replica's own attempts, pending times and counters from the
/// verdicts on a batch that this scheduler wrote.
void RecordOwnVerdicts(CellReplica* replica,
                       const CellReplay::ReplayedRecord& replayed,
                       TimePoint now) {
  for (std::size_t i = 0; i < replayed.m_verdicts.size(); ++i) {
    const Decision& decision = replayed.m_batch.m_decisions[i];
    const bool applied = replayed.m_verdicts[i] == Verdict::kApplied;
    if (!applied) {
      replica->m_counters.m_rejected +=
          replayed.m_verdicts[i] == Verdict::kDuplicate ? 0 : 1;
      continue;
    }
    if (const TaskCommit* commit = std::get_if<TaskCommit>(&decision)) {
      replica->m_own_commits.insert(
          AttemptId{commit->m_task, commit->m_attempt});
      ++replica->m_counters.m_starts;
    } else if (const TaskFinish* finish = std::get_if<TaskFinish>(&decision)) {
      replica->m_own_commits.erase(
          AttemptId{finish->m_task, finish->m_attempt});
      replica->m_succeeded_jobs.insert(finish->m_task.m_job);
      ++replica->m_counters.m_finishes;
    } else if (const TaskStop* stop = std::get_if<TaskStop>(&decision)) {
      replica->m_own_commits.erase(AttemptId{stop->m_task, stop->m_attempt});
      replica->m_pending_since[stop->m_task] = now;
      replica->m_counters.m_evictions +=
          stop->m_reason == StopReason::kEvicted ? 1 : 0;
    } else if (std::holds_alternative<SnapshotFooter>(decision)) {
      replica->m_records_since_snapshot = 0;
    }
  }
}

/// Applies one record that was read from the cell's stream.
void HandleRecord(CellReplica* replica,
                  const CellContext& context,
                  const LogRecord& record,
                  TimePoint now) {
  const SchedSettings& settings = *context.m_settings;
  const bool was_released = replica->m_replay.State().m_owner.empty();
  const CellReplay::ReplayedRecord replayed = replica->m_replay.Feed(record);
  ++replica->m_records_since_snapshot;
  if (replayed.m_malformed) {
    Log(kLogComponent)
        ->error("malformed record skipped cell={} offset={}", replica->m_cell,
                record.m_offset);
    return;
  }
  const CellState& state = replica->m_replay.State();
  const bool by_this_scheduler = replayed.m_batch.m_writer == replica->m_writer;
  const bool confirmed =
      by_this_scheduler && replica->m_outstanding &&
      replica->m_outstanding->m_batch.m_sequence == replayed.m_batch.m_sequence;
  const TimePoint sent =
      confirmed ? replica->m_outstanding->m_first_sent : TimePoint();
  if (confirmed) {
    replica->m_outstanding.reset();
  }
  const bool is_owner =
      state.m_owner_writer == replica->m_writer && !state.m_owner.empty();
  if (confirmed && is_owner && !replica->m_owned) {
    BeginOwnership(replica, settings, sent, was_released, now);
  } else if (confirmed && is_owner &&
             replayed.m_batch.m_epoch == state.m_epoch) {
    replica->m_lease_deadline =
        std::max(replica->m_lease_deadline, sent + settings.m_cell_lease);
    replica->m_outage_deadline =
        std::max(replica->m_outage_deadline, sent + settings.m_outage_limit);
  }
  if (!is_owner && replica->m_owned) {
    Log(kLogComponent)
        ->info("cell lost cell={} owner={}", replica->m_cell, state.m_owner);
    ResetOwnership(replica);
  }
  if (confirmed) {
    RecordOwnVerdicts(replica, replayed, now);
  }
  if (replayed.m_batch.m_epoch == state.m_epoch ||
      state.m_epoch == record.m_offset + 1) {
    replica->m_owner_last_active = now;
  }
}

}  // namespace

bool HoldsLease(const CellReplica& replica, TimePoint now) {
  return replica.m_owned && now < replica.m_lease_deadline;
}

void HandleCellRead(CellReplica* replica,
                    const CellContext& context,
                    const LogSlice& slice,
                    TimePoint sent,
                    TimePoint now) {
  if (!replica->m_last_read_ok) {
    // Only time in which the stream could be read counts as inactivity of the
    // owner.
    replica->m_owner_last_active = now;
  }
  replica->m_last_read_ok = true;
  replica->m_last_read_sent = sent;
  if (slice.m_start > replica->m_replay.Next()) {
    Log(kLogComponent)
        ->warn(
            "cell stream trimmed past read offset, awaiting snapshot cell={} "
            "start={}",
            replica->m_cell, slice.m_start);
    ResetOwnership(replica);
    replica->m_outstanding.reset();
    replica->m_replay.Reset(slice.m_start);
  }
  if (!slice.m_records.empty() &&
      slice.m_records.front().m_offset > replica->m_replay.Next()) {
    // The answer to a read that was sent for an earlier replica of the cell,
    // which had stopped being followed: this one has not read the records
    // before it.
    return;
  }
  for (const LogRecord& record : slice.m_records) {
    if (record.m_offset >= replica->m_replay.Next()) {
      HandleRecord(replica, context, record, now);
    }
  }
  replica->m_caught_up =
      replica->m_replay.Next() >= slice.m_end && replica->m_replay.IsReady();
}

void HandleCellReadFailure(CellReplica* replica) {
  replica->m_last_read_ok = false;
}

void HandleCellAppendResult(CellReplica* replica,
                            const SchedSettings& settings,
                            bool succeeded,
                            TimePoint now) {
  if (!replica->m_outstanding) {
    return;
  }
  replica->m_outstanding->m_in_flight = false;
  // A failed append is retried soon. After a successful one, the batch should
  // be read back; it is sent again only if that takes ten times as long.
  replica->m_outstanding->m_retry_at =
      now + (succeeded ? 10 * settings.m_append_retry_interval
                       : settings.m_append_retry_interval);
}

}  // namespace hyssopspar
