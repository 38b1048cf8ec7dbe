// The part of GateCore that applies configuration, VM list and peer reports.

#include <algorithm>
#include <utility>

#include "hyssopspar/gate_core.h"

namespace hyssopspar {

namespace {

/// Maximum number of peers that reports are sent to.
constexpr std::size_t kMaxPeers = 16;
/// A peer address is used for this long after the peer's last report or, if it
/// sent none, after another gate first listed the address.
constexpr milliseconds kPeerAddressTimeout{30000};

}  // namespace

void GateCore::OnConfig(const ConfigState& config, TimePoint now) {
  m_config = config;
  m_has_config = config.m_revision > 0;
  RefreshEndpoints(now);
}

void GateCore::OnVms(const std::vector<Vm>& vms, TimePoint now) {
  m_vms.clear();
  for (const Vm& vm : vms) {
    if (vm.m_kind == VmKind::kEndpoint) {
      m_vms[vm.m_name] = vm;
    }
  }
  m_has_vms = true;
  RefreshEndpoints(now);
}

void GateCore::RefreshEndpoints(TimePoint /*now*/) {
  for (std::pair<const std::string, EndpointView>& entry : m_endpoints) {
    entry.second.m_in_service = false;
  }
  for (const std::pair<const std::string, Vm>& entry : m_vms) {
    const Vm& vm = entry.second;
    EndpointView& endpoint = m_endpoints[vm.m_name];
    endpoint.m_name = vm.m_name;
    endpoint.m_address = vm.m_address;
    endpoint.m_service = vm.m_service;
    endpoint.m_failure_domain = vm.m_failure_domain;
    endpoint.m_slots = std::max<std::int64_t>(vm.m_slots, 1);
    endpoint.m_round_trip =
        2 * LinkDelay(m_config.m_doc, m_settings.m_failure_domain,
                      vm.m_failure_domain);
    endpoint.m_in_service =
        vm.m_state == VmState::kLive &&
        !IsOutOfService(m_config, vm.m_failure_domain, vm.m_name);
  }
  m_endpoints_by_service.clear();
  m_endpoint_by_hash.clear();
  std::map<std::string, EndpointView>::iterator it = m_endpoints.begin();
  while (it != m_endpoints.end()) {
    const bool is_removed =
        m_vms.count(it->first) == 0 && it->second.m_own_requests == 0;
    if (is_removed) {
      it = m_endpoints.erase(it);
      continue;
    }
    m_endpoints_by_service[it->second.m_service].push_back(it->first);
    m_endpoint_by_hash[Hash(it->first)] = it->first;
    ++it;
  }
}

void GateCore::OnPeerReport(const PeerReport& report, TimePoint now) {
  for (const std::string& address : report.m_known_peers) {
    m_peer_addresses.emplace(address, now);
  }
  if (report.m_incarnation == m_incarnation) {
    return;
  }
  m_peer_addresses[report.m_peer_address] = now;
  PeerState& peer = m_peers[report.m_name];
  const bool is_outdated =
      peer.m_report.m_incarnation == report.m_incarnation &&
      peer.m_report.m_sequence >= report.m_sequence;
  if (!is_outdated) {
    peer.m_report = report;
    peer.m_received_time = now;
  }
}

void GateCore::UpdatePeerCounts(TimePoint now) {
  for (std::pair<const std::string, EndpointView>& entry : m_endpoints) {
    entry.second.m_peer_requests = 0;
  }
  std::map<std::string, PeerState>::iterator it = m_peers.begin();
  while (it != m_peers.end()) {
    if (now - it->second.m_received_time > m_settings.m_peer_timeout) {
      it = m_peers.erase(it);
      continue;
    }
    for (const EndpointInFlight& count :
         it->second.m_report.m_in_flight_counts) {
      const std::map<std::uint64_t, std::string>::const_iterator name =
          m_endpoint_by_hash.find(count.m_endpoint_hash);
      if (name != m_endpoint_by_hash.end()) {
        m_endpoints.at(name->second).m_peer_requests += count.m_in_flight;
      }
    }
    ++it;
  }
}

PeerReport GateCore::MakePeerReport(bool leaving) {
  PeerReport report;
  report.m_name = m_settings.m_name;
  report.m_incarnation = m_incarnation;
  report.m_sequence = ++m_report_sequence;
  report.m_failure_domain = m_settings.m_failure_domain;
  report.m_peer_address = m_settings.m_peer_address;
  report.m_leaving = leaving;
  for (const std::pair<const std::string, EndpointView>& entry : m_endpoints) {
    if (entry.second.m_own_requests > 0) {
      report.m_in_flight_counts.push_back(
          EndpointInFlight{Hash(entry.first), entry.second.m_own_requests});
    }
  }
  // Lists only gates that sent a report themselves. An address copied from
  // other gates' lists would be passed on between gates forever and never
  // expire.
  for (const std::pair<const std::string, PeerState>& entry : m_peers) {
    report.m_known_peers.push_back(entry.second.m_report.m_peer_address);
  }
  return report;
}

std::set<std::string> GateCore::PeerAddresses(TimePoint now) const {
  std::set<std::string> addresses;
  for (const std::pair<const std::string, TimePoint>& entry :
       m_peer_addresses) {
    const bool recent = now - entry.second < kPeerAddressTimeout;
    if (recent && entry.first != m_settings.m_peer_address &&
        addresses.size() < kMaxPeers) {
      addresses.insert(entry.first);
    }
  }
  return addresses;
}

}  // namespace hyssopspar
