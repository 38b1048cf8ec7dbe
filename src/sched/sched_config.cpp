#include "sched/sched_config.h"

namespace hyssopspar::sched {

namespace {

constexpr milliseconds kMinute{60000};
constexpr milliseconds kHour{3600000};

void ReadLeases(SettingsReader* reader, SchedSettings* s) {
  s->m_cell_lease = reader->Millis("cell_lease_ms", s->m_cell_lease,
                                   milliseconds(500), kMinute);
  s->m_cell_renew = reader->Millis("cell_renew_ms", s->m_cell_renew,
                                   milliseconds(100), kMinute);
  s->m_worker_lease = reader->Millis("worker_lease_ms", s->m_worker_lease,
                                     milliseconds(1000), kHour);
  s->m_worker_renew = reader->Millis("worker_renew_ms", s->m_worker_renew,
                                     milliseconds(50), kHour);
  s->m_worker_timeout = reader->Millis("worker_timeout_ms", s->m_worker_timeout,
                                       milliseconds(50), kMinute);
  s->m_drift_margin = reader->Millis("drift_margin_ms", s->m_drift_margin,
                                     milliseconds(1), kMinute);
  s->m_drift_rate = reader->Number("drift_rate", s->m_drift_rate, 0.0, 0.1);
  s->m_outage_limit = reader->Millis("outage_limit_ms", s->m_outage_limit,
                                     milliseconds(0), 24 * kHour);
  if (2 * s->m_cell_renew > s->m_cell_lease) {
    reader->AddProblem("cell_renew_ms",
                       "expected at most half of cell_lease_ms");
  }
  if (2 * s->m_worker_renew > s->m_worker_lease) {
    reader->AddProblem("worker_renew_ms",
                       "expected at most half of worker_lease_ms");
  }
}

}  // namespace

SchedConfig ReadSchedConfig(SettingsReader* reader) {
  SchedConfig config;
  SchedSettings& s = config.m_sched;
  s.m_name = reader->String("name");
  s.m_failure_domain = reader->String("failure_domain");
  config.m_listen = reader->Address("listen");
  s.m_address = config.m_listen;
  config.m_log_address = reader->Address("log_address");
  config.m_vm_list_address = reader->Address("vm_list_address");
  config.m_log_level = reader->Choice(
      "log_level", {"debug", "info", "warn", "error", "off"}, "info");
  config.m_vm_list_period = reader->Millis(
      "vm_list_period_ms", config.m_vm_list_period, milliseconds(50), kMinute);
  config.m_append_timeout = reader->Millis(
      "append_timeout_ms", config.m_append_timeout, milliseconds(50), kMinute);
  ReadLeases(reader, &s);
  s.m_freshness = reader->Millis("freshness_ms", s.m_freshness,
                                 milliseconds(600), milliseconds(10000));
  s.m_beat_period = reader->Millis("beat_period_ms", s.m_beat_period,
                                   milliseconds(100), kMinute);
  s.m_member_timeout = reader->Millis("member_timeout_ms", s.m_member_timeout,
                                      milliseconds(500), kHour);
  s.m_batch_min = reader->Millis("batch_min_ms", s.m_batch_min, milliseconds(1),
                                 milliseconds(10000));
  s.m_vm_list_lag = reader->Millis("vm_list_lag_ms", s.m_vm_list_lag,
                                   milliseconds(100), kHour);
  s.m_spill_after =
      reader->Millis("spill_after_ms", s.m_spill_after, milliseconds(0), kHour);
  s.m_quarantine = reader->Millis("quarantine_ms", s.m_quarantine,
                                  milliseconds(100), 24 * kHour);
  s.m_retry_base =
      reader->Millis("retry_base_ms", s.m_retry_base, milliseconds(1), kMinute);
  s.m_retry_max =
      reader->Millis("retry_max_ms", s.m_retry_max, milliseconds(1), kHour);
  s.m_forget_after = reader->Millis("forget_after_ms", s.m_forget_after,
                                    milliseconds(1000), 240 * kHour);
  s.m_snapshot_records = static_cast<std::uint64_t>(
      reader->Int("snapshot_records", 2000, 10, 1000000));
  s.m_max_failures =
      static_cast<std::uint32_t>(reader->Int("max_failures", 6, 1, 1000));
  s.m_placement = reader->Choice(
      "placement", {"score", "first-fit", "random-of-two"}, "score");
  return config;
}

}  // namespace hyssopspar::sched
