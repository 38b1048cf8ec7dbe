#include "hyssopspar/stop_flag.h"

namespace hyssopspar {

void StopFlag::Set() {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_is_set = true;
  }
  m_condition.notify_all();
}

bool StopFlag::IsSet() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_is_set;
}

bool StopFlag::WaitUntil(TimePoint until) {
  std::unique_lock<std::mutex> lock(m_mutex);
  return m_condition.wait_until(lock, until, [this] { return m_is_set; });
}

}  // namespace hyssopspar
