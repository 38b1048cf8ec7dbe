/// \file
/// State of an owner and constants, for the parts of JobSimulation.

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>

#include "hyssopspar/jobs/cell_loader.h"
#include "job_state/job_world.h"

namespace hyssopspar::jobs {

/// Period in which jobs arrive and faults are injected.
inline constexpr milliseconds kFaultPeriod{40000};
/// Time without faults after it.
inline constexpr milliseconds kSettleTime{60000};
/// Time after which an order without an answer fails at its owner.
inline constexpr milliseconds kOrderTimeout{1000};
/// Time for which an owner that has lost the store may still send starts and
/// heartbeats.
inline constexpr milliseconds kOwnershipLease{6000};
inline constexpr milliseconds kTicketValidity{900};
/// Failed runs after which a task and its job have failed.
inline constexpr std::uint32_t kMaxAttempts = 4;
/// Labels of workers that may change when they restart.
inline constexpr std::array<const char*, 2> kKinds = {"a", "b"};

struct JobSimulation::Owner {
  std::unique_ptr<Cell> m_cell;
  std::uint64_t m_epoch = 0;
  CellLoader m_loader;
  std::size_t m_job_records_applied = 0;  ///< Number of m_job_records.
  bool m_active = true;                   ///< False once killed or fenced.
  std::size_t m_quotas_applied = 0;       ///< Number of quotas of all tenants.
  bool m_loaded = false;                  ///< Stored progress has been applied.
  TimePoint m_store_unreachable_until;
  /// Workers that only this owner cannot reach, and that its worker list lacks,
  /// until m_partition_end.
  std::set<int> m_partitioned_workers;
  TimePoint m_partition_end;
  TimePoint m_views_current_at;
  TimePoint m_decide_at = TimePoint::max();  ///< Next scheduled decision.
  TimePoint m_paused_until;  ///< The process stands still until then.
  /// Entry of each worker that the owner was last given; none while the list
  /// lacks the worker.
  std::map<int, WorkerEntry> m_listed;
};

}  // namespace hyssopspar::jobs
