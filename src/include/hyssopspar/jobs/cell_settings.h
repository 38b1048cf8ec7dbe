/// \file
/// Timing settings of a cell's owner, and its epoch.

#pragma once

#include <cstdint>
#include <string>

#include "hyssopspar/jobs/worker_restart.h"
#include "hyssopspar/store/store_limits.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

struct CellSettings {
  std::uint64_t m_epoch = 1;

  /// Lease that each heartbeat grants to a worker; at most the platform's
  /// limit.
  milliseconds m_lease{5000};
  OrderLimits m_order_limits;
  /// All leases that earlier owners granted have expired by then, but for those
  /// of workers that had just restarted.
  TimePoint m_inherited_lease_deadline;
  /// Earlier owners have sent no order after this.
  TimePoint m_inherited_orders_until;
  StoreLimits m_store_limits;
  /// Minimum time from a stored batch to the next one, so that one append
  /// carries many changes.
  milliseconds m_flush_interval{20};
  /// Time that a worker with tasks waits for a run to end before it answers a
  /// heartbeat.
  milliseconds m_heartbeat_wait{1000};
  /// Replaces m_heartbeat_wait for a worker without tasks.
  milliseconds m_idle_heartbeat_wait{2000};
  /// Replaces m_heartbeat_wait for a worker that runs both serving and
  /// best-effort tasks: best-effort tasks are throttled by the tail latencies
  /// that the answers report.
  milliseconds m_throttling_heartbeat_wait{500};
  /// A worker refuses a start order that arrives later than this after it was
  /// sent.
  milliseconds m_start_validity{1500};
  /// Nothing is started when the view of the operators' decisions or of the
  /// workers is older than this.
  milliseconds m_max_view_age{1500};
  /// Time between sweeps that replace the records of ended jobs by tombstones.
  milliseconds m_tombstone_interval{1000};
  /// Minimum time since its end after which a sweep includes a job.
  milliseconds m_tombstone_age{3000};
  /// The final states of ended jobs are kept this long to answer status
  /// queries.
  milliseconds m_ended_job_retention{150000};
  /// A worker on which tasks of several jobs failed in a row gets no new task
  /// for this long.
  milliseconds m_quarantine_period{5000};
  /// Forecasts the load of serving jobs; see forecast/load_cycle.h.
  bool m_forecasts_load = false;
  /// Admission control is enabled, which needs Cell::SummarizeLoad().
  bool m_measures_load = false;
  /// Placement considers the large tasks that wait and the expected ends of
  /// running ones; see jobs/reservation/.
  bool m_look_ahead = false;
};

}  // namespace hyssopspar::jobs
