#include "hyssopspar/cpu_time.h"

#include <ctime>

namespace hyssopspar {

Duration ThreadCpuTime() {
  timespec reading{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &reading);
  return std::chrono::seconds(reading.tv_sec) +
         std::chrono::nanoseconds(reading.tv_nsec);
}

}  // namespace hyssopspar
