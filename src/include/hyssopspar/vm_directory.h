/// \file
/// Interface to the platform's lagging list of VMs.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

enum class VmKind { kWorker, kEndpoint };

enum class VmState {
  kLive,
  kLeaving,
  kDead,  ///< The platform vouches that nothing runs there any more.
};

struct Vm {
  std::string m_name;
  VmKind m_kind = VmKind::kWorker;
  VmState m_state = VmState::kLive;
  std::string m_failure_domain;
  std::string m_rack;
  std::string m_address;     ///< "ip:port" of its control or service interface.
  Resources m_capacity;      ///< Workers: everything the VM has.
  std::string m_service;     ///< Endpoints: the service it is an instance of.
  std::string m_host;        ///< Endpoints: the worker it runs on.
  std::int64_t m_slots = 0;  ///< Endpoints: requests run at a time.
  std::int64_t m_connections = 0;  ///< Endpoints: connections accepted.
};

/// Source of the VM list; what it says may be several seconds old.
class VmDirectory {
 public:
  virtual ~VmDirectory() = default;
  virtual Result<std::vector<Vm>> Fetch(TimePoint deadline) = 0;
};

}  // namespace hyssopspar
