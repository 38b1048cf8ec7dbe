#include "hyssopspar/jobs/site_config.h"

namespace hyssopspar::jobs {

const QueueRoute* MatchQueue(const SiteConfig& config,
                             const std::string& host,
                             const std::string& path) {
  const QueueRoute* best = nullptr;
  for (const QueueRoute& queue : config.m_queues) {
    const bool matches =
        queue.m_host == host &&
        path.compare(0, queue.m_path_prefix.size(), queue.m_path_prefix) == 0;
    const bool longer = best == nullptr ||
                        queue.m_path_prefix.size() > best->m_path_prefix.size();
    if (matches && longer) {
      best = &queue;
    }
  }
  return best;
}

}  // namespace hyssopspar::jobs
