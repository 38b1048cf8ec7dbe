// Decoding of the configuration's tenants.

#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "platform/wire.h"

namespace platform {
namespace {

namespace hs = hyssopspar;
namespace jobs = hyssopspar::jobs;

/// A configuration with these elements of the list of tenants.
std::string ConfigWith(const std::string& tenants) {
  return R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/",
              "service":"s"},{"name":"q","host":"h","pathPrefix":"/q/",
              "service":"s","public":true}],"tenants":)" +
         tenants + "}";
}

TEST(WireTenantsTest, DecodesTenants) {
  const hs::Result<jobs::OperatorChange> change = DecodeOperatorRecord(
      {"config",
       ConfigWith(
           R"([{"name":"kaje80","apiKeys":["k1","k2"],"priority":1,"weight":16,
                "maximum":{"cpu":5806172,"memMb":10844168,"gpu":0}},
               {"name":"b","apiKeys":["k3"]},{"name":"c"}])")});
  ASSERT_TRUE(change);
  const auto& config = std::get<jobs::SiteConfig>(change.value());
  EXPECT_TRUE(config.m_has_tenants);
  ASSERT_EQ(config.m_tenants.size(), 3U);
  EXPECT_EQ(config.m_tenants[0].m_weight, 16);
  EXPECT_EQ(config.m_tenants[0].m_maximum,
            (hs::Resources{5806172, 10844168, 0}));
  EXPECT_EQ(config.m_tenants[1].m_maximum, hs::Resources());
  EXPECT_EQ(*jobs::FindTenant(config.m_api_keys, "k2"), "kaje80");
  EXPECT_EQ(*jobs::FindTenant(config.m_api_keys, "k3"), "b");
  EXPECT_FALSE(config.m_queues.at(0).m_is_public);
  EXPECT_TRUE(config.m_queues.at(1).m_is_public);
}

// Customers without tenants are not authenticated.
TEST(WireTenantsTest, DecodesConfigurationsWithoutTenants) {
  const hs::Result<jobs::OperatorChange> change =
      DecodeOperatorRecord({"config", ConfigWith("null")});
  ASSERT_TRUE(change);
  EXPECT_FALSE(std::get<jobs::SiteConfig>(change.value()).m_has_tenants);
}

// A wrong configuration must be set aside as a whole, so that the one before
// stays in force, and no error may show a key.
TEST(WireTenantsTest, RejectsInvalidTenantsWithoutShowingTheirKeys) {
  const std::string long_key = "SECRET" + std::string(8192, 'k');
  const std::vector<std::string> lists = {
      "7", R"("SECRET")", R"({"name":"a","apiKeys":["SECRET"]})",
      R"(["SECRET"])", R"([["SECRET"]])", R"([{"apiKeys":["SECRET"]}])",
      R"([{"name":"","apiKeys":["SECRET"]}])",
      R"([{"name":7,"apiKeys":["SECRET"]}])",
      R"([{"name":"a b","apiKeys":["SECRET"]}])",
      // The same tenant twice, and a key of two tenants.
      R"([{"name":"a","apiKeys":["SECRET"]},{"name":"a","apiKeys":["x"]}])",
      R"([{"name":"a","apiKeys":["SECRET"]},
          {"name":"b","apiKeys":["SECRET"]}])",
      // Keys that are empty, too long or not text.
      R"([{"name":"a","apiKeys":["SECRET",""]}])",
      R"([{"name":"a","apiKeys":[")" + long_key + R"("]}])",
      R"([{"name":"a","apiKeys":["SECRET",7]}])",
      R"([{"name":"a","apiKeys":["SECRET",null]}])",
      R"([{"name":"a","apiKeys":"SECRET"}])",
      R"([{"name":"a","apiKeys":{"SECRET":"SECRET"}}])",
      "[{\"name\":\"a\",\"apiKeys\":[\"SECRET\xff\xfe\"]}]",
      R"([{"name":"a","apiKeys":["SECRET"]}])" + std::string("]"),
      R"([{"name":"a","apiKeys":["SECRET)",
      // Weights.
      R"([{"name":"a","apiKeys":["SECRET"],"weight":-1}])",
      R"([{"name":"a","apiKeys":["SECRET"],"weight":"16"}])",
      R"([{"name":"a","apiKeys":["SECRET"],"weight":true}])",
      R"([{"name":"a","apiKeys":["SECRET"],"weight":[1]}])",
      R"([{"name":"a","apiKeys":["SECRET"],"weight":1e300}])",
      R"([{"name":"a","apiKeys":["SECRET"],"weight":1e999}])",
      R"([{"name":"a","apiKeys":["SECRET"],"weight":NaN}])",
      // Quotas.
      R"([{"name":"a","apiKeys":["SECRET"],"maximum":7}])",
      R"([{"name":"a","apiKeys":["SECRET"],"maximum":{"cpu":-1}}])",
      R"([{"name":"a","apiKeys":["SECRET"],"maximum":{"memMb":"1"}}])",
      R"([{"name":"a","apiKeys":["SECRET"],"maximum":{"gpu":true}}])",
      R"([{"name":"a","apiKeys":["SECRET"],"maximum":{"cpu":1e300}}])",
      R"([{"name":"a","apiKeys":["SECRET"],
           "maximum":{"cpu":18446744073709551615}}])"};
  for (const std::string& list : lists) {
    const hs::Result<jobs::OperatorChange> change =
        DecodeOperatorRecord({"config", ConfigWith(list)});
    ASSERT_FALSE(change) << list.substr(0, 90);
    EXPECT_EQ(change.error().m_code, hs::ErrorCode::kMalformed);
    const std::string text = hs::ToString(change.error());
    EXPECT_EQ(text.find("SECRET"), std::string::npos) << text;
    EXPECT_EQ(text.find("kkkk"), std::string::npos) << text;
  }
}

}  // namespace
}  // namespace platform
