/// \file
/// How much work of a queue ends per second while its tasks wait.

#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Measures only while tasks wait: before, the rate is that of the demand. Work
/// is CPU, in thousandths of a processor, times seconds.
struct DrainMeter {
  /// Since when tasks have waited without a break; max(): none wait.
  TimePoint m_waiting_since = TimePoint::max();
  TimePoint m_waited_until;  ///< End of the last such time.
  TimePoint m_sampled_at;    ///< Start of the current sample.
  double m_ended = 0;        ///< Work that ended since.
  double m_rate = 0;         ///< Moving average of the samples.
  std::uint32_t m_samples = 0;
};

/// By queue.
using DrainMeters = std::map<std::string, DrainMeter>;

/// Adds a task that has ended.
void AddEndedTask(DrainMeter* meter, std::int64_t cpu_milli, Duration run_time);

/// Ends the current sample. \p tasks_wait: tasks of the queue have waited for
/// noticeably longer than a placement takes. \p task_time: their mean run time.
void TakeSample(DrainMeter* meter,
                bool tasks_wait,
                Duration task_time,
                TimePoint now);

/// Work that ends per second; 0 until it has been measured.
std::int64_t DrainRate(const DrainMeter& meter);

}  // namespace hyssopspar::jobs
