#include "hyssopspar/config_doc.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "hyssopspar/membership.h"

namespace hyssopspar {
namespace {

using testing::Contains;
using testing::HasSubstr;

TEST(ConfigDoc, ReportsProblemsOfAllFiles) {
  std::vector<std::string> problems;
  CompileConfig(
      {{"platform.toml", "[[failure_domain]]\nname = \"d\"\n"},
       {"a.service.toml", "name = \"s\"\n"},
       {"b.job.toml", "name = \"j\"\ntenant = \"nobody\"\ntasks = 0\n"},
       {"c.toml", ""}},
      &problems);
  EXPECT_THAT(problems, Contains(HasSubstr("a.service.toml:1: class")));
  EXPECT_THAT(problems, Contains(HasSubstr("b.job.toml:3: tasks")));
  EXPECT_THAT(problems, Contains(HasSubstr("tenant nobody")));
  EXPECT_THAT(problems, Contains(HasSubstr("c.toml:1")));
}

TEST(ConfigDoc, AssignsWorkerToCellOfItsFailureDomain) {
  ConfigDoc doc;
  doc.m_failure_domains = {{"a", 3}, {"b", 1}};
  const std::vector<std::string> cells = CellNames(doc);
  EXPECT_EQ(cells.size(), 4U);
  for (int i = 0; i < 50; ++i) {
    const std::string cell = CellOfWorker(doc, "a", std::to_string(i));
    EXPECT_THAT(cells, Contains(cell));
    EXPECT_EQ(CellFailureDomain(cell), "a");
  }
}

TEST(Membership, RanksMembersOfCellsDomainFirstAndExcludesLeavingMembers) {
  Membership membership;
  for (int i = 0; i < 6; ++i) {
    MemberHeartbeat heartbeat;
    heartbeat.m_name = "s" + std::to_string(i);
    heartbeat.m_failure_domain = i % 2 == 0 ? "a" : "b";
    heartbeat.m_leaving = i == 0;
    ApplyHeartbeat(&membership, heartbeat, TimePoint());
  }
  const std::vector<std::string> ranked = RankOwners(membership, "a.0");
  ASSERT_EQ(ranked.size(), 5U);
  EXPECT_TRUE(ranked[0] == "s2" || ranked[0] == "s4");
  EXPECT_TRUE(ranked[1] == "s2" || ranked[1] == "s4");
}

}  // namespace
}  // namespace hyssopspar
