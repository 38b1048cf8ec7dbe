#include "hyssopspar/time.h"

#include <ctime>

namespace hyssopspar {

Clock::time_point Clock::now() noexcept {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return time_point(std::chrono::seconds(reading.tv_sec) +
                    std::chrono::nanoseconds(reading.tv_nsec));
}

}  // namespace hyssopspar
