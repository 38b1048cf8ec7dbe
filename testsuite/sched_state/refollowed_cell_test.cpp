// A cell that a scheduler follows again after it had stopped following it.

#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "hyssopspar/config_state.h"
#include "hyssopspar/decision.h"
#include "hyssopspar/logging.h"
#include "hyssopspar/membership.h"
#include "hyssopspar/scheduler.h"

namespace hyssopspar::testsuite {
namespace {

constexpr const char* kCell = "d0.0";
constexpr WriterId kOwnWriter = 1;
constexpr WriterId kPreviousWriter = 2;

class RefollowedCellTest : public testing::Test {
 protected:
  RefollowedCellTest()
      : m_now(std::chrono::hours(1)),
        m_scheduler(Settings(), kOwnWriter, /*incarnation=*/1) {
    SetLogLevel("critical");
    ConfigPublish publish;
    publish.m_doc.m_failure_domains = {FailureDomainConfig{"d0", 1}};
    Read(kConfigStream, 0, {EncodeConfig(publish)});
  }

  static SchedSettings Settings() {
    SchedSettings settings;
    settings.m_name = "s0";
    settings.m_failure_domain = "d0";
    return settings;
  }

  /// Delivers the answer to a read that returned \p payloads, the stream's last
  /// records, from offset \p from on.
  void Read(const std::string& stream,
            Offset from,
            const std::vector<std::string>& payloads) {
    LogSlice slice;
    for (const std::string& payload : payloads) {
      slice.m_records.push_back(
          LogRecord{from + slice.m_records.size(), payload});
    }
    slice.m_end = from + payloads.size();
    m_scheduler.OnRead(stream, slice, m_now, m_now);
  }

  void ReadHeartbeatOf(const std::string& name) {
    MemberHeartbeat heartbeat;
    heartbeat.m_name = name;
    heartbeat.m_incarnation = 1;
    heartbeat.m_failure_domain = "d0";
    Read(kMemberStream, m_members++, {EncodeHeartbeat(heartbeat)});
  }

  /// The claim among the records that the scheduler appends at a tick.
  std::vector<OwnerClaim> ClaimsOfTick() {
    std::vector<OwnerClaim> claims;
    for (const SchedulerOutput::Append& append :
         m_scheduler.Tick(m_now).m_appends) {
      const Result<Batch> batch = DecodeBatch(append.m_payload);
      for (const Decision& decision : batch.value().m_decisions) {
        if (const OwnerClaim* claim = std::get_if<OwnerClaim>(&decision)) {
          claims.push_back(*claim);
        }
      }
    }
    return claims;
  }

  TimePoint m_now;
  Scheduler m_scheduler;
  Offset m_members = 0;
};

// After a pause, a scheduler missed its own heartbeats for a moment, stopped
// following the cell and followed it again. The answer to the last read of the
// earlier reader was applied to the new, empty replica, which skipped all
// records before it and claimed the released cell for a wrong epoch for ever.
TEST_F(RefollowedCellTest, ClaimsForTheEpochOfTheStream) {
  const std::vector<std::string> records = {
      EncodeBatch(Batch{kPreviousWriter, 1, 0, {OwnerClaim{"s1", 0, 0}}}),
      EncodeBatch(Batch{kPreviousWriter, 2, 1, {OwnerRelease{"s1"}}}),
      EncodeBatch(Batch{0, 0, 0, {JobCancel{JobId{}}}})};
  ReadHeartbeatOf("s0");
  m_scheduler.Tick(m_now);
  ASSERT_EQ(m_scheduler.Streams().count(CellStream(kCell)), 1U);

  m_now += std::chrono::seconds(10);
  ReadHeartbeatOf("s1");
  m_scheduler.Tick(m_now);
  ASSERT_EQ(m_scheduler.Streams().count(CellStream(kCell)), 0U);
  ReadHeartbeatOf("s0");
  m_scheduler.Tick(m_now);
  ASSERT_EQ(m_scheduler.Streams().at(CellStream(kCell)), 0U);

  Read(CellStream(kCell), 2, {records[2]});
  EXPECT_EQ(m_scheduler.Streams().at(CellStream(kCell)), 0U);
  Read(CellStream(kCell), 0, records);
  m_now += std::chrono::seconds(5);
  const std::vector<OwnerClaim> claims = ClaimsOfTick();
  ASSERT_EQ(claims.size(), 1U);
  EXPECT_EQ(claims[0].m_previous_epoch, 1U);
}

}  // namespace
}  // namespace hyssopspar::testsuite
