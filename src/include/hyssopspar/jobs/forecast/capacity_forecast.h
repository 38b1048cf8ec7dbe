/// \file
/// Free capacity of a worker as a function of time.

#pragma once

#include <vector>

#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Resources that are expected to become free.
struct ExpectedRelease {
  TimePoint m_at;
  Resources m_resources;
};

/// A worker's free capacity now and its expected releases, by time. Tasks whose
/// end is not expected have no release.
struct CapacityForecast {
  int m_worker = -1;
  Resources m_capacity;
  Resources m_free;
  std::vector<ExpectedRelease> m_releases;
};

/// Sorts the releases by time.
void SortReleases(CapacityForecast* forecast);

/// Capacity that is expected to be free at \p at.
Resources FreeAt(const CapacityForecast& forecast, TimePoint at);

/// Earliest time, not before \p now, at which \p need is expected to fit; max()
/// if no expected release makes enough room.
TimePoint EarliestFit(const CapacityForecast& forecast,
                      const Resources& need,
                      TimePoint now);

/// CPU of at most \p need that is expected to be free from \p now until \p
/// until, in core-milliseconds.
double IdleCoreMillis(const CapacityForecast& forecast,
                      const Resources& need,
                      TimePoint now,
                      TimePoint until);

}  // namespace hyssopspar::jobs
