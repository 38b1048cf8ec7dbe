/// \file
/// Runs functions at given times on one thread.

#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "hyssopspar/time.h"

namespace hyssopspar::standin {

class DelayQueue {
 public:
  DelayQueue();
  ~DelayQueue();
  DelayQueue(const DelayQueue&) = delete;
  DelayQueue& operator=(const DelayQueue&) = delete;

  void At(TimePoint when, std::function<void()> action);

 private:
  void Run();

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::multimap<TimePoint, std::function<void()>> m_actions;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace hyssopspar::standin
