#include "hyssopspar/vm_poller.h"

#include <utility>

#include "hyssopspar/logging.h"

namespace hyssopspar {

namespace {

constexpr milliseconds kFetchTimeout{2000};
constexpr const char* kLogComponent = "vms";

}  // namespace

VmPoller::VmPoller(std::unique_ptr<VmDirectory> directory,
                   milliseconds period,
                   Sink sink)
    : m_directory(std::move(directory)),
      m_poll_period(period),
      m_sink(std::move(sink)),
      m_thread([this] { Run(); }) {}

VmPoller::~VmPoller() {
  m_stop.Set();
  m_thread.join();
}

void VmPoller::Run() {
  do {
    Result<std::vector<Vm>> vms =
        m_directory->Fetch(Clock::now() + kFetchTimeout);
    if (vms) {
      m_sink(std::move(vms.value()));
    } else {
      Log(kLogComponent)
          ->warn("vm-list-fetch-failed error=\"{}\"", ToString(vms.error()));
    }
  } while (!m_stop.WaitUntil(Clock::now() + m_poll_period));
}

}  // namespace hyssopspar
