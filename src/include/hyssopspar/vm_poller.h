/// \file
/// Thread that reads the VM list periodically.

#pragma once

#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "hyssopspar/stop_flag.h"
#include "hyssopspar/vm_directory.h"

namespace hyssopspar {

/// Reads the VM list every \p period, on a thread that it owns, and passes each
/// list to \p sink on that thread. Failed reads are logged.
class VmPoller {
 public:
  using Sink = std::function<void(std::vector<Vm>)>;

  VmPoller(std::unique_ptr<VmDirectory> directory,
           milliseconds period,
           Sink sink);
  ~VmPoller();
  VmPoller(const VmPoller&) = delete;
  VmPoller& operator=(const VmPoller&) = delete;

 private:
  void Run();

  std::unique_ptr<VmDirectory> m_directory;
  milliseconds m_poll_period;
  Sink m_sink;
  StopFlag m_stop;
  std::thread m_thread;
};

}  // namespace hyssopspar
