#include "hyssopspar/jobs/tenants/api_keys.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace hyssopspar::jobs {
namespace {

std::string TenantOf(const ApiKeyIndex& index, const std::string& key) {
  const std::string* const tenant = FindTenant(index, key);
  return tenant == nullptr ? "" : *tenant;
}

// A key that finds no tenant, or another one, locks its tenant out.
TEST(ApiKeysTest, FindsTheTenantOfEachKey) {
  const Result<ApiKeyIndex> index = BuildApiKeyIndex(
      {{"a", {"key-1", "key-2"}}, {"b", {"key-3"}}, {"c", {}}});
  ASSERT_TRUE(index);
  EXPECT_EQ(TenantOf(index.value(), "key-1"), "a");
  EXPECT_EQ(TenantOf(index.value(), "key-2"), "a");
  EXPECT_EQ(TenantOf(index.value(), "key-3"), "b");
}

// Nothing that resembles a key may stand for it.
TEST(ApiKeysTest, FindsNoTenantForOtherText) {
  const Result<ApiKeyIndex> index = BuildApiKeyIndex({{"a", {"key-1"}}});
  ASSERT_TRUE(index);
  for (const std::string& key :
       {std::string(), std::string("key-"), std::string("key-1 "),
        std::string("KEY-1"), std::string("key-1\0", 6),
        std::string("\xff\xfe"), std::string(8192, 'k')}) {
    EXPECT_EQ(FindTenant(index.value(), key), nullptr) << key.substr(0, 20);
  }
  EXPECT_EQ(FindTenant(ApiKeyIndex(), "key-1"), nullptr);
}

// A revoked key must not be found in the next version's index.
TEST(ApiKeysTest, ForgetsAKeyThatTheNextVersionLacks) {
  const Result<ApiKeyIndex> before = BuildApiKeyIndex({{"a", {"old", "new"}}});
  const Result<ApiKeyIndex> after = BuildApiKeyIndex({{"a", {"new"}}});
  ASSERT_TRUE(before && after);
  EXPECT_EQ(TenantOf(before.value(), "old"), "a");
  EXPECT_EQ(FindTenant(after.value(), "old"), nullptr);
  EXPECT_EQ(TenantOf(after.value(), "new"), "a");
}

// An ambiguous key would give one tenant the jobs of another.
TEST(ApiKeysTest, RefusesAKeyOfTwoTenantsButNotARepeatedOne) {
  const Result<ApiKeyIndex> shared =
      BuildApiKeyIndex({{"a", {"secret-x"}}, {"b", {"other", "secret-x"}}});
  ASSERT_FALSE(shared);
  EXPECT_EQ(shared.error().m_code, ErrorCode::kInvalidArgument);
  EXPECT_EQ(ToString(shared.error()).find("secret"), std::string::npos);
  EXPECT_TRUE(BuildApiKeyIndex({{"a", {"twice", "twice"}}}));
}

TEST(ApiKeysTest, RefusesEmptyAndOverlongKeysWithoutShowingThem) {
  EXPECT_TRUE(BuildApiKeyIndex({{"a", {std::string(kMaxApiKeyBytes, 'k')}}}));
  for (const std::string& key :
       {std::string(), std::string(kMaxApiKeyBytes + 1, 'k')}) {
    const Result<ApiKeyIndex> index = BuildApiKeyIndex({{"a", {key}}});
    ASSERT_FALSE(index);
    EXPECT_EQ(index.error().m_code, ErrorCode::kInvalidArgument);
    EXPECT_EQ(ToString(index.error()).find("kkk"), std::string::npos);
  }
}

// Several hundred tenants must not cost noticeable memory: under 1 MB.
TEST(ApiKeysTest, HoldsNoKeys) {
  std::vector<TenantKeys> tenants;
  std::size_t bytes = 0;
  for (int i = 0; i < 500; ++i) {
    const std::string name = "tenant-" + std::to_string(i);
    tenants.push_back({name, {}});
    for (int k = 0; k < 4; ++k) {
      tenants.back().m_keys.push_back(name + std::string(200, 'k') +
                                      std::to_string(k));
    }
    bytes += sizeof(std::string) + name.size();
  }
  const Result<ApiKeyIndex> index = BuildApiKeyIndex(tenants);
  ASSERT_TRUE(index);
  bytes += index.value().m_entries.size() * sizeof(ApiKeyEntry);
  EXPECT_EQ(index.value().m_entries.size(), 2000U);
  EXPECT_LT(bytes, 1U << 20);
}

RC_GTEST_PROP(ApiKeysProperty,
              FindsExactlyTheKeysOfTheConfiguration,
              (const std::vector<std::string>& keys,
               const std::string& other)) {
  std::vector<TenantKeys> tenants;
  std::vector<std::string> used;
  for (const std::string& key : keys) {
    if (key.empty() || key.size() > kMaxApiKeyBytes ||
        std::find(used.begin(), used.end(), key) != used.end()) {
      continue;
    }
    used.push_back(key);
    tenants.push_back({"t" + std::to_string(used.size()), {key}});
  }
  const Result<ApiKeyIndex> index = BuildApiKeyIndex(tenants);
  RC_ASSERT(index.has_value());
  for (std::size_t i = 0; i < used.size(); ++i) {
    RC_ASSERT(TenantOf(index.value(), used[i]) == tenants[i].m_tenant);
  }
  const bool is_known =
      std::find(used.begin(), used.end(), other) != used.end();
  RC_ASSERT((FindTenant(index.value(), other) != nullptr) == is_known);
}

}  // namespace
}  // namespace hyssopspar::jobs
