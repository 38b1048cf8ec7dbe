#include "node/node_settings.h"

#include <algorithm>
#include <sstream>

#include "hyssopspar/ids.h"
#include "hyssopspar/jobs/worker_port.h"

namespace hyssopspar::node {

namespace {

/// Leases stay below what the platform allows by this share, for the time that
/// a message may take and for slow clocks.
constexpr double kLeaseShare = 0.9;
constexpr milliseconds kLongestLease{6000};
constexpr milliseconds kMinute{60000};
constexpr double kMostCores = 1024;

/// Internal addresses of the hosts in \p seeds ("ip:port,..."): the port is the
/// same on all nodes.
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

}  // namespace

NodeSettings ReadNodeSettings(SettingsReader* reader) {
  NodeSettings settings;
  settings.m_name = reader->String("name");
  settings.m_failure_domain = reader->String("failure_domain");
  settings.m_log_level = reader->Choice(
      "log_level", {"debug", "info", "warn", "error", "off"}, "info");
  settings.m_grace =
      reader->Millis("grace_ms", settings.m_grace, milliseconds(1000), kMinute);
  settings.m_authority = reader->Millis("authority_ms", settings.m_authority,
                                        milliseconds(1000), kMinute);
  SettingsReader listen = reader->Table("listen");
  settings.m_front_listen = listen.Address("front");
  settings.m_ready_listen = listen.Address("ready");
  settings.m_internal_listen = listen.Address("internal");
  settings.m_peers =
      PeerAddresses(reader->String("seeds", ""), settings.m_internal_listen);
  SettingsReader store = reader->Table("store");
  settings.m_store_address = store.Address("address");
  if (reader->Has("adviser")) {
    settings.m_adviser_address = reader->Table("adviser").Address("address");
  }
  SettingsReader workers = reader->Table("workers");
  const milliseconds longest = workers.Millis("longest_lease_ms", kLongestLease,
                                              milliseconds(1000), kMinute);
  settings.m_cell.m_lease =
      std::min(kLongestLease,
               std::chrono::duration_cast<milliseconds>(longest * kLeaseShare));
  settings.m_longest_lease =
      settings.m_authority +
      std::chrono::duration_cast<milliseconds>(settings.m_cell.m_lease /
                                               jobs::kSlowestWorkerClock);
  SettingsReader machine = reader->Table("machine");
  settings.m_ownership.m_strength = machine.Number("cpu_share", 1, 0, 1) *
                                    machine.Number("cores", 1, 0, kMostCores);
  settings.m_ownership.m_node = settings.m_name;
  settings.m_ownership.m_process = std::to_string(RandomId());
  settings.m_ownership.m_address = settings.m_internal_listen;
  return settings;
}

}  // namespace hyssopspar::node
