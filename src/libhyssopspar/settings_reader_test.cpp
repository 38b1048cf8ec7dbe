#include "hyssopspar/settings_reader.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hyssopspar {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;

TEST(SettingsReader, ReportsEveryProblemWithFileAndLine) {
  SettingsReader reader = SettingsReader::Parse(
      "name = 3\n"
      "period_ms = 99999\n"
      "extra = true\n"
      "address = \"nowhere\"\n",
      "a.toml");
  reader.String("name");
  reader.Millis("period_ms", milliseconds(5), milliseconds(1),
                milliseconds(1000));
  reader.Address("address");
  reader.String("missing");
  EXPECT_THAT(
      reader.Problems(),
      ElementsAre(HasSubstr("a.toml:1: missing"), HasSubstr("a.toml:1: name"),
                  HasSubstr("a.toml:2: period_ms: expected an integer from 1 "
                            "to 1000"),
                  HasSubstr("a.toml:3: extra: unknown key"),
                  HasSubstr("a.toml:4: address: expected IP:PORT")));
}

TEST(SettingsReader, ReportsSyntaxErrorWithFileAndLine) {
  EXPECT_THAT(SettingsReader::Parse("a = ", "b.toml").Problems(),
              ElementsAre(HasSubstr("b.toml:1: syntax")));
}

TEST(SettingsReader, ReadsTablesAndArraysOfTables) {
  SettingsReader reader = SettingsReader::Parse(
      "[[item]]\nname = \"x\"\n[[item]]\nname = \"y\"\n[t]\nn = 4\n", "c");
  std::vector<SettingsReader> items = reader.Tables("item");
  ASSERT_EQ(items.size(), 2U);
  EXPECT_EQ(items[1].String("name"), "y");
  EXPECT_EQ(items[0].String("name"), "x");
  EXPECT_EQ(reader.Table("t").Int("n", 0, 0, 9), 4);
  EXPECT_TRUE(reader.Problems().empty());
}

}  // namespace
}  // namespace hyssopspar
