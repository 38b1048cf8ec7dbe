#include "sched/sched_config.h"

namespace hyssopspar::sched {

namespace {

constexpr milliseconds kMinute{60000};
constexpr milliseconds kHour{3600000};

/// Reads the lease and clock settings, and checks that each renewal period is
/// at most half of its lease.
void ReadLeaseSettings(SettingsReader* reader, SchedSettings* settings) {
  settings->m_cell_lease = reader->Millis(
      "cell_lease_ms", settings->m_cell_lease, milliseconds(500), kMinute);
  settings->m_cell_renew_period =
      reader->Millis("cell_renew_ms", settings->m_cell_renew_period,
                     milliseconds(100), kMinute);
  settings->m_worker_lease = reader->Millis(
      "worker_lease_ms", settings->m_worker_lease, milliseconds(1000), kHour);
  settings->m_worker_renew_period =
      reader->Millis("worker_renew_ms", settings->m_worker_renew_period,
                     milliseconds(50), kHour);
  settings->m_worker_timeout =
      reader->Millis("worker_timeout_ms", settings->m_worker_timeout,
                     milliseconds(50), kMinute);
  settings->m_drift_margin = reader->Millis(
      "drift_margin_ms", settings->m_drift_margin, milliseconds(1), kMinute);
  settings->m_drift_rate =
      reader->Number("drift_rate", settings->m_drift_rate, 0.0, 0.1);
  settings->m_outage_limit = reader->Millis(
      "outage_limit_ms", settings->m_outage_limit, milliseconds(0), 24 * kHour);
  if (2 * settings->m_cell_renew_period > settings->m_cell_lease) {
    reader->AddProblem("cell_renew_ms",
                       "expected at most half of cell_lease_ms");
  }
  if (2 * settings->m_worker_renew_period > settings->m_worker_lease) {
    reader->AddProblem("worker_renew_ms",
                       "expected at most half of worker_lease_ms");
  }
}

}  // namespace

SchedConfig ReadSchedConfig(SettingsReader* reader) {
  SchedConfig config;
  SchedSettings& settings = config.m_sched;
  settings.m_name = reader->String("name");
  settings.m_failure_domain = reader->String("failure_domain");
  config.m_listen = reader->Address("listen");
  settings.m_address = config.m_listen;
  config.m_log_address = reader->Address("log_address");
  config.m_vm_list_address = reader->Address("vm_list_address");
  config.m_log_level = reader->Choice(
      "log_level", {"debug", "info", "warn", "error", "off"}, "info");
  config.m_vm_list_period = reader->Millis(
      "vm_list_period_ms", config.m_vm_list_period, milliseconds(50), kMinute);
  config.m_append_timeout = reader->Millis(
      "append_timeout_ms", config.m_append_timeout, milliseconds(50), kMinute);
  config.m_limits = ReadResourceLimits(reader);
  ReadLeaseSettings(reader, &settings);
  settings.m_max_config_age =
      reader->Millis("freshness_ms", settings.m_max_config_age,
                     milliseconds(600), milliseconds(10000));
  settings.m_heartbeat_period =
      reader->Millis("beat_period_ms", settings.m_heartbeat_period,
                     milliseconds(100), kMinute);
  settings.m_member_timeout = reader->Millis(
      "member_timeout_ms", settings.m_member_timeout, milliseconds(500), kHour);
  settings.m_min_batch_interval =
      reader->Millis("batch_min_ms", settings.m_min_batch_interval,
                     milliseconds(1), milliseconds(10000));
  settings.m_vm_list_lag = reader->Millis(
      "vm_list_lag_ms", settings.m_vm_list_lag, milliseconds(100), kHour);
  settings.m_hand_off_after = reader->Millis(
      "spill_after_ms", settings.m_hand_off_after, milliseconds(0), kHour);
  settings.m_quarantine_period =
      reader->Millis("quarantine_ms", settings.m_quarantine_period,
                     milliseconds(100), 24 * kHour);
  settings.m_min_retry_delay = reader->Millis(
      "retry_base_ms", settings.m_min_retry_delay, milliseconds(1), kMinute);
  settings.m_max_retry_delay = reader->Millis(
      "retry_max_ms", settings.m_max_retry_delay, milliseconds(1), kHour);
  settings.m_ended_job_retention =
      reader->Millis("forget_after_ms", settings.m_ended_job_retention,
                     milliseconds(1000), 240 * kHour);
  settings.m_records_per_snapshot = static_cast<std::uint64_t>(
      reader->Int("snapshot_records", 2000, 10, 1000000));
  settings.m_max_failures =
      static_cast<std::uint32_t>(reader->Int("max_failures", 6, 1, 1000));
  settings.m_placement = reader->Choice(
      "placement", {"score", "first-fit", "random-of-two"}, "score");
  return config;
}

}  // namespace hyssopspar::sched
