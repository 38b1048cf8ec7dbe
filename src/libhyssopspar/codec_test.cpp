// What parses bytes must refuse anything malformed, and never crash.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "hyssopspar/cell_state.h"
#include "hyssopspar/claim_state.h"
#include "hyssopspar/config_state.h"
#include "hyssopspar/decision.h"
#include "hyssopspar/membership.h"
#include "hyssopspar/peer_report.h"
#include "hyssopspar/platform_codec.h"

namespace hyssopspar {
namespace {

Batch MakeBatch() {
  JobSpec spec;
  spec.m_id = 99;
  spec.m_tenant = "t";
  spec.m_tasks = 3;
  spec.m_size = Resources{1000, 2000, 1};
  spec.m_run_time = milliseconds(70);
  Batch batch;
  batch.m_writer = 5;
  batch.m_sequence = 6;
  batch.m_epoch = 7;
  batch.m_decisions = {
      OwnerClaim{"o", 3, 9},
      WorkerAdd{"w", "d", "r", Resources{4000, 8000, 2}},
      JobAdmit{spec},
      TaskCommit{TaskId{99, 1}, 1, 0, spec.m_size},
      TaskStop{TaskId{99, 1}, 1, StopReason::kLeaseExpired, 400},
      TaskHandOff{TaskId{99, 2}, 0, "c"},
      SnapshotChunk{4, 0, std::string("\0\xff", 2)}};
  return batch;
}

/// Tries every decoder on \p bytes; they may refuse, and must not crash.
/// Returns how many took it.
int DecodeAll(const std::string& bytes) {
  int read = 0;
  read += DecodeBatch(bytes).has_value() ? 1 : 0;
  read += DecodeConfig(bytes).has_value() ? 1 : 0;
  read += DecodeHeartbeat(bytes).has_value() ? 1 : 0;
  read += DecodeClaim(bytes).has_value() ? 1 : 0;
  read += DecodePeerReport(bytes).has_value() ? 1 : 0;
  read += DecodeCellState(bytes).has_value() ? 1 : 0;
  read += DecodeSlice(bytes).has_value() ? 1 : 0;
  read += DecodeSync(bytes).has_value() ? 1 : 0;
  read += DecodeReport(bytes).has_value() ? 1 : 0;
  read += DecodeVms(bytes).has_value() ? 1 : 0;
  return read;
}

TEST(Codec, BatchesComeBackAsTheyWere) {
  const std::string bytes = EncodeBatch(MakeBatch());
  const Result<Batch> decoded = DecodeBatch(bytes);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(EncodeBatch(decoded.value()), bytes);
  EXPECT_EQ(decoded.value().m_decisions.size(), 7U);
}

TEST(Codec, RefusesDeepNesting) {
  const std::string deep(100000, '\x81');
  EXPECT_FALSE(DecodeBatch(deep).has_value());
  EXPECT_FALSE(DecodePeerReport(deep).has_value());
}

TEST(Codec, RefusesTrailingBytes) {
  EXPECT_FALSE(DecodeBatch(EncodeBatch(MakeBatch()) + "x").has_value());
}

TEST(Codec, RefusesNumbersOutOfRange) {
  // A report whose sequence is negative.
  PeerReport report;
  report.m_name = "g";
  std::string bytes = EncodePeerReport(report);
  EXPECT_TRUE(DecodePeerReport(bytes).has_value());
  bytes[3] = '\x20';
  EXPECT_FALSE(DecodePeerReport(bytes).has_value());
}

RC_GTEST_PROP(CodecProperty,
              RandomBytesAreRefusedOrRead,
              (const std::string& bytes)) {
  DecodeAll(bytes);
}

RC_GTEST_PROP(CodecProperty,
              DamagedMessagesAreRefusedOrRead,
              (std::uint32_t at, std::uint8_t flip, bool cut)) {
  std::string bytes = EncodeBatch(MakeBatch());
  bytes[at % bytes.size()] = static_cast<char>(bytes[at % bytes.size()] ^ flip);
  if (cut) {
    bytes.resize(at % bytes.size());
  }
  DecodeAll(bytes);
  const Result<Batch> decoded = DecodeBatch(bytes);
  if (decoded) {
    // Whatever was read is a batch that replay can judge.
    CellState state;
    Apply(&state, 0, decoded.value());
    RC_ASSERT(CheckInvariants(state).has_value());
  }
}

RC_GTEST_PROP(CodecProperty,
              DamagedJsonIsRefusedOrRead,
              (std::uint32_t at, std::uint8_t flip)) {
  WorkerSync sync;
  sync.m_start.push_back(StartCommand{});
  sync.m_stop.push_back(AttemptId{});
  std::string text = EncodeSync(sync);
  text[at % text.size()] = static_cast<char>(text[at % text.size()] ^ flip);
  DecodeAll(text);
}

}  // namespace
}  // namespace hyssopspar
