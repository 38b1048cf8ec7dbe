/// \file
/// Settings that the scheduler's decisions depend on.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "hyssopspar/time.h"

namespace hyssopspar {

struct SchedSettings {
  std::string m_name;            ///< Of this scheduler, unique among members.
  std::string m_failure_domain;  ///< Of this scheduler.
  std::string m_address;         ///< Of this scheduler's HTTP interface.

  /// Ownership of a cell lasts this long after a renewal was sent.
  milliseconds m_cell_lease{3000};
  milliseconds m_cell_renew_period{1000};  ///< Period of ownership renewals.
  /// Delay of a claim for each better-ranked candidate.
  milliseconds m_claim_rank_delay{500};
  /// A worker runs a task this long after the last lease renewal.
  milliseconds m_worker_lease{6000};
  /// Period of worker lease renewals.
  milliseconds m_worker_renew_period{1000};
  milliseconds m_worker_timeout{1000};  ///< Of one call to a worker.
  /// Fixed margin added to periods that another process measures by its clock.
  milliseconds m_drift_margin{250};
  double m_drift_rate = 0.002;  ///< Bound of clock error, seconds per second.
  /// Maximum age of the configuration at which a start is permitted.
  milliseconds m_max_config_age{3000};
  /// How long worker leases are renewed while the log is unreachable.
  milliseconds m_outage_limit{15 * 60 * 1000};
  /// Period of heartbeats to other members.
  milliseconds m_heartbeat_period{1000};
  /// A member is dropped this long after its last heartbeat.
  milliseconds m_member_timeout{6000};
  /// An owner releases a cell to a better-ranked member only this long after
  /// the member's first heartbeat and this long after it became the owner.
  milliseconds m_min_stable_time{5000};
  /// Maximum lag of the VM list. A VM that the list has shown as dead for this
  /// long is considered dead.
  milliseconds m_vm_list_lag{5000};
  milliseconds m_min_batch_interval{20};  ///< Minimum interval between batches.
  milliseconds m_max_batch_interval{1000};
  milliseconds m_append_retry_interval{200};
  /// Pending time after which a task may be handed off to another cell.
  milliseconds m_hand_off_after{2000};
  /// Duration of a worker's quarantine.
  milliseconds m_quarantine_period{60000};
  milliseconds m_min_retry_delay{500};    ///< Delay before the first retry.
  milliseconds m_max_retry_delay{60000};  ///< Maximum delay before a retry.
  /// Time after a job's end at which it is removed.
  milliseconds m_ended_job_retention{24 * 3600 * 1000};

  std::size_t m_max_batch_decisions = 256;
  /// Records after which the owner writes a snapshot of the cell.
  std::uint64_t m_records_per_snapshot = 2000;
  /// Failed attempts after which a task is parked.
  std::uint32_t m_max_failures = 6;
  /// Failed attempts in a row after which a worker may be quarantined.
  std::uint32_t m_failures_before_quarantine = 4;
  /// A scheduler follows the cells for which it ranks among this many.
  std::uint32_t m_followed_ranks = 3;
  std::string m_placement = "score";  ///< Name of the placement policy.
};

/// Local duration after which \p period has certainly passed on the clock of
/// any worker or other scheduler. The drift rate counts twice, since both
/// clocks may be off by it, in opposite directions.
inline Duration WithDrift(const SchedSettings& settings, Duration period) {
  const Duration error = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(period) * 2 * settings.m_drift_rate);
  return period + error + settings.m_drift_margin;
}

}  // namespace hyssopspar
