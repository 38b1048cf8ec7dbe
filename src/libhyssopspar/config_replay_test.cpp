#include "hyssopspar/config_replay.h"

#include <gtest/gtest.h>

namespace hyssopspar {
namespace {

ConfigPublish MakePublish(Revision base, const std::string& domain) {
  ConfigPublish publish;
  publish.m_base = base;
  publish.m_doc.m_failure_domains = {FailureDomainConfig{domain, 1}};
  return publish;
}

/// A stream that grows, of which the oldest records can be dropped.
class ConfigReplayTest : public testing::Test {
 protected:
  Offset Add(const ConfigRecord& record) {
    m_records.push_back(EncodeConfig(record));
    return m_records.size() - 1;
  }

  LogSlice From(Offset start) const {
    LogSlice slice;
    slice.m_start = start;
    slice.m_end = m_records.size();
    for (Offset at = start; at < m_records.size(); ++at) {
      slice.m_records.push_back(LogRecord{at, m_records[at]});
    }
    return slice;
  }

  std::vector<std::string> m_records;
};

TEST_F(ConfigReplayTest, TheSecondOfTwoPublishesOnOneBaseLoses) {
  Add(MakePublish(0, "a"));
  Add(MakePublish(1, "b"));
  Add(MakePublish(1, "c"));
  ConfigReplay replay;
  replay.Feed(From(0), TimePoint());
  EXPECT_EQ(replay.State().m_revision, 2U);
  EXPECT_EQ(replay.State().m_doc.m_failure_domains[0].m_name, "b");
}

TEST_F(ConfigReplayTest, DrainsSurviveAPublish) {
  Add(MakePublish(0, "a"));
  Add(ConfigDrain{"a", true});
  Add(MakePublish(2, "a"));
  ConfigReplay replay;
  replay.Feed(From(0), TimePoint());
  EXPECT_TRUE(IsOut(replay.State(), "a", "w"));
}

TEST_F(ConfigReplayTest, WaitsForASnapshotWhereRecordsAreMissing) {
  Add(MakePublish(0, "a"));
  Add(ConfigDrain{"a", true});
  ConfigReplay replay;
  replay.Feed(From(1), TimePoint());
  EXPECT_FALSE(replay.IsReady());
  ConfigSnapshot snapshot;
  snapshot.m_covers = 2;
  snapshot.m_revision = 2;
  snapshot.m_out = {"a"};
  Add(snapshot);
  replay.Feed(From(1), TimePoint());
  EXPECT_TRUE(replay.IsReady());
  EXPECT_EQ(replay.State().m_revision, 2U);
}

TEST_F(ConfigReplayTest, AnOlderSnapshotDoesNotRevert) {
  Add(MakePublish(0, "a"));
  Add(ConfigDrain{"a", true});
  ConfigReplay replay;
  replay.Feed(From(0), TimePoint());
  ConfigSnapshot old;
  old.m_covers = 1;
  old.m_revision = 1;
  const Offset at = Add(old);
  // The reader has lost records, and finds only the older snapshot.
  replay.Feed(From(at), TimePoint());
  EXPECT_EQ(replay.State().m_revision, 2U);
  Add(ConfigDrain{"b", true});
  ConfigReplay late;
  late.Feed(From(at), TimePoint());
  EXPECT_FALSE(late.IsReady());
}

TEST_F(ConfigReplayTest, IsVerifiedByTheSendTimeOfAWholeRead) {
  Add(MakePublish(0, "a"));
  ConfigReplay replay;
  replay.Feed(From(0), TimePoint(std::chrono::seconds(5)));
  EXPECT_EQ(replay.Verified(), TimePoint(std::chrono::seconds(5)));
  LogSlice partial = From(1);
  partial.m_end = 9;
  replay.Feed(partial, TimePoint(std::chrono::seconds(6)));
  EXPECT_FALSE(replay.IsReady());
  EXPECT_EQ(replay.Verified(), TimePoint(std::chrono::seconds(5)));
}

}  // namespace
}  // namespace hyssopspar
