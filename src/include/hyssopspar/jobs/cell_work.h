/// \file
/// Amount of work that a cell's owner has done, in operations, so that it can
/// be compared between machines.

#pragma once

#include <cstdint>

namespace hyssopspar::jobs {

/// Counts since the cell was created.
struct CellWork {
  std::uint64_t m_passes = 0;         ///< Scheduling passes.
  std::uint64_t m_jobs_ordered = 0;   ///< Jobs ordered by urgency in passes.
  std::uint64_t m_worker_visits = 0;  ///< Workers examined, in all parts.
  std::uint64_t m_tasks_placed = 0;
  std::uint64_t m_starts = 0;
  std::uint64_t m_reports = 0;  ///< Reports of workers.
};

}  // namespace hyssopspar::jobs
