// What a scheduler sends for a cell at a given time, as owner or claimant.

#include <algorithm>
#include <utility>

#include "hyssopspar/cell_owner.h"
#include "hyssopspar/logging.h"
#include "pvt/cell_plan.h"

namespace hyssopspar {

namespace {

/// Time between appends of the same transfer until it is confirmed.
constexpr milliseconds kTransferRetryInterval{500};

/// Makes \p decisions the outstanding batch and returns its encoded form.
std::string StartBatch(CellReplica* replica,
                       const SchedSettings& settings,
                       Epoch epoch,
                       std::vector<Decision> decisions,
                       TimePoint now) {
  OutstandingBatch outstanding;
  outstanding.m_batch.m_writer = replica->m_writer;
  outstanding.m_batch.m_sequence = replica->m_next_sequence++;
  outstanding.m_batch.m_epoch = epoch;
  outstanding.m_batch.m_decisions = std::move(decisions);
  outstanding.m_payload = EncodeBatch(outstanding.m_batch);
  outstanding.m_first_sent = now;
  outstanding.m_in_flight = true;
  replica->m_outstanding = std::move(outstanding);
  replica->m_next_batch_at = now + settings.m_min_batch_interval;
  replica->m_renew_at = now + settings.m_cell_renew_period;
  ++replica->m_counters.m_batches;
  return replica->m_outstanding->m_payload;
}

/// Rank of this scheduler among the candidates for the cell, not counting its
/// last owner; nullopt if it is not a candidate.
std::optional<std::size_t> ClaimRank(const CellReplica& replica,
                                     const CellContext& context) {
  std::size_t rank = 0;
  const std::string& last_owner = replica.m_replay.State().m_owner;
  for (const std::string& name :
       RankOwners(*context.m_membership, replica.m_cell)) {
    if (name == context.m_settings->m_name) {
      return rank;
    }
    rank += name == last_owner ? 0 : 1;
  }
  return std::nullopt;
}

/// True if this scheduler should claim the cell now: the owner has been
/// inactive for a lease period, plus a delay for each better-ranked candidate.
bool ShouldClaim(const CellReplica& replica,
                 const CellContext& context,
                 TimePoint now) {
  const SchedSettings& settings = *context.m_settings;
  const bool can_claim = replica.m_caught_up && replica.m_last_read_ok &&
                         !context.m_leaving && context.m_config_ready &&
                         !replica.m_outstanding &&
                         now >= replica.m_next_batch_at;
  const std::optional<std::size_t> rank =
      can_claim ? ClaimRank(replica, context) : std::nullopt;
  if (!rank) {
    return false;
  }
  const Duration rank_delay = settings.m_claim_rank_delay * *rank;
  const bool vacant = replica.m_replay.State().m_owner.empty();
  const Duration min_inactivity =
      vacant ? Duration::zero() : WithDrift(settings, settings.m_cell_lease);
  // The owner's inactivity is counted up to the last successful read, not up to
  // now: a process that was paused has not read the owner's latest records. A
  // vacant cell has no owner that a claim could displace.
  const TimePoint observed_until = vacant ? now : replica.m_last_read_sent;
  return observed_until - replica.m_owner_last_active >=
         min_inactivity + rank_delay;
}

/// True if the process is shutting down, or a better-ranked scheduler has been
/// a stable member long enough to take the cell over.
bool ShouldRelease(const CellReplica& replica,
                   const CellContext& context,
                   TimePoint now) {
  if (context.m_leaving) {
    return true;
  }
  const std::vector<std::string> ranked =
      RankOwners(*context.m_membership, replica.m_cell);
  if (ranked.empty() || ranked.front() == context.m_settings->m_name) {
    return false;
  }
  const SchedSettings& settings = *context.m_settings;
  const Member& top_ranked = context.m_membership->m_members.at(ranked.front());
  // A member whose heartbeats have just stopped must not receive the cell back.
  const bool recently_seen =
      now - top_ranked.m_last_seen < 2 * settings.m_heartbeat_period;
  return recently_seen &&
         now - top_ranked.m_first_seen >= settings.m_min_stable_time &&
         now - replica.m_owned_since >= settings.m_min_stable_time;
}

/// True if every message to a worker was answered, or would be refused if it
/// arrived now.
bool AreSyncsResolved(const CellReplica& replica, TimePoint now) {
  return std::all_of(
      replica.m_workers.begin(), replica.m_workers.end(),
      [now](const std::pair<const std::string, WorkerView>& entry) {
        return !entry.second.m_in_flight &&
               now >= entry.second.m_unacknowledged_until;
      });
}

/// Decisions of the next batch: a release, a snapshot or the plan.
std::vector<Decision> NextDecisions(CellReplica* replica,
                                    const CellContext& context,
                                    TimePoint now) {
  if (replica->m_releasing) {
    const bool ready = AreSyncsResolved(*replica, now);
    return ready
               ? std::vector<Decision>{OwnerRelease{context.m_settings->m_name}}
               : std::vector<Decision>{};
  }
  if (replica->m_records_since_snapshot >=
      context.m_settings->m_records_per_snapshot) {
    return MakeSnapshot(replica->m_replay.State());
  }
  return PlanCell(replica, context, now);
}

/// Excludes attempts that \p decisions stop from further starts. Otherwise,
/// such an attempt could be started while its TaskStop is still being appended,
/// which may take arbitrarily long.
void ForbidStarts(CellReplica* replica,
                  const std::vector<Decision>& decisions) {
  for (const Decision& decision : decisions) {
    if (const TaskStop* stop = std::get_if<TaskStop>(&decision)) {
      replica->m_own_commits.erase(AttemptId{stop->m_task, stop->m_attempt});
    }
  }
}

/// Returns the next batch to append to an owned cell's stream, if one is due.
std::optional<std::string> TickOwned(CellReplica* replica,
                                     const CellContext& context,
                                     TimePoint now) {
  if (replica->m_outstanding || now < replica->m_next_batch_at) {
    return std::nullopt;
  }
  replica->m_releasing =
      replica->m_releasing || ShouldRelease(*replica, context, now);
  std::vector<Decision> decisions = NextDecisions(replica, context, now);
  if (decisions.empty() && now < replica->m_renew_at) {
    // Nothing to send: plan again after m_min_batch_interval rather than on
    // every tick.
    replica->m_next_batch_at = now + context.m_settings->m_min_batch_interval;
    return std::nullopt;
  }
  ForbidStarts(replica, decisions);
  return StartBatch(replica, *context.m_settings,
                    replica->m_replay.State().m_epoch, std::move(decisions),
                    now);
}

/// Adds the records that transfer handed-off tasks to their target cells.
void PlanTransfers(CellReplica* replica,
                   TimePoint now,
                   std::vector<TransferOrder>* out) {
  const CellState& state = replica->m_replay.State();
  for (const TaskId& id : state.m_outgoing) {
    TimePoint& retry_at = replica->m_transfer_retry_at[id];
    if (now < retry_at) {
      continue;
    }
    retry_at = now + kTransferRetryInterval;
    const Job& job = state.m_jobs.at(id.m_job);
    const Task& task = job.m_tasks.at(id.m_index);
    TaskAccept accept;
    accept.m_spec = job.m_spec;
    accept.m_index = id.m_index;
    accept.m_hop = task.m_hop + 1;
    accept.m_attempt = task.m_attempt;
    accept.m_failures = task.m_failures;
    accept.m_progress = task.m_progress;
    accept.m_cancelled = job.m_cancelled;
    TransferOrder order;
    order.m_target = task.m_target;
    order.m_task = id;
    order.m_hop = task.m_hop;
    order.m_payload = EncodeBatch(Batch{0, 0, 0, {Decision(accept)}});
    out->push_back(std::move(order));
  }
}

/// Adds the records that forward cancellations to the cells that accepted tasks
/// of the job.
void PlanCancels(CellReplica* replica,
                 TimePoint now,
                 std::vector<TransferOrder>* out) {
  const CellState& state = replica->m_replay.State();
  for (const std::pair<const JobId, Job>& entry : state.m_jobs) {
    const Job& job = entry.second;
    if (!job.m_cancelled || job.m_cancel_forwarded) {
      continue;
    }
    TimePoint& retry_at = replica->m_cancel_retry_at[entry.first];
    if (now < retry_at) {
      continue;
    }
    retry_at = now + kTransferRetryInterval;
    for (const std::string& target : pvt::CancelTargets(job)) {
      TransferOrder order;
      order.m_target = target;
      order.m_cancelled_job = entry.first;
      order.m_payload =
          EncodeBatch(Batch{0, 0, 0, {Decision(JobCancel{entry.first})}});
      out->push_back(std::move(order));
    }
  }
}

}  // namespace

void HandleTransferResult(CellReplica* replica,
                          const TransferOrder& order,
                          bool succeeded) {
  if (succeeded && replica->m_owned) {
    replica->m_delivered_transfers.push_back(order);
  }
}

CellOutput TickCell(CellReplica* replica,
                    const CellContext& context,
                    TimePoint now) {
  CellOutput output;
  if (replica->m_outstanding) {
    OutstandingBatch& outstanding = *replica->m_outstanding;
    if (!outstanding.m_in_flight && now >= outstanding.m_retry_at) {
      outstanding.m_in_flight = true;
      output.m_append = outstanding.m_payload;
    }
  }
  if (!replica->m_owned) {
    if (ShouldClaim(*replica, context, now)) {
      const OwnerClaim claim{context.m_settings->m_name,
                             replica->m_replay.State().m_epoch,
                             replica->m_replay.Next()};
      output.m_append =
          StartBatch(replica, *context.m_settings, 0, {Decision(claim)}, now);
    }
    return output;
  }
  if (std::optional<std::string> append = TickOwned(replica, context, now)) {
    output.m_append = std::move(append);
  }
  if (HoldsLease(*replica, now) && !replica->m_releasing) {
    PlanTransfers(replica, now, &output.m_transfers);
    PlanCancels(replica, now, &output.m_transfers);
  }
  output.m_syncs = pvt::PlanSyncs(pvt::PlanContext{replica, &context, now});
  return output;
}

}  // namespace hyssopspar
