/// \file
/// Parts of the planning of one cell.

#pragma once

#include <vector>

#include "hyssopspar/cell_owner.h"

namespace hyssopspar::pvt {

/// What every part of the planning looks at.
struct PlanContext {
  CellOwner* m_owner = nullptr;
  const CellContext* m_context = nullptr;
  TimePoint m_now;
};

/// True while the owner may start anything: its lease holds and its view of the
/// configuration is fresh.
bool StartsAllowed(const PlanContext& plan);

/// True when new work may go to the worker.
bool AcceptsStarts(const PlanContext& plan, const WorkerSlot& slot);

/// True when work must leave the worker: it, or its failure domain, is out of
/// service or leaving.
bool MustLeave(const PlanContext& plan, const WorkerSlot& slot);

/// The VM of a worker, or null when the list does not have it.
const Vm* FindVm(const PlanContext& plan, const std::string& name);

/// Cells that tasks of \p job have certainly reached.
std::set<std::string> CancelTargets(const Job& job);

/// Adds commits, hand-offs and parks of pending tasks.
void PlanPlacement(const PlanContext& plan, std::vector<Decision>* out);

/// Messages to the cell's workers that are due.
std::vector<SyncOrder> PlanSyncs(const PlanContext& plan);

}  // namespace hyssopspar::pvt
