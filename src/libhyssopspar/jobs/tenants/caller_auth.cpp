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

}  // namespace

Result<CallerIdentity> AuthenticateCaller(const SiteConfig& config,
                                          const QueueRoute& queue,
                                          const std::optional<std::string>& key,
                                          const KeyViewSettings& settings,
                                          TimePoint view_as_of,
                                          TimePoint now) {
  CallerIdentity caller;
  caller.m_config_revision = config.m_revision;
  if (!config.m_has_tenants) {
    return caller;
  }
  const std::string* const tenant =
      key ? FindTenant(config.m_api_keys, *key) : nullptr;
  if (queue.m_is_public) {
    caller.m_tenant = tenant == nullptr ? "" : *tenant;
    return caller;
  }
  if (!key || key->empty()) {
    return Fail(ErrorCode::kUnauthenticated, "the call carries no key");
  }
  const Duration age = now - view_as_of;
  const bool may_be_revoked =
      settings.m_revocation_limit &&
      age > std::chrono::duration_cast<Duration>(
                *settings.m_revocation_limit * kUsableViewShare);
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
