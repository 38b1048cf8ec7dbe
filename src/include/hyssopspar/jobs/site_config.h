/// \file
/// The part of the operators' current configuration that the job plane uses.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hyssopspar/jobs/job_plan.h"
#include "hyssopspar/jobs/tenants/api_keys.h"
#include "hyssopspar/jobs/tenants/tenant_policy.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Host and path prefix under which clients submit to a queue, and the queue's
/// policy.
struct QueueRoute {
  std::string m_host;
  std::string m_path_prefix;
  QueuePolicy m_policy;
  bool m_is_public = false;  ///< Callers need no key.
};

/// Configuration of one revision.
struct SiteConfig {
  std::int64_t m_revision = 0;
  std::vector<QueueRoute> m_queues;
  std::size_t m_max_body_bytes = 256 << 10;
  bool m_has_tenants = false;  ///< Callers are authenticated by key.
  std::vector<TenantPolicy> m_tenants;
  ApiKeyIndex m_api_keys;
};

/// Returns the queue of \p host whose prefix is the longest match for \p path,
/// or null.
const QueueRoute* MatchQueue(const SiteConfig& config,
                             const std::string& host,
                             const std::string& path);

}  // namespace hyssopspar::jobs
