#include "hyssopspar/config_replay.h"

#include <gtest/gtest.h>

namespace hyssopspar {
namespace {

ConfigPublish MakePublish(Revision base, const std::string& domain) {
  ConfigPublish publish;
  publish.m_base_revision = base;
  publish.m_doc.m_failure_domains = {FailureDomainConfig{domain, 1}};
  return publish;
}

/// Holds the records of a configuration stream.
class ConfigReplayTest : public testing::Test {
 protected:
  /// Appends \p record and returns its offset.
  Offset Append(const ConfigRecord& record) {
    m_records.push_back(EncodeConfig(record));
    return m_records.size() - 1;
  }

  /// Result of a read of a log that holds the records from \p start on.
  LogSlice ReadRecords(Offset start) const {
    LogSlice slice;
    slice.m_start = start;
    slice.m_end = m_records.size();
    for (Offset i = start; i < m_records.size(); ++i) {
      slice.m_records.push_back(LogRecord{i, m_records[i]});
    }
    return slice;
  }

  std::vector<std::string> m_records;
};

TEST_F(ConfigReplayTest, SecondPublishWithSameBaseRevisionConflicts) {
  Append(MakePublish(0, "a"));
  Append(MakePublish(1, "b"));
  Append(MakePublish(1, "c"));
  ConfigReplay replay;
  replay.Feed(ReadRecords(0), TimePoint());
  EXPECT_EQ(replay.State().m_revision, 2U);
  EXPECT_EQ(replay.State().m_doc.m_failure_domains[0].m_name, "b");
}

TEST_F(ConfigReplayTest, PublishKeepsDrains) {
  Append(MakePublish(0, "a"));
  Append(ConfigDrain{"a", true});
  Append(MakePublish(2, "a"));
  ConfigReplay replay;
  replay.Feed(ReadRecords(0), TimePoint());
  EXPECT_TRUE(IsOutOfService(replay.State(), "a", "w"));
}

TEST_F(ConfigReplayTest, IsNotReadyUntilSnapshotReplacesMissingRecords) {
  Append(MakePublish(0, "a"));
  Append(ConfigDrain{"a", true});
  ConfigReplay replay;
  replay.Feed(ReadRecords(1), TimePoint());
  EXPECT_FALSE(replay.IsReady());
  ConfigSnapshot snapshot;
  snapshot.m_end_offset = 2;
  snapshot.m_revision = 2;
  snapshot.m_out_of_service = {"a"};
  Append(snapshot);
  replay.Feed(ReadRecords(1), TimePoint());
  EXPECT_TRUE(replay.IsReady());
  EXPECT_EQ(replay.State().m_revision, 2U);
}

TEST_F(ConfigReplayTest, OlderSnapshotIsIgnored) {
  Append(MakePublish(0, "a"));
  Append(ConfigDrain{"a", true});
  ConfigReplay replay;
  replay.Feed(ReadRecords(0), TimePoint());
  ConfigSnapshot older;
  older.m_end_offset = 1;
  older.m_revision = 1;
  const Offset snapshot_offset = Append(older);
  // Records are missing, and the only snapshot is older than the state.
  replay.Feed(ReadRecords(snapshot_offset), TimePoint());
  EXPECT_EQ(replay.State().m_revision, 2U);
  Append(ConfigDrain{"b", true});
  ConfigReplay new_reader;
  new_reader.Feed(ReadRecords(snapshot_offset), TimePoint());
  EXPECT_FALSE(new_reader.IsReady());
}

TEST_F(ConfigReplayTest, CurrentAsOfIsSendTimeOfLastReadThatReachedTheEnd) {
  Append(MakePublish(0, "a"));
  ConfigReplay replay;
  replay.Feed(ReadRecords(0), TimePoint(std::chrono::seconds(5)));
  EXPECT_EQ(replay.CurrentAsOf(), TimePoint(std::chrono::seconds(5)));
  LogSlice partial = ReadRecords(1);
  partial.m_end = 9;
  replay.Feed(partial, TimePoint(std::chrono::seconds(6)));
  EXPECT_FALSE(replay.IsReady());
  EXPECT_EQ(replay.CurrentAsOf(), TimePoint(std::chrono::seconds(5)));
}

}  // namespace
}  // namespace hyssopspar
