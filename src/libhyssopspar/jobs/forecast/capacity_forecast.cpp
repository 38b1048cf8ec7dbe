#include "hyssopspar/jobs/forecast/capacity_forecast.h"

#include <algorithm>

namespace hyssopspar::jobs {

namespace {

double CoreMillis(std::int64_t cpu_milli, Duration time) {
  return static_cast<double>(std::max<std::int64_t>(0, cpu_milli)) / 1000 *
         std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

void SortReleases(CapacityForecast* forecast) {
  std::sort(forecast->m_releases.begin(), forecast->m_releases.end(),
            [](const ExpectedRelease& a, const ExpectedRelease& b) {
              return a.m_at < b.m_at;
            });
}

Resources FreeAt(const CapacityForecast& forecast, TimePoint at) {
  Resources free = forecast.m_free;
  for (const ExpectedRelease& release : forecast.m_releases) {
    if (release.m_at > at) {
      break;
    }
    free += release.m_resources;
  }
  return free;
}

TimePoint EarliestFit(const CapacityForecast& forecast,
                      const Resources& need,
                      TimePoint now) {
  if (!Fits(need, forecast.m_capacity)) {
    return TimePoint::max();
  }
  Resources free = forecast.m_free;
  if (Fits(need, free)) {
    return now;
  }
  for (const ExpectedRelease& release : forecast.m_releases) {
    free += release.m_resources;
    if (Fits(need, free)) {
      return std::max(now, release.m_at);
    }
  }
  return TimePoint::max();
}

double IdleCoreMillis(const CapacityForecast& forecast,
                      const Resources& need,
                      TimePoint now,
                      TimePoint until) {
  std::int64_t free = forecast.m_free.m_cpu_milli;
  TimePoint since = now;
  double idle = 0;
  for (const ExpectedRelease& release : forecast.m_releases) {
    const TimePoint at =
        std::clamp(release.m_at, since, std::max(since, until));
    idle += CoreMillis(std::min(free, need.m_cpu_milli), at - since);
    since = at;
    free += release.m_resources.m_cpu_milli;
  }
  return idle + CoreMillis(std::min(free, need.m_cpu_milli),
                           std::max(since, until) - since);
}

}  // namespace hyssopspar::jobs
