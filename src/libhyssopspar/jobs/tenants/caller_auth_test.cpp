#include "hyssopspar/jobs/tenants/caller_auth.h"

#include <gtest/gtest.h>

namespace hyssopspar::jobs {
namespace {

constexpr milliseconds kRevocationLimit{5000};

class CallerAuthTest : public testing::Test {
 protected:
  CallerAuthTest() {
    m_config.m_revision = 7;
    m_config.m_has_tenants = true;
    m_config.m_api_keys =
        BuildApiKeyIndex({{"a", {"key-a"}}, {"b", {"key-b"}}}).value();
    m_public.m_is_public = true;
    m_settings.m_revocation_limit = kRevocationLimit;
  }

  /// Result for a view of the age \p age.
  Result<CallerIdentity> Authenticate(const CallKey& key,
                                      milliseconds age = milliseconds(0)) {
    return AuthenticateCaller(m_config, m_route, key, m_settings, m_now - age,
                              m_now);
  }

  /// Code of the refusal, or nullopt for an accepted call.
  std::optional<ErrorCode> RefusalOf(const CallKey& key,
                                     milliseconds age = milliseconds(0)) {
    const Result<CallerIdentity> caller = Authenticate(key, age);
    return caller ? std::nullopt
                  : std::optional<ErrorCode>(caller.error().m_code);
  }

  TimePoint m_now{std::chrono::hours(1)};
  SiteConfig m_config;
  QueueRoute m_route;
  QueueRoute m_public;
  KeyViewSettings m_settings;
};

TEST_F(CallerAuthTest, IdentifiesTheTenantAndTheRevision) {
  const Result<CallerIdentity> caller = Authenticate({"key-b"});
  ASSERT_TRUE(caller);
  EXPECT_EQ(caller.value().m_tenant, "b");
  EXPECT_EQ(caller.value().m_config_revision, 7);
}

// Calls with anything but one known key must not run.
TEST_F(CallerAuthTest, RefusesCallsWithoutAKnownKey) {
  const std::string secret = "secret-" + std::string(8192, 's');
  for (const CallKey& key : {CallKey{}, CallKey{""}, CallKey{"key-c"},
                             CallKey{secret}, CallKey{"\xff\xfe\x01"},
                             CallKey{"key-a", true}, CallKey{"key-a,key-b"}}) {
    const Result<CallerIdentity> caller = Authenticate(key);
    ASSERT_FALSE(caller);
    EXPECT_EQ(caller.error().m_code, ErrorCode::kUnauthenticated);
    const std::string text = ToString(caller.error());
    EXPECT_EQ(text.find("secret"), std::string::npos) << text;
    EXPECT_EQ(text.find("key-"), std::string::npos) << text;
  }
}

// A node that does not hear of revocations must not accept keys for longer than
// the limit; the check has to fail before it, and works again by itself.
TEST_F(CallerAuthTest, RefusesKeysByAViewThatMayLackARevocation) {
  EXPECT_EQ(RefusalOf({"key-a"}, milliseconds(4000)), std::nullopt);
  EXPECT_EQ(RefusalOf({"key-a"}, milliseconds(4900)), ErrorCode::kUnavailable);
  EXPECT_EQ(RefusalOf({"key-a"}, std::chrono::hours(1)),
            ErrorCode::kUnavailable);
  EXPECT_EQ(RefusalOf({"key-a"}), std::nullopt);
}

// Without the strict mode, a lost link to the store must not refuse callers.
TEST_F(CallerAuthTest, AcceptsKnownKeysByAnOldViewUnlessStrict) {
  m_settings.m_revocation_limit.reset();
  EXPECT_EQ(RefusalOf({"key-a"}, std::chrono::hours(1)), std::nullopt);
}

// A key that was added a moment ago must not be refused for good.
TEST_F(CallerAuthTest, CallsNoKeyUnknownByAnOldView) {
  m_settings.m_revocation_limit.reset();
  EXPECT_EQ(RefusalOf({"new"}, milliseconds(2900)),
            ErrorCode::kUnauthenticated);
  EXPECT_EQ(RefusalOf({"new"}, milliseconds(3100)), ErrorCode::kUnavailable);
}

// What no configuration can contain is refused for good at once.
TEST_F(CallerAuthTest, RefusesWhatIsNoKeyByAnyView) {
  for (const CallKey& key : {CallKey{}, CallKey{""}, CallKey{"key-a", true},
                             CallKey{std::string(8192, 'k')}}) {
    EXPECT_EQ(RefusalOf(key, std::chrono::hours(1)),
              ErrorCode::kUnauthenticated);
  }
}

TEST_F(CallerAuthTest, RequiresNoKeyOnPublicQueues) {
  const std::vector<std::pair<CallKey, std::string>> calls = {
      {{}, ""},
      {{""}, ""},
      {{"unknown"}, ""},
      {{"key-a"}, "a"},
      {{"key-a", true}, ""},
      {{"\xff"}, ""}};
  for (const std::pair<CallKey, std::string>& call : calls) {
    const Result<CallerIdentity> caller =
        AuthenticateCaller(m_config, m_public, call.first, m_settings,
                           m_now - std::chrono::hours(1), m_now);
    ASSERT_TRUE(caller);
    EXPECT_EQ(caller.value().m_tenant, call.second);
  }
}

// Customers without tenants keep their behaviour and their records.
TEST_F(CallerAuthTest, AuthenticatesNobodyWithoutTenants) {
  m_config.m_has_tenants = false;
  for (const CallKey& key : {CallKey{}, CallKey{"key-a"}, CallKey{"", true}}) {
    const Result<CallerIdentity> caller =
        Authenticate(key, std::chrono::hours(1));
    ASSERT_TRUE(caller);
    EXPECT_FALSE(caller.value().m_tenant.has_value());
    EXPECT_EQ(caller.value().m_config_revision, 0);
  }
}

// A list of tenants that is empty must not open the queues to everybody.
TEST_F(CallerAuthTest, RefusesAllKeysOfAnEmptyListOfTenants) {
  m_config.m_api_keys = ApiKeyIndex();
  EXPECT_EQ(RefusalOf({"key-a"}), ErrorCode::kUnauthenticated);
}

TEST(JobAccessTest, OpensJobsToTheirTenantOnly) {
  EXPECT_TRUE(MayAccess({"a", 1}, "a"));
  EXPECT_FALSE(MayAccess({"b", 1}, "a"));
  EXPECT_FALSE(MayAccess({"", 1}, "a"));
  EXPECT_TRUE(MayAccess({"b", 1}, ""));
  EXPECT_TRUE(MayAccess({"", 1}, ""));
  EXPECT_TRUE(MayAccess(CallerIdentity(), "a"));
}

}  // namespace
}  // namespace hyssopspar::jobs
