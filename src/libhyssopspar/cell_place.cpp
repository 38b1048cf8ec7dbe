// Placement of pending tasks, and their moves to other cells.

#include <algorithm>
#include <map>
#include <utility>

#include "hyssopspar/placement.h"
#include "pvt/cell_plan.h"

namespace hyssopspar::pvt {

namespace {

/// Pending tasks looked at in one pass.
constexpr std::size_t kMaxScan = 4000;
/// Moves of one task between cells before it stays where it is.
constexpr std::uint32_t kMaxHops = 12;
constexpr std::uint32_t kMaxHandOffs = 64;
/// After this many sizes in a row fit nowhere, the pass ends.
constexpr std::uint32_t kMaxMisses = 64;

struct PendingTask {
  TaskId m_id;
  const Job* m_job = nullptr;
  const Task* m_task = nullptr;
};

std::vector<Candidate> MakeCandidates(const PlanContext& plan) {
  std::vector<Candidate> candidates;
  const CellState& state = plan.m_owner->m_replay.State();
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

std::vector<PendingTask> CollectPending(const PlanContext& plan) {
  const CellState& state = plan.m_owner->m_replay.State();
  std::vector<PendingTask> pending;
  for (const TaskId& id : state.m_pending) {
    const Job& job = state.m_jobs.at(id.m_job);
    const std::map<TaskId, TimePoint>::const_iterator delay =
        plan.m_owner->m_not_before.find(id);
    const bool backing_off =
        delay != plan.m_owner->m_not_before.end() && plan.m_now < delay->second;
    if (!backing_off) {
      pending.push_back(PendingTask{id, &job, &job.m_tasks.at(id.m_index)});
    }
  }
  std::stable_sort(pending.begin(), pending.end(),
                   [](const PendingTask& a, const PendingTask& b) {
                     const JobSpec& x = a.m_job->m_spec;
                     const JobSpec& y = b.m_job->m_spec;
                     return std::make_pair(-x.m_priority, a.m_job->m_admitted) <
                            std::make_pair(-y.m_priority, b.m_job->m_admitted);
                   });
  if (pending.size() > kMaxScan) {
    pending.resize(kMaxScan);
  }
  return pending;
}

/// Processors each tenant holds, and may hold before it borrows.
struct QuotaUse {
  std::map<std::string, std::int64_t> m_used;
  std::int64_t m_capacity = 0;
};

QuotaUse MeasureQuotas(const CellState& state) {
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

bool WithinQuota(const PlanContext& plan,
                 const QuotaUse& use,
                 const JobSpec& spec) {
  const TenantConfig* tenant =
      FindTenant(plan.m_context->m_config->m_doc, spec.m_tenant);
  const double share = tenant == nullptr ? 1.0 : tenant->m_quota;
  const std::map<std::string, std::int64_t>::const_iterator used =
      use.m_used.find(spec.m_tenant);
  const std::int64_t held = used == use.m_used.end() ? 0 : used->second;
  return static_cast<double>(held + spec.m_size.m_cpu_milli) <=
         share * static_cast<double>(use.m_capacity);
}

/// Commits tasks of \p pending; those placed are removed from it.
void Place(const PlanContext& plan,
           bool borrow,
           QuotaUse* use,
           std::vector<Candidate>* candidates,
           std::vector<PendingTask>* pending,
           std::vector<Decision>* out) {
  const PlacementPolicy policy =
      FindPlacementPolicy(plan.m_context->m_settings->m_placement);
  std::vector<PendingTask> left;
  std::uint32_t misses = 0;
  for (const PendingTask& item : *pending) {
    const JobSpec& spec = item.m_job->m_spec;
    const bool room_in_batch =
        out->size() < plan.m_context->m_settings->m_batch_decisions;
    if (!room_in_batch || misses >= kMaxMisses ||
        (!borrow && !WithinQuota(plan, *use, spec))) {
      left.push_back(item);
      continue;
    }
    const std::optional<std::size_t> at =
        policy(*candidates, spec.m_size, item.m_id.m_job + item.m_id.m_index);
    if (!at) {
      ++misses;
      left.push_back(item);
      continue;
    }
    misses = 0;
    Candidate& candidate = (*candidates)[*at];
    candidate.m_free -= spec.m_size;
    use->m_used[spec.m_tenant] += spec.m_size.m_cpu_milli;
    out->push_back(TaskCommit{item.m_id, item.m_task->m_attempt + 1,
                              candidate.m_index, spec.m_size});
  }
  *pending = std::move(left);
}

/// Free amounts of the other cells, by cell, that are in service.
std::map<std::string, CellSummary> OtherCells(const PlanContext& plan) {
  std::map<std::string, CellSummary> others;
  for (const std::pair<const std::string, Member>& entry :
       plan.m_context->m_membership->m_members) {
    for (const CellSummary& summary : entry.second.m_beat.m_cells) {
      if (summary.m_cell != plan.m_owner->m_cell && !summary.m_out) {
        others[summary.m_cell] = summary;
      }
    }
  }
  return others;
}

/// The other cell with the most processors free for \p size, or null.
CellSummary* PickCell(std::map<std::string, CellSummary>* others,
                      const Resources& size,
                      bool must_have_room) {
  CellSummary* best = nullptr;
  for (std::pair<const std::string, CellSummary>& entry : *others) {
    CellSummary& cell = entry.second;
    const bool able = Fits(size, cell.m_largest) &&
                      (!must_have_room || Fits(size, cell.m_free));
    const bool better =
        best == nullptr || cell.m_free.m_cpu_milli > best->m_free.m_cpu_milli;
    if (able && better) {
      best = &cell;
    }
  }
  return best;
}

/// Decides what happens to a task that found no worker here.
std::optional<Decision> MoveOrPark(const PlanContext& plan,
                                   const PendingTask& item,
                                   bool out_of_service,
                                   const Resources& largest,
                                   std::map<std::string, CellSummary>* others) {
  const Resources& size = item.m_job->m_spec.m_size;
  const bool can_fit = Fits(size, largest);
  const std::map<TaskId, TimePoint>::const_iterator since =
      plan.m_owner->m_pending_since.find(item.m_id);
  const Duration spill_after = plan.m_context->m_settings->m_spill_after;
  const bool waited = since != plan.m_owner->m_pending_since.end() &&
                      plan.m_now - since->second >= spill_after;
  if (!waited && !out_of_service) {
    return std::nullopt;
  }
  const bool must_have_room = can_fit && !out_of_service;
  CellSummary* target = PickCell(others, size, must_have_room);
  if (target != nullptr && item.m_task->m_hop < kMaxHops) {
    target->m_free -= size;
    return TaskHandOff{item.m_id, item.m_task->m_hop, target->m_cell};
  }
  const std::size_t cells = CellNames(plan.m_context->m_config->m_doc).size();
  const bool all_known = others->size() + 1 >= cells;
  if (!can_fit && !out_of_service && target == nullptr && all_known) {
    return TaskPark{item.m_id, ParkReason::kNoWorkerLargeEnough};
  }
  return std::nullopt;
}

}  // namespace

void PlanPlacement(const PlanContext& plan, std::vector<Decision>* out) {
  const CellState& state = plan.m_owner->m_replay.State();
  std::vector<PendingTask> pending = CollectPending(plan);
  for (const PendingTask& item : pending) {
    plan.m_owner->m_pending_since.emplace(item.m_id, plan.m_now);
  }
  const bool out_of_service =
      plan.m_context->m_config->m_out.count(plan.m_owner->m_failure_domain) > 0;
  if (!out_of_service && StartsAllowed(plan)) {
    std::vector<Candidate> candidates = MakeCandidates(plan);
    QuotaUse use = MeasureQuotas(state);
    Place(plan, false, &use, &candidates, &pending, out);
    Place(plan, true, &use, &candidates, &pending, out);
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
    if (moves >= kMaxHandOffs) {
      break;
    }
    const std::optional<Decision> move =
        MoveOrPark(plan, item, out_of_service, largest, &others);
    if (move) {
      ++moves;
      out->push_back(*move);
    }
  }
}

}  // namespace hyssopspar::pvt
