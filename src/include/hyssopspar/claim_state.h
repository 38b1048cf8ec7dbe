/// \file
/// Claims on idempotency keys, as kept in log streams: which request may be
/// sent to an endpoint, so that none runs twice, and the recorded outcome.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>

#include "hyssopspar/error.h"
#include "hyssopspar/ids.h"
#include "hyssopspar/log_store.h"

namespace hyssopspar {

/// Claims a key. If a key is claimed more than once, the first record in the
/// stream holds the claim.
struct ClaimAcquire {
  std::string m_key;
  std::uint64_t m_token = 0;  ///< Unique to this claim.
};

/// Releases a key: the request was not sent to an endpoint and never will be.
struct ClaimRelease {
  std::string m_key;
  std::uint64_t m_token = 0;
};

/// Outcome of the request that held the claim.
struct ClaimOutcome {
  std::string m_key;
  std::uint64_t m_token = 0;
  bool m_has_answer = false;  ///< False when no answer was received.
  std::int64_t m_status = 0;
  bool m_has_body = false;  ///< False when the body was too large to record.
  std::string m_content_type;
  std::string m_body;
};

using ClaimRecord = std::variant<ClaimAcquire, ClaimRelease, ClaimOutcome>;

/// The claim that holds a key.
struct Claim {
  std::uint64_t m_token = 0;
  bool m_done = false;
  ClaimOutcome m_outcome;  ///< Valid if m_done.
};

/// State of one claim stream.
struct ClaimState {
  Offset m_next = 0;  ///< Offset of the next record to apply.
  std::map<std::string, Claim> m_claims;
  std::deque<std::pair<Offset, std::string>> m_claim_order;  ///< Oldest first.
};

/// A claim is dropped once this many later records of its stream were read. All
/// readers use the same number, so that they drop the same claims.
inline constexpr Offset kClaimRetentionRecords = 200000;

/// Number of streams that keys are distributed over by hash.
inline constexpr std::uint64_t kClaimStreamCount = 4;

/// The stream that holds the claims on \p key.
std::string ClaimStreamName(const std::string& key);

/// Applies the record at \p offset. Deterministic: all readers of a stream
/// reach the same state.
void ApplyClaim(ClaimState* state, Offset offset, const ClaimRecord& record);

std::string EncodeClaim(const ClaimRecord& record);
Result<ClaimRecord> DecodeClaim(const std::string& bytes);

}  // namespace hyssopspar
