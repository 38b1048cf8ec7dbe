/// \file
/// Stop request that is shared between threads.

#pragma once

#include <condition_variable>
#include <mutex>

#include "hyssopspar/time.h"

namespace hyssopspar {

/// Flag that is set once, to stop threads; setting it wakes those that wait for
/// it. Safe to use from several threads.
class StopFlag {
 public:
  void Set();
  bool IsSet() const;

  /// Waits until \p until or until the flag is set; returns IsSet().
  bool WaitUntil(TimePoint until);

 private:
  mutable std::mutex m_mutex;
  std::condition_variable m_condition;
  bool m_is_set = false;
};

}  // namespace hyssopspar
