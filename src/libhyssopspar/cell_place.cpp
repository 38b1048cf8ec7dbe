// Placement of pending tasks on workers, and hand-off to other cells.

#include <algorithm>
#include <map>
#include <utility>

#include "hyssopspar/placement.h"
#include "pvt/cell_plan.h"

namespace hyssopspar::pvt {

namespace {

/// Maximum number of pending tasks considered in one pass.
constexpr std::size_t kMaxPendingPerPass = 4000;
/// Number of hand-offs of one task after which it stays in its cell.
constexpr std::uint32_t kMaxHops = 12;
/// Maximum number of hand-offs and parks in one pass.
constexpr std::uint32_t kMaxMovesPerPass = 64;
/// A pass stops placing after this many tasks in a row that fit no worker.
constexpr std::uint32_t kMaxConsecutiveMisses = 64;

struct PendingTask {
  TaskId m_id;
  const Job* m_job = nullptr;
  const Task* m_task = nullptr;
};

/// Workers that accept starts, with their free capacity.
std::vector<Candidate> MakeCandidates(const PlanContext& plan) {
  std::vector<Candidate> candidates;
  const CellState& state = plan.m_replica->m_replay.State();
  for (std::size_t i = 0; i < state.m_workers.size(); ++i) {
    const WorkerSlot& slot = state.m_workers[i];
    if (!slot.m_name.empty() && AcceptsStarts(plan, slot)) {
      Candidate candidate;
      candidate.m_index = static_cast<WorkerIndex>(i);
      candidate.m_rack = slot.m_rack;
      candidate.m_capacity = slot.m_capacity;
      candidate.m_free = slot.m_capacity - slot.m_committed;
      candidates.push_back(std::move(candidate));
    }
  }
  return candidates;
}

/// Pending tasks that are not backing off, by descending priority and then in
/// the order in which their jobs were admitted.
std::vector<PendingTask> CollectPending(const PlanContext& plan) {
  const CellState& state = plan.m_replica->m_replay.State();
  std::vector<PendingTask> pending;
  for (const TaskId& id : state.m_pending) {
    const Job& job = state.m_jobs.at(id.m_job);
    const std::map<TaskId, TimePoint>::const_iterator delay =
        plan.m_replica->m_not_before.find(id);
    const bool backing_off = delay != plan.m_replica->m_not_before.end() &&
                             plan.m_now < delay->second;
    if (!backing_off) {
      pending.push_back(PendingTask{id, &job, &job.m_tasks.at(id.m_index)});
    }
  }
  std::stable_sort(
      pending.begin(), pending.end(),
      [](const PendingTask& a, const PendingTask& b) {
        const JobSpec& x = a.m_job->m_spec;
        const JobSpec& y = b.m_job->m_spec;
        return std::make_pair(-x.m_priority, a.m_job->m_admit_offset) <
               std::make_pair(-y.m_priority, b.m_job->m_admit_offset);
      });
  if (pending.size() > kMaxPendingPerPass) {
    pending.resize(kMaxPendingPerPass);
  }
  return pending;
}

/// CPU use per tenant, to compare with quotas, in thousandths of a processor.
struct QuotaUse {
  std::map<std::string, std::int64_t> m_used;  ///< Committed, by tenant.
  std::int64_t m_capacity = 0;                 ///< Of all workers of the cell.
};

QuotaUse ComputeQuotaUse(const CellState& state) {
  QuotaUse use;
  for (const WorkerSlot& slot : state.m_workers) {
    use.m_capacity += slot.m_capacity.m_cpu_milli;
  }
  for (const TaskId& id : state.m_live) {
    const Job& job = state.m_jobs.at(id.m_job);
    use.m_used[job.m_spec.m_tenant] +=
        job.m_tasks.at(id.m_index).m_size.m_cpu_milli;
  }
  return use;
}

/// True if the tenant stays within its quota with one more task of \p spec. The
/// quota is a share of the cell's CPU capacity.
bool WithinQuota(const PlanContext& plan,
                 const QuotaUse& use,
                 const JobSpec& spec) {
  const TenantConfig* tenant =
      FindTenant(plan.m_context->m_config->m_doc, spec.m_tenant);
  const double share = tenant == nullptr ? 1.0 : tenant->m_quota;
  const std::map<std::string, std::int64_t>::const_iterator used =
      use.m_used.find(spec.m_tenant);
  const std::int64_t in_use = used == use.m_used.end() ? 0 : used->second;
  return static_cast<double>(in_use + spec.m_size.m_cpu_milli) <=
         share * static_cast<double>(use.m_capacity);
}

/// Adds commits for tasks of \p pending that fit a candidate, and removes these
/// tasks from \p pending. Tasks beyond their tenant's quota are skipped unless
/// \p allow_over_quota is set.
void CommitPending(const PlanContext& plan,
                   bool allow_over_quota,
                   QuotaUse* use,
                   std::vector<Candidate>* candidates,
                   std::vector<PendingTask>* pending,
                   std::vector<Decision>* out) {
  const PlacementPolicy policy =
      FindPlacementPolicy(plan.m_context->m_settings->m_placement);
  std::vector<PendingTask> unplaced;
  std::uint32_t consecutive_misses = 0;
  for (const PendingTask& item : *pending) {
    const JobSpec& spec = item.m_job->m_spec;
    const bool batch_has_space =
        out->size() < plan.m_context->m_settings->m_max_batch_decisions;
    if (!batch_has_space || consecutive_misses >= kMaxConsecutiveMisses ||
        (!allow_over_quota && !WithinQuota(plan, *use, spec))) {
      unplaced.push_back(item);
      continue;
    }
    const std::optional<std::size_t> chosen =
        policy(*candidates, spec.m_size, item.m_id.m_job + item.m_id.m_index);
    if (!chosen) {
      ++consecutive_misses;
      unplaced.push_back(item);
      continue;
    }
    consecutive_misses = 0;
    Candidate& candidate = (*candidates)[*chosen];
    candidate.m_free -= spec.m_size;
    use->m_used[spec.m_tenant] += spec.m_size.m_cpu_milli;
    out->push_back(TaskCommit{item.m_id, item.m_task->m_attempt + 1,
                              candidate.m_index, spec.m_size});
  }
  *pending = std::move(unplaced);
}

/// Summaries of the other cells that are in service, by name, as last received
/// from their owners.
std::map<std::string, CellSummary> OtherCells(const PlanContext& plan) {
  std::map<std::string, CellSummary> others;
  for (const std::pair<const std::string, Member>& entry :
       plan.m_context->m_membership->m_members) {
    for (const CellSummary& summary : entry.second.m_heartbeat.m_cells) {
      if (summary.m_cell != plan.m_replica->m_cell &&
          !summary.m_out_of_service) {
        others[summary.m_cell] = summary;
      }
    }
  }
  return others;
}

/// Returns the cell with the most free CPU among those with a worker large
/// enough for \p size, or null. If \p needs_free_capacity is set, the cell must
/// also have that much free capacity now.
CellSummary* PickTargetCell(std::map<std::string, CellSummary>* others,
                            const Resources& size,
                            bool needs_free_capacity) {
  CellSummary* best = nullptr;
  for (std::pair<const std::string, CellSummary>& entry : *others) {
    CellSummary& cell = entry.second;
    const bool eligible = Fits(size, cell.m_largest_worker) &&
                          (!needs_free_capacity || Fits(size, cell.m_free));
    const bool better =
        best == nullptr || cell.m_free.m_cpu_milli > best->m_free.m_cpu_milli;
    if (eligible && better) {
      best = &cell;
    }
  }
  return best;
}

/// Decides whether a task that was not placed is handed off, parked or kept. A
/// task is handed off when it has been pending for m_hand_off_after, or at once
/// if the cell is out of service. It is parked if no worker of any cell is
/// large enough.
std::optional<Decision> HandOffOrPark(
    const PlanContext& plan,
    const PendingTask& item,
    bool out_of_service,
    const Resources& largest,
    std::map<std::string, CellSummary>* others) {
  const Resources& size = item.m_job->m_spec.m_size;
  const bool can_fit = Fits(size, largest);
  const std::map<TaskId, TimePoint>::const_iterator since =
      plan.m_replica->m_pending_since.find(item.m_id);
  const Duration hand_off_after = plan.m_context->m_settings->m_hand_off_after;
  const bool hand_off_due = since != plan.m_replica->m_pending_since.end() &&
                            plan.m_now - since->second >= hand_off_after;
  if (!hand_off_due && !out_of_service) {
    return std::nullopt;
  }
  const bool needs_free_capacity = can_fit && !out_of_service;
  CellSummary* target = PickTargetCell(others, size, needs_free_capacity);
  if (target != nullptr && item.m_task->m_hop < kMaxHops) {
    target->m_free -= size;
    return TaskHandOff{item.m_id, item.m_task->m_hop, target->m_cell};
  }
  const std::size_t cells = CellNames(plan.m_context->m_config->m_doc).size();
  const bool all_cells_listed = others->size() + 1 >= cells;
  if (!can_fit && !out_of_service && target == nullptr && all_cells_listed) {
    return TaskPark{item.m_id, ParkReason::kNoWorkerLargeEnough};
  }
  return std::nullopt;
}

}  // namespace

void PlanPlacement(const PlanContext& plan, std::vector<Decision>* out) {
  const CellState& state = plan.m_replica->m_replay.State();
  std::vector<PendingTask> pending = CollectPending(plan);
  for (const PendingTask& item : pending) {
    plan.m_replica->m_pending_since.emplace(item.m_id, plan.m_now);
  }
  const bool out_of_service = plan.m_context->m_config->m_out_of_service.count(
                                  plan.m_replica->m_failure_domain) > 0;
  if (!out_of_service && StartsAllowed(plan)) {
    std::vector<Candidate> candidates = MakeCandidates(plan);
    QuotaUse use = ComputeQuotaUse(state);
    CommitPending(plan, false, &use, &candidates, &pending, out);
    CommitPending(plan, true, &use, &candidates, &pending, out);
  }
  Resources largest;
  for (const WorkerSlot& slot : state.m_workers) {
    if (slot.m_capacity.m_cpu_milli >= largest.m_cpu_milli) {
      largest = slot.m_capacity;
    }
  }
  std::map<std::string, CellSummary> others = OtherCells(plan);
  std::uint32_t moves = 0;
  for (const PendingTask& item : pending) {
    if (moves >= kMaxMovesPerPass) {
      break;
    }
    const std::optional<Decision> move =
        HandOffOrPark(plan, item, out_of_service, largest, &others);
    if (move) {
      ++moves;
      out->push_back(*move);
    }
  }
}

}  // namespace hyssopspar::pvt
