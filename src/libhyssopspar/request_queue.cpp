#include "hyssopspar/request_queue.h"

#include <algorithm>
#include <limits>

namespace hyssopspar {

namespace {

/// The tenant with requests and the lowest virtual time, or the end iterator.
std::map<std::string, TenantQueue>::const_iterator LeastServedTenant(
    const RequestQueue& queue) {
  std::map<std::string, TenantQueue>::const_iterator best =
      queue.m_tenants.end();
  for (auto it = queue.m_tenants.begin(); it != queue.m_tenants.end(); ++it) {
    const bool better =
        !it->second.m_requests.empty() &&
        (best == queue.m_tenants.end() ||
         it->second.m_virtual_time < best->second.m_virtual_time);
    if (better) {
      best = it;
    }
  }
  return best;
}

}  // namespace

void Enqueue(RequestQueue* queue,
             const std::string& tenant,
             RequestId request,
             TimePoint deadline) {
  const std::map<std::string, TenantQueue>::const_iterator least =
      LeastServedTenant(*queue);
  const double min_virtual_time =
      least == queue->m_tenants.end() ? 0.0 : least->second.m_virtual_time;
  TenantQueue& own = queue->m_tenants[tenant];
  if (own.m_requests.empty()) {
    own.m_virtual_time = std::max(own.m_virtual_time, min_virtual_time);
  }
  own.m_requests.emplace(deadline, request);
  ++queue->m_size;
}

std::optional<RequestId> Front(const RequestQueue& queue) {
  const std::map<std::string, TenantQueue>::const_iterator next =
      LeastServedTenant(queue);
  if (next == queue.m_tenants.end()) {
    return std::nullopt;
  }
  return next->second.m_requests.begin()->second;
}

void PopFront(RequestQueue* queue, Duration cost, std::int64_t weight) {
  const std::map<std::string, TenantQueue>::const_iterator next =
      LeastServedTenant(*queue);
  if (next == queue->m_tenants.end()) {
    return;
  }
  TenantQueue& tenant = queue->m_tenants[next->first];
  tenant.m_requests.erase(tenant.m_requests.begin());
  tenant.m_virtual_time +=
      std::chrono::duration<double>(cost).count() /
      static_cast<double>(std::max<std::int64_t>(weight, 1));
  --queue->m_size;
}

std::vector<RequestId> TakeExpired(RequestQueue* queue, TimePoint limit) {
  std::vector<RequestId> expired;
  for (std::pair<const std::string, TenantQueue>& entry : queue->m_tenants) {
    std::multimap<TimePoint, RequestId>& requests = entry.second.m_requests;
    const std::multimap<TimePoint, RequestId>::iterator end =
        requests.lower_bound(limit);
    for (auto it = requests.begin(); it != end; ++it) {
      expired.push_back(it->second);
    }
    requests.erase(requests.begin(), end);
  }
  queue->m_size -= expired.size();
  return expired;
}

void Remove(RequestQueue* queue,
            const std::string& tenant,
            RequestId request,
            TimePoint deadline) {
  std::multimap<TimePoint, RequestId>& requests =
      queue->m_tenants[tenant].m_requests;
  auto it = requests.lower_bound(deadline);
  while (it != requests.end() && it->first == deadline) {
    if (it->second == request) {
      requests.erase(it);
      --queue->m_size;
      return;
    }
    ++it;
  }
}

}  // namespace hyssopspar
