/// \file
/// Settings of the scheduler's decisions.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "hyssopspar/time.h"

namespace hyssopspar {

struct SchedSettings {
  std::string m_name;
  std::string m_failure_domain;
  std::string m_address;

  milliseconds m_cell_lease{3000};
  milliseconds m_cell_renew{1000};
  milliseconds m_claim_stagger{500};
  milliseconds m_worker_lease{6000};
  milliseconds m_worker_renew{1000};
  milliseconds m_worker_timeout{1000};
  milliseconds m_drift_margin{250};
  double m_drift_rate = 0.002;  ///< Bound of clock error, seconds per second.
  /// Age up to which the view of the configuration permits a start.
  milliseconds m_freshness{3000};
  /// How long worker leases are renewed while the log can't be reached.
  milliseconds m_outage_limit{15 * 60 * 1000};
  milliseconds m_beat_period{1000};
  milliseconds m_member_timeout{6000};
  /// Time a better-placed member must be known before a cell moves to it.
  milliseconds m_settle{5000};
  /// Upper bound of the VM list's lag: a VM shown dead for longer is dead.
  milliseconds m_vm_list_lag{5000};
  milliseconds m_batch_min{20};
  milliseconds m_batch_max{1000};
  milliseconds m_append_retry{200};
  milliseconds m_spill_after{2000};
  milliseconds m_quarantine{60000};
  milliseconds m_retry_base{500};
  milliseconds m_retry_max{60000};
  milliseconds m_forget_after{24 * 3600 * 1000};

  std::size_t m_batch_decisions = 256;
  std::uint64_t m_snapshot_records = 2000;
  std::uint32_t m_max_failures = 6;
  std::uint32_t m_quarantine_failures = 4;
  std::uint32_t m_watch_ranks = 3;
  std::string m_placement = "score";
};

/// Time of ours within which \p period has certainly passed on any worker's
/// clock and on any other scheduler's.
inline Duration WithDrift(const SchedSettings& settings, Duration period) {
  const Duration error = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(period) * 2 * settings.m_drift_rate);
  return period + error + settings.m_drift_margin;
}

}  // namespace hyssopspar
