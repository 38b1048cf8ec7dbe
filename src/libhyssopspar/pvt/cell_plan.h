/// \file
/// Functions shared by the files that plan an owned cell's next batch and its
/// messages to workers.

#pragma once

#include <vector>

#include "hyssopspar/cell_owner.h"

namespace hyssopspar::pvt {

/// Inputs of the planning of one cell at one time.
struct PlanContext {
  CellReplica* m_replica = nullptr;
  const CellContext* m_context = nullptr;
  TimePoint m_now;
};

/// True if the owner may commit and start tasks: its ownership lease is valid,
/// it is not releasing the cell, and its configuration is recent enough.
bool StartsAllowed(const PlanContext& plan);

/// True if tasks may be started on the worker: it is reachable, the VM list
/// contains it, MustVacate is false and it is not quarantined.
bool AcceptsStarts(const PlanContext& plan, const WorkerSlot& slot);

/// True if tasks must be evicted from the worker: its VM is not live, or it or
/// its failure domain is out of service.
bool MustVacate(const PlanContext& plan, const WorkerSlot& slot);

/// Returns the VM of a worker, or null if the VM list lacks it.
const Vm* FindVm(const PlanContext& plan, const std::string& name);

/// Returns the cells that are confirmed to have received tasks of \p job. If
/// the job is cancelled, its cancellation must be sent to them.
std::set<std::string> CancelTargets(const Job& job);

/// Adds decisions that commit, hand off or park pending tasks.
void PlanPlacement(const PlanContext& plan, std::vector<Decision>* out);

/// Returns the messages to the cell's workers that are due now.
std::vector<SyncOrder> PlanSyncs(const PlanContext& plan);

}  // namespace hyssopspar::pvt
