#include "hyssopspar/jobs/worker_restart.h"

#include <algorithm>
#include <limits>

namespace hyssopspar::jobs {

namespace {

/// Number of low bits of an order's epoch that hold the worker's fence.
constexpr unsigned kFenceBits = 20;
constexpr std::uint32_t kMaxFence = (1U << kFenceBits) - 1;
/// An owner sends no lease to a worker that has restarted this long ago: a
/// heartbeat has ended since, with an error or an answer.
constexpr milliseconds kLongestUnseenRestart{4000};
/// Of the clocks that workers tell.
constexpr milliseconds kClockResolution{1};

}  // namespace

std::uint64_t OrderEpoch(std::uint64_t owner_epoch, const Worker& worker) {
  return (owner_epoch << kFenceBits) | worker.m_fence;
}

void RaiseFence(Worker* worker, TimePoint now) {
  worker->m_fence = std::min(worker->m_fence + 1, kMaxFence);
  worker->m_fence_raised_at = now;
  worker->m_epoch_acknowledged = false;
  worker->m_next_heartbeat = now;
}

ClockRange ClockRangeOf(const Worker& worker,
                        TimePoint sent,
                        TimePoint answered_at) {
  // The clock was read after the request of the report was sent and before the
  // report arrived.
  const Duration least = std::chrono::duration_cast<Duration>(
      (sent - worker.m_clock_received_at) * kMinWorkerClockRate);
  const Duration most = answered_at - worker.m_alive_at;
  return {worker.m_reported_clock - kClockResolution +
              std::chrono::duration_cast<milliseconds>(least),
          worker.m_reported_clock + kClockResolution +
              std::chrono::duration_cast<milliseconds>(most)};
}

TimePoint LongestLeaseFrom(TimePoint granted_by, const OrderLimits& limits) {
  return granted_by +
         std::chrono::duration_cast<Duration>(limits.m_longest_lease /
                                              kMinWorkerClockRate) +
         kLeaseExpiryMargin;
}

void AllowForStaleOrders(const OrderLimits& limits,
                         TimePoint started_by,
                         TimePoint fenced_at,
                         Worker* worker) {
  const TimePoint last_arrival =
      started_by + kLongestUnseenRestart + limits.m_longest_delay;
  worker->m_lease_deadline =
      std::max(worker->m_lease_deadline,
               LongestLeaseFrom(std::min(fenced_at, last_arrival), limits));
}

}  // namespace hyssopspar::jobs
