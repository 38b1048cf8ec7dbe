#include "load/load_config.h"

namespace hyssopspar::load {

namespace {

constexpr milliseconds kHour{3600000};

TrafficConfig ReadTraffic(SettingsReader* table) {
  TrafficConfig traffic;
  traffic.m_service = table->String("service");
  traffic.m_class = table->String("class");
  traffic.m_tenant = table->String("tenant");
  traffic.m_requests_per_second = table->Number("rate", 10, 0.01, 1000000);
  traffic.m_uses_idempotency_key = table->Bool("keyed", false);
  traffic.m_repeat_probability = table->Number("repeat", 0, 0, 1);
  traffic.m_timeout =
      table->Millis("timeout_ms", milliseconds(1000), milliseconds(1), kHour);
  traffic.m_body_bytes =
      static_cast<std::size_t>(table->Int("body_bytes", 200, 0, 1 << 20));
  return traffic;
}

}  // namespace

LoadConfig ReadLoadConfig(SettingsReader* reader) {
  LoadConfig config;
  config.m_name = reader->String("name", "load");
  config.m_gates = reader->Strings("gates");
  config.m_scheds = reader->Strings("scheds");
  config.m_duration = reader->Millis("duration_ms", config.m_duration,
                                     milliseconds(1), 24 * kHour);
  config.m_settle_time = reader->Millis("settle_ms", config.m_settle_time,
                                        milliseconds(0), 24 * kHour);
  config.m_seed =
      static_cast<std::uint64_t>(reader->Int("seed", 1, 0, 1LL << 40));
  config.m_threads = static_cast<int>(reader->Int("threads", 2, 1, 64));
  config.m_report_directory = reader->String("report", "");
  for (SettingsReader& table : reader->Tables("traffic")) {
    config.m_traffic.push_back(ReadTraffic(&table));
  }
  for (SettingsReader& table : reader->Tables("batch")) {
    BatchConfig batch;
    batch.m_job = table.String("job");
    batch.m_count =
        static_cast<std::uint32_t>(table.RequiredInt("count", 1, 1000000));
    config.m_batches.push_back(batch);
  }
  if (!config.m_traffic.empty() && config.m_gates.empty()) {
    reader->AddProblem("gates", "expected at least one address");
  }
  if (!config.m_batches.empty() && config.m_scheds.empty()) {
    reader->AddProblem("scheds", "expected at least one address");
  }
  return config;
}

}  // namespace hyssopspar::load
