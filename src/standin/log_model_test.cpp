#include "standin/log_model.h"

#include <gtest/gtest.h>

namespace hyssopspar::standin {
namespace {

TEST(LogModel, KeepsOffsetsWhenOldRecordsAreDropped) {
  LogModel log;
  log.m_max_stream_records = 3;
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(AppendRecord(&log, "s", std::to_string(i)), Offset(i));
  }
  const LogSlice slice = ReadRecords(log, "s", 0, 10);
  EXPECT_EQ(slice.m_start, 2U);
  EXPECT_EQ(slice.m_end, 5U);
  ASSERT_EQ(slice.m_records.size(), 3U);
  EXPECT_EQ(slice.m_records[0].m_payload, "2");
}

TEST(LogModel, UnknownStreamReadsAsEmpty) {
  const LogSlice slice = ReadRecords(LogModel(), "none", 5, 10);
  EXPECT_EQ(slice.m_end, 0U);
  EXPECT_TRUE(slice.m_records.empty());
}

}  // namespace
}  // namespace hyssopspar::standin
