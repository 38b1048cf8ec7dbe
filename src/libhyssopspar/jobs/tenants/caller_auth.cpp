#include "hyssopspar/jobs/tenants/caller_auth.h"

namespace hyssopspar::jobs {

namespace {

/// Part of the revocation limit for which a view is used. The rest covers the
/// time between the check and the answer, and errors of the clocks.
constexpr double kUsableViewShare = 0.9;

std::string ViewAge(TimePoint view_as_of, TimePoint now) {
  return "the view of the configuration is " +
         std::to_string(ToMillis(now - view_as_of)) + " ms old";
}

/// Why the call carries nothing that could be a key.
const char* WhyNoKey(const CallKey& key) {
  if (key.m_is_ambiguous) {
    return "the call carries different keys";
  }
  return key.m_value && !key.m_value->empty() ? "the key is too long"
                                              : "the call carries no key";
}

}  // namespace

Result<CallerIdentity> AuthenticateCaller(const SiteConfig& config,
                                          const QueueRoute& queue,
                                          const CallKey& key,
                                          const KeyViewSettings& settings,
                                          TimePoint view_as_of,
                                          TimePoint now) {
  CallerIdentity caller;
  if (!config.m_has_tenants) {
    return caller;
  }
  caller.m_config_revision = config.m_revision;
  const bool may_be_key = !key.m_is_ambiguous && key.m_value &&
                          !key.m_value->empty() &&
                          key.m_value->size() <= kMaxApiKeyBytes;
  const std::string* const tenant =
      may_be_key ? FindTenant(config.m_api_keys, *key.m_value) : nullptr;
  if (queue.m_is_public) {
    caller.m_tenant = tenant == nullptr ? "" : *tenant;
    return caller;
  }
  if (!may_be_key) {
    // Decided whatever the age of the view: no configuration has such a key.
    return Fail(ErrorCode::kUnauthenticated, WhyNoKey(key));
  }
  const Duration age = now - view_as_of;
  const bool may_be_revoked =
      settings.m_revocation_limit &&
      age > std::chrono::duration_cast<Duration>(*settings.m_revocation_limit *
                                                 kUsableViewShare);
  if (may_be_revoked) {
    return Fail(ErrorCode::kUnavailable, ViewAge(view_as_of, now));
  }
  if (tenant != nullptr) {
    caller.m_tenant = *tenant;
    return caller;
  }
  if (age > settings.m_config_limit) {
    return Fail(ErrorCode::kUnavailable, ViewAge(view_as_of, now));
  }
  return Fail(ErrorCode::kUnauthenticated, "the key is unknown");
}

}  // namespace hyssopspar::jobs
