#include "node/node_settings.h"

#include <algorithm>
#include <sstream>

#include "hyssopspar/ids.h"
#include "hyssopspar/jobs/worker_port.h"

namespace hyssopspar::node {

namespace {

/// Granted leases have at most this share of the longest lease that the
/// platform allows. The rest covers the delay of messages and slow worker
/// clocks.
constexpr double kLeaseSafetyFactor = 0.9;
/// Upper limit of granted leases, and default of the longest lease that the
/// platform allows.
constexpr milliseconds kMaxWorkerLease{6000};
/// Upper limit of all times in the settings.
constexpr milliseconds kMaxDuration{60000};
/// Least limit of the age of the view of keys. The view is up to 0.7 s old in
/// normal operation, and a lower limit would refuse all callers.
constexpr milliseconds kMinKeyViewLimit{2000};
/// Default of the time after which a revoked key must not be accepted.
constexpr milliseconds kDefaultRevocationLimit{5000};
/// Defaults and range of the sizes that the store accepts.
constexpr std::int64_t kDefaultRecordBytes = 262144;
constexpr std::int64_t kDefaultAppendBytes = 2097152;
constexpr std::int64_t kMinRecordBytes = 4096;
constexpr std::int64_t kMaxStoreBytes = 1073741824;
/// Upper limit of the bytes of a key with its length.
constexpr std::int64_t kMaxKeyBytes = 256;
/// Upper limit of the number of cores in the settings.
constexpr double kMaxCores = 1024;

/// Internal addresses of the hosts in \p seeds ("ip:port,..."), without \p own.
/// Each gets the port of \p own, since all nodes use the same internal port.
std::vector<std::string> PeerAddresses(const std::string& seeds,
                                       const std::string& own) {
  const std::string port = own.substr(std::min(own.size(), own.rfind(':')));
  std::vector<std::string> peers;
  std::stringstream list(seeds);
  std::string seed;
  while (std::getline(list, seed, ',')) {
    const std::string address = seed.substr(0, seed.find(':')) + port;
    if (address != own) {
      peers.push_back(address);
    }
  }
  return peers;
}

/// Reads the sizes that the store accepts.
StoreLimits ReadStoreLimits(SettingsReader* store) {
  const std::int64_t record_bytes = store->Int(
      "record_bytes", kDefaultRecordBytes, kMinRecordBytes, kMaxStoreBytes);
  const std::int64_t append_bytes = store->Int(
      "append_bytes", kDefaultAppendBytes, kMinRecordBytes, kMaxStoreBytes);
  StoreLimits limits;
  limits.m_max_batch_bytes =
      static_cast<std::size_t>(append_bytes - append_bytes / 8);
  limits.m_max_value_bytes =
      std::min(static_cast<std::size_t>(record_bytes - kMaxKeyBytes),
               limits.m_max_batch_bytes);
  return limits;
}

/// Reads how old the view of the tenants' keys may be.
jobs::KeyViewSettings ReadKeyViewSettings(SettingsReader* reader) {
  jobs::KeyViewSettings settings;
  if (!reader->Has("tenants")) {
    return settings;
  }
  SettingsReader tenants = reader->Table("tenants");
  settings.m_config_limit =
      tenants.Millis("config_limit_ms", settings.m_config_limit,
                     kMinKeyViewLimit, kMaxDuration);
  const milliseconds revocation_limit =
      tenants.Millis("revocation_limit_ms", kDefaultRevocationLimit,
                     kMinKeyViewLimit, kMaxDuration);
  if (tenants.Bool("strict_revocation", false)) {
    settings.m_revocation_limit = revocation_limit;
  }
  return settings;
}

}  // namespace

NodeSettings ReadNodeSettings(SettingsReader* reader) {
  NodeSettings settings;
  settings.m_name = reader->String("name");
  settings.m_failure_domain = reader->String("failure_domain");
  settings.m_log_level = reader->Choice(
      "log_level", {"debug", "info", "warn", "error", "off"}, "info");
  settings.m_shutdown_grace = reader->Millis(
      "grace_ms", settings.m_shutdown_grace, milliseconds(1000), kMaxDuration);
  settings.m_ownership_lease =
      reader->Millis("authority_ms", settings.m_ownership_lease,
                     milliseconds(1000), kMaxDuration);
  SettingsReader listen = reader->Table("listen");
  settings.m_front_listen = listen.Address("front");
  settings.m_ready_listen = listen.Address("ready");
  settings.m_internal_listen = listen.Address("internal");
  settings.m_peers =
      PeerAddresses(reader->String("seeds", ""), settings.m_internal_listen);
  SettingsReader store = reader->Table("store");
  settings.m_store_address = store.Address("address");
  settings.m_cell.m_store_limits = ReadStoreLimits(&store);
  if (reader->Has("adviser")) {
    settings.m_adviser_address = reader->Table("adviser").Address("address");
  }
  SettingsReader workers = reader->Table("workers");
  const milliseconds longest_lease = workers.Millis(
      "longest_lease_ms", kMaxWorkerLease, milliseconds(1000), kMaxDuration);
  settings.m_cell.m_order_limits.m_longest_lease = longest_lease;
  settings.m_cell.m_order_limits.m_longest_delay = workers.Millis(
      "longest_order_delay_ms", settings.m_cell.m_order_limits.m_longest_delay,
      milliseconds(0), kMaxDuration);
  settings.m_cell.m_lease =
      std::min(kMaxWorkerLease, std::chrono::duration_cast<milliseconds>(
                                    longest_lease * kLeaseSafetyFactor));
  settings.m_max_lease_after_renewal =
      settings.m_ownership_lease +
      std::chrono::duration_cast<milliseconds>(settings.m_cell.m_lease /
                                               jobs::kMinWorkerClockRate);
  settings.m_key_view = ReadKeyViewSettings(reader);
  if (reader->Has("placement")) {
    SettingsReader placement = reader->Table("placement");
    settings.m_cell.m_forecasts_load = placement.Bool("load_forecast", false);
    settings.m_cell.m_look_ahead = placement.Bool("look_ahead", false);
  }
  settings.m_limits = ReadResourceLimits(reader);
  settings.m_cell.m_measures_load =
      reader->Has("admission") &&
      reader->Table("admission").Bool("enabled", false);
  SettingsReader machine = reader->Table("machine");
  settings.m_ownership.m_cpu_capacity =
      machine.Number("cpu_share", 1, 0, 1) *
      machine.Number("cores", 1, 0, kMaxCores);
  settings.m_ownership.m_node = settings.m_name;
  settings.m_ownership.m_process = std::to_string(RandomId());
  settings.m_ownership.m_address = settings.m_internal_listen;
  return settings;
}

}  // namespace hyssopspar::node
