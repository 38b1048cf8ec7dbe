// What an owner or a candidate sends at a given time.

#include <algorithm>
#include <utility>

#include "hyssopspar/cell_owner.h"
#include "hyssopspar/logging.h"
#include "pvt/cell_plan.h"

namespace hyssopspar {

namespace {

/// Time between repeats of a transfer whose append did not succeed.
constexpr milliseconds kTransferRetry{500};

/// Starts sending \p decisions as the next batch.
std::string StartBatch(CellOwner* owner,
                       const SchedSettings& settings,
                       Epoch epoch,
                       std::vector<Decision> decisions,
                       TimePoint now) {
  OutstandingBatch outstanding;
  outstanding.m_batch.m_writer = owner->m_writer;
  outstanding.m_batch.m_sequence = owner->m_next_sequence++;
  outstanding.m_batch.m_epoch = epoch;
  outstanding.m_batch.m_decisions = std::move(decisions);
  outstanding.m_payload = EncodeBatch(outstanding.m_batch);
  outstanding.m_first_sent = now;
  outstanding.m_in_flight = true;
  owner->m_outstanding = std::move(outstanding);
  owner->m_next_batch = now + settings.m_batch_min;
  owner->m_renew_at = now + settings.m_cell_renew;
  ++owner->m_counters.m_batches;
  return owner->m_outstanding->m_payload;
}

/// Place of this scheduler among the candidates, the silent owner left out.
std::optional<std::size_t> ClaimRank(const CellOwner& owner,
                                     const CellContext& context) {
  std::size_t rank = 0;
  const std::string& silent = owner.m_replay.State().m_owner;
  for (const std::string& name :
       RankOwners(*context.m_membership, owner.m_cell)) {
    if (name == context.m_settings->m_name) {
      return rank;
    }
    rank += name == silent ? 0 : 1;
  }
  return std::nullopt;
}

/// True when this scheduler should claim the cell now.
bool ShouldClaim(const CellOwner& owner,
                 const CellContext& context,
                 TimePoint now) {
  const SchedSettings& settings = *context.m_settings;
  const bool able = owner.m_caught_up && owner.m_reading &&
                    !context.m_leaving && context.m_config_ready &&
                    !owner.m_outstanding && now >= owner.m_next_batch;
  const std::optional<std::size_t> rank =
      able ? ClaimRank(owner, context) : std::nullopt;
  if (!rank) {
    return false;
  }
  const Duration turn = settings.m_claim_stagger * *rank;
  const bool vacant = owner.m_replay.State().m_owner.empty();
  const Duration wait =
      vacant ? Duration::zero() : WithDrift(settings, settings.m_cell_lease);
  // Silence counts up to the last look at the log, not up to now: a process
  // that was paused has not looked. Nobody can be hurt in a vacant cell.
  const TimePoint looked = vacant ? now : owner.m_read_verified;
  return looked - owner.m_owner_seen >= wait + turn;
}

/// True when the cell should move to a better-placed member, or this process is
/// leaving.
bool ShouldRelease(const CellOwner& owner,
                   const CellContext& context,
                   TimePoint now) {
  if (context.m_leaving) {
    return true;
  }
  const std::vector<std::string> ranked =
      RankOwners(*context.m_membership, owner.m_cell);
  if (ranked.empty() || ranked.front() == context.m_settings->m_name) {
    return false;
  }
  const SchedSettings& settings = *context.m_settings;
  const Member& first = context.m_membership->m_members.at(ranked.front());
  // A member that has just fallen silent must not get the cell back at once.
  const bool heard = now - first.m_last_seen < 2 * settings.m_beat_period;
  return heard && now - first.m_first_seen >= settings.m_settle &&
         now - owner.m_term_began >= settings.m_settle;
}

/// True when no message to a worker can still take effect.
bool IsSettled(const CellOwner& owner, TimePoint now) {
  return std::all_of(
      owner.m_workers.begin(), owner.m_workers.end(),
      [now](const std::pair<const std::string, WorkerView>& entry) {
        return !entry.second.m_in_flight &&
               now >= entry.second.m_unsettled_until;
      });
}

std::vector<Decision> NextDecisions(CellOwner* owner,
                                    const CellContext& context,
                                    TimePoint now) {
  if (owner->m_releasing) {
    const bool ready = IsSettled(*owner, now);
    return ready
               ? std::vector<Decision>{OwnerRelease{context.m_settings->m_name}}
               : std::vector<Decision>{};
  }
  if (owner->m_since_snapshot >= context.m_settings->m_snapshot_records) {
    return MakeSnapshot(owner->m_replay.State());
  }
  return PlanCell(owner, context, now);
}

/// An attempt that was judged over must not be started while the judgement is
/// on its way into the log, however long that takes.
void ForbidStarts(CellOwner* owner, const std::vector<Decision>& decisions) {
  for (const Decision& decision : decisions) {
    if (const TaskStop* stop = std::get_if<TaskStop>(&decision)) {
      owner->m_own_commits.erase(AttemptId{stop->m_task, stop->m_attempt});
    }
  }
}

std::optional<std::string> TickOwned(CellOwner* owner,
                                     const CellContext& context,
                                     TimePoint now) {
  if (owner->m_outstanding || now < owner->m_next_batch) {
    return std::nullopt;
  }
  owner->m_releasing =
      owner->m_releasing || ShouldRelease(*owner, context, now);
  std::vector<Decision> decisions = NextDecisions(owner, context, now);
  if (decisions.empty() && now < owner->m_renew_at) {
    // Plan again soon, yet not on every tick.
    owner->m_next_batch = now + context.m_settings->m_batch_min;
    return std::nullopt;
  }
  ForbidStarts(owner, decisions);
  return StartBatch(owner, *context.m_settings, owner->m_replay.State().m_epoch,
                    std::move(decisions), now);
}

/// Sends handed-off tasks to their targets.
void PlanTransfers(CellOwner* owner,
                   TimePoint now,
                   std::vector<TransferOrder>* out) {
  const CellState& state = owner->m_replay.State();
  for (const TaskId& id : state.m_outgoing) {
    TimePoint& retry = owner->m_transfer_retry[id];
    if (now < retry) {
      continue;
    }
    retry = now + kTransferRetry;
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

/// Sends cancellations after the tasks that went to other cells.
void PlanCancels(CellOwner* owner,
                 TimePoint now,
                 std::vector<TransferOrder>* out) {
  const CellState& state = owner->m_replay.State();
  for (const std::pair<const JobId, Job>& entry : state.m_jobs) {
    const Job& job = entry.second;
    if (!job.m_cancelled || job.m_cancel_forwarded) {
      continue;
    }
    TimePoint& retry = owner->m_cancel_retry[entry.first];
    if (now < retry) {
      continue;
    }
    retry = now + kTransferRetry;
    for (const std::string& target : pvt::CancelTargets(job)) {
      TransferOrder order;
      order.m_target = target;
      order.m_cancel = entry.first;
      order.m_payload =
          EncodeBatch(Batch{0, 0, 0, {Decision(JobCancel{entry.first})}});
      out->push_back(std::move(order));
    }
  }
}

}  // namespace

void NoteTransfer(CellOwner* owner,
                  const TransferOrder& order,
                  bool succeeded) {
  if (succeeded && owner->m_owned) {
    owner->m_delivered.push_back(order);
  }
}

CellOutput TickCell(CellOwner* owner,
                    const CellContext& context,
                    TimePoint now) {
  CellOutput output;
  if (owner->m_outstanding) {
    OutstandingBatch& outstanding = *owner->m_outstanding;
    if (!outstanding.m_in_flight && now >= outstanding.m_retry_at) {
      outstanding.m_in_flight = true;
      output.m_append = outstanding.m_payload;
    }
  }
  if (!owner->m_owned) {
    if (ShouldClaim(*owner, context, now)) {
      const OwnerClaim claim{context.m_settings->m_name,
                             owner->m_replay.State().m_epoch,
                             owner->m_replay.Next()};
      output.m_append =
          StartBatch(owner, *context.m_settings, 0, {Decision(claim)}, now);
    }
    return output;
  }
  if (std::optional<std::string> append = TickOwned(owner, context, now)) {
    output.m_append = std::move(append);
  }
  if (HoldsLease(*owner, now) && !owner->m_releasing) {
    PlanTransfers(owner, now, &output.m_transfers);
    PlanCancels(owner, now, &output.m_transfers);
  }
  output.m_syncs = pvt::PlanSyncs(pvt::PlanContext{owner, &context, now});
  return output;
}

}  // namespace hyssopspar
