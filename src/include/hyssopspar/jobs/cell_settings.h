/// \file
/// Settings of a cell's owner.

#pragma once

#include <cstdint>
#include <string>

#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

struct CellSettings {
  std::uint64_t m_epoch = 1;

  /// Lease granted to workers with each hold; at most what the platform allows.
  milliseconds m_lease{5000};
  /// By then all leases that earlier owners granted have lapsed.
  TimePoint m_inherited_lease_deadline;
  /// Pause between batches, so that one append carries many changes.
  milliseconds m_flush_interval{20};
  /// Time that a worker waits for an end before it answers a hold.
  milliseconds m_hold_wait{1000};
  /// The same for a worker that runs nothing, and for one whose served tail is
  /// being watched.
  milliseconds m_idle_hold_wait{2000};
  milliseconds m_watch_hold_wait{500};
  /// A worker refuses a start that arrives later than this.
  milliseconds m_start_validity{1500};
  /// No start on a view of operators or workers older than this.
  milliseconds m_view_limit{1500};
  /// Between sweeps of ended jobs, and their age from which only the state is
  /// kept.
  milliseconds m_retire_interval{1000};
  milliseconds m_retire_age{3000};
  /// The states of ended jobs are kept this long for questions about them.
  milliseconds m_retention{150000};
  /// A worker that fails tasks of several jobs in a row gets none this long.
  milliseconds m_quarantine{5000};
};

}  // namespace hyssopspar::jobs
