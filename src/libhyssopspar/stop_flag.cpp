#include "hyssopspar/stop_flag.h"

namespace hyssopspar {

void StopFlag::Set() {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_set = true;
  }
  m_changed.notify_all();
}

bool StopFlag::IsSet() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_set;
}

bool StopFlag::WaitUntil(TimePoint until) {
  std::unique_lock<std::mutex> lock(m_mutex);
  return m_changed.wait_until(lock, until, [this] { return m_set; });
}

}  // namespace hyssopspar
