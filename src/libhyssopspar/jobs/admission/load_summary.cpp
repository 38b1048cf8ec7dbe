#include "hyssopspar/jobs/admission/load_summary.h"

#include <algorithm>

#include "hyssopspar/ids.h"

namespace hyssopspar::jobs {

namespace {

/// A longer wait means that almost nothing drains.
constexpr double kMaxWaitMs = 1e9;

}  // namespace

std::uint32_t NameHash(const std::string& name) {
  return static_cast<std::uint32_t>(Hash(name));
}

const QueueLoad* FindQueueLoad(const LoadSummary& summary,
                               std::uint32_t queue) {
  const auto found = std::find_if(
      summary.m_queues.begin(), summary.m_queues.end(),
      [queue](const QueueLoad& load) { return load.m_queue == queue; });
  return found == summary.m_queues.end() ? nullptr : &*found;
}

bool IsOverShare(const LoadSummary& summary, std::uint32_t tenant) {
  const std::vector<std::uint32_t>& tenants = summary.m_tenants_over_share;
  return std::find(tenants.begin(), tenants.end(), tenant) != tenants.end();
}

std::optional<milliseconds> ExpectedWait(const QueueLoad& queue,
                                         bool is_over_share) {
  if (queue.m_drain_rate <= 0) {
    return std::nullopt;
  }
  const double ahead =
      static_cast<double>(queue.m_backlog) +
      static_cast<double>(is_over_share ? queue.m_backlog_over_share : 0);
  const double wait_ms = ahead / static_cast<double>(queue.m_drain_rate) * 1000;
  return milliseconds(
      static_cast<std::int64_t>(std::clamp(wait_ms, 0.0, kMaxWaitMs)));
}

}  // namespace hyssopspar::jobs
