#include "gate/gate_config.h"

namespace hyssopspar::gate {

namespace {

constexpr milliseconds kMinute{60000};

}  // namespace

GateConfig ReadGateConfig(SettingsReader* reader) {
  GateConfig config;
  GateSettings& settings = config.m_gate;
  settings.m_name = reader->String("name");
  settings.m_failure_domain = reader->String("failure_domain");
  config.m_listen = reader->Address("listen");
  config.m_peer_listen = reader->Address("peer_listen");
  settings.m_peer_address = config.m_peer_listen;
  config.m_seed_peers = reader->Strings("peers");
  config.m_log_address = reader->Address("log_address");
  config.m_vm_list_address = reader->Address("vm_list_address");
  config.m_log_level = reader->Choice(
      "log_level", {"debug", "info", "warn", "error", "off"}, "info");
  config.m_limits = ReadResourceLimits(reader);
  config.m_threads = static_cast<int>(reader->Int("threads", 2, 1, 64));
  config.m_max_body_bytes = static_cast<std::size_t>(
      reader->Int("body_bytes", 1 << 20, 1024, 1LL << 30));
  config.m_max_recorded_body_bytes =
      static_cast<std::size_t>(reader->Int("recorded_bytes", 4096, 0, 1 << 20));
  config.m_vm_list_period = reader->Millis(
      "vm_list_period_ms", config.m_vm_list_period, milliseconds(50), kMinute);
  config.m_report_period = reader->Millis(
      "report_period_ms", config.m_report_period, milliseconds(10), kMinute);
  config.m_append_timeout = reader->Millis(
      "append_timeout_ms", config.m_append_timeout, milliseconds(50), kMinute);
  config.m_shutdown_notice = reader->Millis(
      "notice_ms", config.m_shutdown_notice, milliseconds(0), 10 * kMinute);
  settings.m_policy = reader->Choice(
      "policy", {"prediction", "in-turn", "own-count", "two-choices"},
      "prediction");
  settings.m_routing.m_max_connections =
      reader->Int("endpoint_connections", 8, 1, 10000);
  settings.m_routing.m_max_excess = reader->Int("requests_ahead", 1, 0, 1000);
  settings.m_routing.m_estimate_half_life =
      reader->Millis("estimate_half_life_ms", milliseconds(10000),
                     milliseconds(100), 10 * kMinute);
  settings.m_queue_limit =
      static_cast<std::size_t>(reader->Int("queue_limit", 10000, 1, 10000000));
  settings.m_refusal_pause = reader->Millis(
      "refused_pause_ms", settings.m_refusal_pause, milliseconds(10), kMinute);
  settings.m_failure_pause = reader->Millis(
      "suspect_pause_ms", settings.m_failure_pause, milliseconds(10), kMinute);
  settings.m_peer_timeout = reader->Millis(
      "peer_timeout_ms", settings.m_peer_timeout, milliseconds(50), kMinute);
  settings.m_max_attempts =
      static_cast<std::uint32_t>(reader->Int("max_tries", 3, 1, 100));
  settings.m_retries_per_request = reader->Number("retry_share", 0.1, 0.0, 1.0);
  return config;
}

}  // namespace hyssopspar::gate
