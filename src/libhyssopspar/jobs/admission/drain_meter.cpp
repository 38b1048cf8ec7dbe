#include "hyssopspar/jobs/admission/drain_meter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hyssopspar::jobs {

namespace {

/// Weight of a new sample in the moving average. With a sample at each renewal
/// of the owner, the average follows a change within about 3 s.
constexpr double kNewSampleWeight = 0.25;
/// Samples after which the rate counts as known. One alone depends on how the
/// ends of tasks fall into it.
constexpr std::uint32_t kMinSamples = 2;

/// Time for which a rate is kept while no task waits. Refusals may empty a
/// queue for a moment; if that ended the measurement, all jobs of the next
/// seconds were admitted.
constexpr milliseconds kRateRetention{10000};

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void AddEndedTask(DrainMeter* meter,
                  std::int64_t cpu_milli,
                  Duration run_time) {
  meter->m_ended += static_cast<double>(std::max<std::int64_t>(1, cpu_milli)) *
                    Seconds(run_time);
}

void TakeSample(DrainMeter* meter,
                bool tasks_wait,
                Duration task_time,
                TimePoint now) {
  const bool waited_before = meter->m_waiting_since != TimePoint::max();
  if (!tasks_wait || !waited_before) {
    meter->m_waited_until = waited_before ? now : meter->m_waited_until;
    if (now - meter->m_waited_until > kRateRetention) {
      meter->m_samples = 0;
    }
    meter->m_waiting_since = tasks_wait ? now : TimePoint::max();
    meter->m_sampled_at = now;
    meter->m_ended = 0;
    return;
  }
  const double elapsed = Seconds(now - meter->m_sampled_at);
  const double ended = std::exchange(meter->m_ended, 0);
  meter->m_sampled_at = now;
  // Until the first tasks of a burst have had the time to end, fewer end than
  // the workers can run.
  if (elapsed <= 0 || now - meter->m_waiting_since <= task_time) {
    return;
  }
  const double sample = ended / elapsed;
  meter->m_rate =
      meter->m_samples == 0
          ? sample
          : meter->m_rate + (sample - meter->m_rate) * kNewSampleWeight;
  ++meter->m_samples;
}

std::int64_t DrainRate(const DrainMeter& meter) {
  return meter.m_samples < kMinSamples ? 0 : std::llround(meter.m_rate);
}

}  // namespace hyssopspar::jobs
