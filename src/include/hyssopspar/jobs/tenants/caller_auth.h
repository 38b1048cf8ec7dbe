/// \file
/// Authentication of callers by API key.

#pragma once

#include <optional>
#include <string>

#include "hyssopspar/error.h"
#include "hyssopspar/jobs/site_config.h"
#include "hyssopspar/jobs/tenants/job_access.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// How old a node's view of the configuration may be.
struct KeyViewSettings {
  /// A revoked key must not be accepted longer than this after its revocation
  /// was acknowledged; unset: a known key is accepted whatever the age of the
  /// view.
  std::optional<milliseconds> m_revocation_limit;
  /// Time within which a new configuration is in force. An older view may lack
  /// a new key.
  milliseconds m_config_limit{3000};
};

/// Key of a call.
struct CallKey {
  std::optional<std::string> m_value;  ///< nullopt: the call carries none.
  bool m_is_ambiguous = false;         ///< The call carries different keys.
};

/// Identifies the caller of a call to \p queue. \p view_as_of is the time as of
/// which \p config is the newest one. Fails with kUnauthenticated, or with
/// kUnavailable when the view is too old to decide.
Result<CallerIdentity> AuthenticateCaller(const SiteConfig& config,
                                          const QueueRoute& queue,
                                          const CallKey& key,
                                          const KeyViewSettings& settings,
                                          TimePoint view_as_of,
                                          TimePoint now);

}  // namespace hyssopspar::jobs
