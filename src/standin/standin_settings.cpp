#include "standin/standin_settings.h"

namespace hyssopspar::standin {

StandinSettings ReadStandinSettings(SettingsReader* reader) {
  StandinSettings s;
  s.m_listen = reader->Address("listen", "127.0.0.1:0");
  s.m_log_level = reader->Choice(
      "log_level", {"debug", "info", "warn", "error", "off"}, "info");
  s.m_service_name = reader->String("service");
  s.m_workers_per_rack = reader->Int("rack_size", 6, 1, 100);
  s.m_slots = reader->Int("slots", 8, 1, 1000);
  s.m_max_connections = reader->Int("connections", 64, 1, 10000);
  s.m_retention_records =
      reader->Int("retention_records", 100000, 10, 10000000);
  s.m_append_delay = reader->Millis("append_delay_ms", milliseconds(2),
                                    milliseconds(0), milliseconds(10000));
  s.m_vm_list_lag = reader->Millis("vm_list_lag_ms", milliseconds(1000),
                                   milliseconds(0), milliseconds(60000));
  s.m_usage_lag = reader->Millis("usage_lag_ms", milliseconds(5000),
                                 milliseconds(0), milliseconds(600000));
  s.m_seed = reader->Int("seed", 1, 0, 1LL << 40);
  s.m_randomize_run_times = reader->Bool("spread_work", true);
  SettingsReader worker = reader->Table("worker");
  s.m_worker_capacity.m_cpu_milli = worker.Int("cpu_milli", 64000, 1, 10000000);
  s.m_worker_capacity.m_memory_mib =
      worker.Int("memory_mib", 256000, 1, 100000000);
  s.m_worker_capacity.m_accelerators = worker.Int("accelerators", 0, 0, 64);
  for (SettingsReader& table : reader->Tables("failure_domain")) {
    DomainSettings domain;
    domain.m_name = table.String("name");
    domain.m_worker_count = table.RequiredInt("workers", 0, 1000);
    domain.m_endpoint_count = table.RequiredInt("endpoints", 0, 1000);
    s.m_domain_settings.push_back(domain);
  }
  if (s.m_domain_settings.empty()) {
    reader->AddProblem("failure_domain",
                       "expected at least one [[failure_domain]]");
  }
  for (SettingsReader& table : reader->Tables("class")) {
    ClassSettings request_class;
    request_class.m_name = table.String("name");
    request_class.m_service_time = table.Millis(
        "service_ms", milliseconds(30), milliseconds(1), milliseconds(60000));
    s.m_class_settings.push_back(request_class);
  }
  return s;
}

}  // namespace hyssopspar::standin
