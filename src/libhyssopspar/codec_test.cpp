// Decoders of messages and records: they reproduce what was encoded, reject
// malformed input, and never crash on it.

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

/// Passes \p bytes to every decoder. They may reject it but must not crash.
/// Returns the number of decoders that accepted it.
int DecodeAll(const std::string& bytes) {
  int accepted = 0;
  accepted += DecodeBatch(bytes).has_value() ? 1 : 0;
  accepted += DecodeConfig(bytes).has_value() ? 1 : 0;
  accepted += DecodeHeartbeat(bytes).has_value() ? 1 : 0;
  accepted += DecodeClaim(bytes).has_value() ? 1 : 0;
  accepted += DecodePeerReport(bytes).has_value() ? 1 : 0;
  accepted += DecodeCellState(bytes).has_value() ? 1 : 0;
  accepted += DecodeSlice(bytes).has_value() ? 1 : 0;
  accepted += DecodeSync(bytes).has_value() ? 1 : 0;
  accepted += DecodeReport(bytes).has_value() ? 1 : 0;
  accepted += DecodeVms(bytes).has_value() ? 1 : 0;
  return accepted;
}

TEST(Codec, DecodedBatchEncodesToSameBytes) {
  const std::string bytes = EncodeBatch(MakeBatch());
  const Result<Batch> decoded = DecodeBatch(bytes);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(EncodeBatch(decoded.value()), bytes);
  EXPECT_EQ(decoded.value().m_decisions.size(), 7U);
}

TEST(Codec, RejectsDeepNesting) {
  const std::string deep(100000, '\x81');
  EXPECT_FALSE(DecodeBatch(deep).has_value());
  EXPECT_FALSE(DecodePeerReport(deep).has_value());
}

TEST(Codec, RejectsTrailingBytes) {
  EXPECT_FALSE(DecodeBatch(EncodeBatch(MakeBatch()) + "x").has_value());
}

TEST(Codec, RejectsNegativeValueOfUnsignedField) {
  PeerReport report;
  report.m_name = "g";
  std::string bytes = EncodePeerReport(report);
  EXPECT_TRUE(DecodePeerReport(bytes).has_value());
  // Replaces the incarnation, which is unsigned, by -1.
  bytes[3] = '\x20';
  EXPECT_FALSE(DecodePeerReport(bytes).has_value());
}

RC_GTEST_PROP(CodecProperty,
              RandomBytesDoNotCrashDecoders,
              (const std::string& bytes)) {
  DecodeAll(bytes);
}

RC_GTEST_PROP(CodecProperty,
              CorruptedBatchIsRejectedOrKeepsInvariants,
              (std::uint32_t position,
               std::uint8_t flipped_bits,
               bool truncate)) {
  std::string bytes = EncodeBatch(MakeBatch());
  bytes[position % bytes.size()] =
      static_cast<char>(bytes[position % bytes.size()] ^ flipped_bits);
  if (truncate) {
    bytes.resize(position % bytes.size());
  }
  DecodeAll(bytes);
  const Result<Batch> decoded = DecodeBatch(bytes);
  if (decoded) {
    // Replay may reject the decisions of a batch that still decodes, but must
    // keep the invariants of the state.
    CellState state;
    Apply(&state, 0, decoded.value());
    RC_ASSERT(CheckInvariants(state).has_value());
  }
}

RC_GTEST_PROP(CodecProperty,
              CorruptedJsonDoesNotCrashDecoders,
              (std::uint32_t position, std::uint8_t flipped_bits)) {
  WorkerSync sync;
  sync.m_start.push_back(StartCommand{});
  sync.m_stop.push_back(AttemptId{});
  std::string text = EncodeSync(sync);
  text[position % text.size()] =
      static_cast<char>(text[position % text.size()] ^ flipped_bits);
  DecodeAll(text);
}

}  // namespace
}  // namespace hyssopspar
