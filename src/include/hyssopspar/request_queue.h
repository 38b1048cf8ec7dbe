/// \file
/// Queue of requests at a gate: earliest deadline first within a tenant,
/// weighted fair queueing between tenants.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "hyssopspar/time.h"

namespace hyssopspar {

using RequestId = std::uint64_t;

/// Requests of one tenant.
struct TenantQueue {
  std::multimap<TimePoint, RequestId> m_requests;  ///< By deadline.
  double m_virtual_time = 0;  ///< Seconds of service over weight.
};

/// Queue of one service.
struct RequestQueue {
  std::map<std::string, TenantQueue> m_tenants;
  std::size_t m_size = 0;
};

/// Adds a request. \p deadline is the latest time to serve it. A tenant that
/// had none queued gets at least the lowest virtual time of the tenants with
/// requests, so that an idle tenant gains no credit.
void Enqueue(RequestQueue* queue,
             const std::string& tenant,
             RequestId request,
             TimePoint deadline);

/// The request to serve next: the one with the earliest deadline of the tenant
/// with the lowest virtual time.
std::optional<RequestId> Front(const RequestQueue& queue);

/// Removes the request that Front returns, and adds \p cost over \p weight to
/// the virtual time of its tenant.
void PopFront(RequestQueue* queue, Duration cost, std::int64_t weight);

/// Removes and returns all requests whose deadline is before \p limit.
std::vector<RequestId> TakeExpired(RequestQueue* queue, TimePoint limit);

/// Removes one request. \p deadline is the one passed to Enqueue.
void Remove(RequestQueue* queue,
            const std::string& tenant,
            RequestId request,
            TimePoint deadline);

}  // namespace hyssopspar
