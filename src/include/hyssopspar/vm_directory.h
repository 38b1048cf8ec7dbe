/// \file
/// Interface to the platform's list of VMs.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// Role of a VM: a worker runs tasks, an endpoint serves requests of a service.
enum class VmKind { kWorker, kEndpoint };

enum class VmState {
  kLive,
  kLeaving,  ///< The platform will soon remove the VM.
  kDead,     ///< The platform guarantees that nothing runs on it any more.
};

/// One entry of the VM list.
struct Vm {
  std::string m_name;
  VmKind m_kind = VmKind::kWorker;
  VmState m_state = VmState::kLive;
  std::string m_failure_domain;
  std::string m_rack;
  std::string m_address;     ///< "ip:port" of its control or service interface.
  Resources m_capacity;      ///< Workers: total resources of the VM.
  std::string m_service;     ///< Endpoints: service that it is an instance of.
  std::string m_host;        ///< Endpoints: worker that it runs on.
  std::int64_t m_slots = 0;  ///< Endpoints: maximum concurrent requests.
  std::int64_t m_max_connections = 0;  ///< Endpoints: maximum open connections.
};

/// Source of the VM list. The list may be several seconds out of date.
class VmDirectory {
 public:
  virtual ~VmDirectory() = default;

  /// Reads the complete list.
  virtual Result<std::vector<Vm>> Fetch(TimePoint deadline) = 0;
};

}  // namespace hyssopspar
