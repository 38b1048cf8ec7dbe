/// \file
/// Timer on hyssopspar::Clock. Internal to the library.

#pragma once

#include <algorithm>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/wait_traits.hpp>

#include "hyssopspar/time.h"

namespace hyssopspar::pvt {

/// The kernel's timers stand still while the machine is suspended. Each wait is
/// therefore split, so that a timer whose time passed during a suspension fires
/// soon after it.
struct ClockWaitTraits {
  static constexpr milliseconds kMaxWait{500};

  static Duration to_wait_duration(const Duration& wait) {  // NOLINT
    return std::min<Duration>(wait, kMaxWait);
  }
  static Duration to_wait_duration(const TimePoint& at) {  // NOLINT
    return to_wait_duration(at - Clock::now());
  }
};

using ClockTimer = boost::asio::basic_waitable_timer<Clock, ClockWaitTraits>;

}  // namespace hyssopspar::pvt
