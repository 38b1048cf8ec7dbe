#include "standin/delay_queue.h"

#include <utility>

namespace hyssopspar::standin {

DelayQueue::DelayQueue() : m_thread([this] { Run(); }) {}

DelayQueue::~DelayQueue() {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  m_thread.join();
}

void DelayQueue::RunAt(TimePoint when, std::function<void()> action) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const bool is_earliest = m_actions.empty() || when < m_actions.begin()->first;
  m_actions.emplace(when, std::move(action));
  if (is_earliest) {
    m_changed.notify_all();
  }
}

void DelayQueue::Run() {
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stopping) {
    if (m_actions.empty()) {
      m_changed.wait(lock);
      continue;
    }
    const TimePoint next = m_actions.begin()->first;
    if (Clock::now() < next) {
      m_changed.wait_until(lock, next);
      continue;
    }
    const std::function<void()> action = std::move(m_actions.begin()->second);
    m_actions.erase(m_actions.begin());
    lock.unlock();
    action();
    lock.lock();
  }
}

}  // namespace hyssopspar::standin
