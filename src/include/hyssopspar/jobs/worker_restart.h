/// \file
/// Orders that were sent to an earlier incarnation of a worker and may still
/// reach a later one, which counts their deadlines by its own clock.

#pragma once

#include <cstdint>

#include "hyssopspar/jobs/worker.h"
#include "hyssopspar/jobs/worker_port.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Added to the end of a lease before its runs count as ended, to allow for
/// errors in the estimate of the worker's clock.
inline constexpr milliseconds kLeaseExpiryMargin{300};

/// Limits that the platform gives for orders to workers.
struct OrderLimits {
  /// Longest lease that a worker grants.
  milliseconds m_longest_lease{10000};
  /// A worker carries out an order no later than this after it was sent.
  milliseconds m_longest_delay{12000};
};

/// The epoch that orders to the worker bear. It rises with the owner's epoch
/// and, within that, with RaiseFence(), so that a worker that has received one
/// such order ignores all that were sent before the fence was raised.
std::uint64_t OrderEpoch(std::uint64_t owner_epoch, const Worker& worker);

/// Raises the fence of the worker, which is known to have restarted. Until the
/// worker has answered a heartbeat with the new fence, it gets no starts, and
/// its lease is not extended.
void RaiseFence(Worker* worker, TimePoint now);

/// Times that the clock of one incarnation of a worker may show.
struct ClockRange {
  WorkerTime m_earliest;
  WorkerTime m_latest;
};

/// What the clock of the worker's last known incarnation may show when it
/// answers, at \p answered_at at the latest, an order sent at \p sent. The
/// clocks of other incarnations start at any time.
ClockRange ClockRangeOf(const Worker& worker,
                        TimePoint sent,
                        TimePoint answered_at);

/// Time by which each lease has expired that a worker may have granted by
/// \p granted_by, counted by the slowest clock.
TimePoint LongestLeaseFrom(TimePoint granted_by, const OrderLimits& limits);

/// Extends the worker's lease deadline by what orders to its earlier
/// incarnations may have granted to the one that started by \p started_by. None
/// that arrives after \p fenced_at takes effect, and none arrives long after
/// the start.
void AllowForStaleOrders(const OrderLimits& limits,
                         TimePoint started_by,
                         TimePoint fenced_at,
                         Worker* worker);

}  // namespace hyssopspar::jobs
