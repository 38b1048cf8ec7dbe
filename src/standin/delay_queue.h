/// \file
/// Runs actions at scheduled times on a thread of its own.

#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "hyssopspar/time.h"

namespace hyssopspar::standin {

/// A timer queue with one thread. The destructor discards pending actions.
class DelayQueue {
 public:
  DelayQueue();
  ~DelayQueue();
  DelayQueue(const DelayQueue&) = delete;
  DelayQueue& operator=(const DelayQueue&) = delete;

  /// Schedules \p action for \p when. Actions run one after the other, so a
  /// slow one delays those that follow. Thread-safe.
  void RunAt(TimePoint when, std::function<void()> action);

 private:
  void Run();

  std::mutex m_mutex;
  /// Signals a change of the earliest due time or of m_stopping.
  std::condition_variable m_changed;
  /// Pending actions by the time they are due.
  std::multimap<TimePoint, std::function<void()>> m_actions;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace hyssopspar::standin
