/// \file
/// Clocks, time points and durations. Interfaces express every time in one of
/// these types.

#pragma once

#include <chrono>
#include <cstdint>

namespace hyssopspar {

/// Monotonic clock of one machine that also counts the time for which the
/// machine was suspended, which std::chrono::steady_clock does not: a lease or
/// deadline that others rely on expires during a suspension as well. Code that
/// makes decisions takes the current time as a TimePoint parameter; only `main`
/// and the transports read the clock.
struct Clock {
  using rep = std::int64_t;
  using period = std::nano;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<Clock, duration>;
  static constexpr bool is_steady = true;  // NOLINT: required of a clock.

  static time_point now() noexcept;  // NOLINT: required of a clock.
};
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Clock of one worker. Readings of different workers, or of one worker before
/// and after a restart, are not comparable.
struct WorkerClock {
  using rep = std::int64_t;
  using period = std::milli;
  using duration = milliseconds;
  using time_point = std::chrono::time_point<WorkerClock, milliseconds>;
  static constexpr bool is_steady = true;  // NOLINT: required of a clock.
};
using WorkerTime = WorkerClock::time_point;

/// Whole milliseconds of any duration, rounded towards zero.
template <class Rep, class Period>
constexpr std::int64_t ToMillis(std::chrono::duration<Rep, Period> d) {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

/// Whole microseconds of any duration, rounded towards zero.
template <class Rep, class Period>
constexpr std::int64_t ToMicros(std::chrono::duration<Rep, Period> d) {
  return std::chrono::duration_cast<microseconds>(d).count();
}

}  // namespace hyssopspar
