/// \file
/// Requests waiting at a gate: by deadline within a tenant, fairly between
/// tenants.

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
  double m_virtual_time = 0;  ///< Service received over weight.
};

/// Queue of one service.
struct RequestQueue {
  std::map<std::string, TenantQueue> m_tenants;
  std::size_t m_size = 0;
};

/// Enters a request. A tenant that was idle starts level with the least served
/// of the others, so that idling earns no credit.
void Enqueue(RequestQueue* queue,
             const std::string& tenant,
             RequestId request,
             TimePoint deadline);

/// The request to serve next: the most pressing one of the least served tenant.
std::optional<RequestId> Front(const RequestQueue& queue);

/// Takes out what Front returns, and counts \p cost against its tenant.
void PopFront(RequestQueue* queue, Duration cost, std::int64_t weight);

/// Takes out every request whose deadline is before \p limit.
std::vector<RequestId> TakeExpired(RequestQueue* queue, TimePoint limit);

/// Takes out one request, wherever it stands.
void Remove(RequestQueue* queue,
            const std::string& tenant,
            RequestId request,
            TimePoint deadline);

}  // namespace hyssopspar
