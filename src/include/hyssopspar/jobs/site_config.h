/// \file
/// The operators' configuration in force, as the job plane needs it.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hyssopspar/jobs/job_plan.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Where a queue is reached, and its policy.
struct QueueRoute {
  std::string m_host;
  std::string m_path_prefix;
  QueuePolicy m_policy;
};

struct SiteConfig {
  std::int64_t m_revision = 0;
  std::vector<QueueRoute> m_queues;
  std::size_t m_max_body_bytes = 256 << 10;
};

/// The queue of \p host with the longest prefix of \p path, or null.
const QueueRoute* MatchQueue(const SiteConfig& config,
                             const std::string& host,
                             const std::string& path);

}  // namespace hyssopspar::jobs
