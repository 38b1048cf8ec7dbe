/// \file
/// Tells threads to stop, and wakes those that pause.

#pragma once

#include <condition_variable>
#include <mutex>

#include "hyssopspar/time.h"

namespace hyssopspar {

class StopFlag {
 public:
  void Set();
  bool IsSet() const;

  /// Waits until \p until or until the flag is set; returns IsSet().
  bool WaitUntil(TimePoint until);

 private:
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_set = false;
};

}  // namespace hyssopspar
