/// \file
/// Claims on idempotency keys: who may forward a request that must not run
/// twice, and how it ended.

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

/// Claims a key. The first in the stream wins.
struct ClaimTake {
  std::string m_key;
  std::uint64_t m_token = 0;  ///< Unlike that of any other claim.
};

/// Gives a key back: the claimant never forwarded, and never will.
struct ClaimRelease {
  std::string m_key;
  std::uint64_t m_token = 0;
};

/// How the claimed request ended.
struct ClaimOutcome {
  std::string m_key;
  std::uint64_t m_token = 0;
  bool m_known = false;  ///< False when the endpoint's answer was lost.
  std::int64_t m_status = 0;
  bool m_has_body = false;  ///< False when the body was too large to keep.
  std::string m_content_type;
  std::string m_body;
};

using ClaimRecord = std::variant<ClaimTake, ClaimRelease, ClaimOutcome>;

struct Claim {
  std::uint64_t m_token = 0;
  bool m_done = false;
  ClaimOutcome m_outcome;  ///< Valid when done.
};

/// State of one claim stream.
struct ClaimState {
  Offset m_next = 0;
  std::map<std::string, Claim> m_claims;
  std::deque<std::pair<Offset, std::string>> m_order;  ///< Takes, oldest first.
};

/// Records after which a claim is forgotten. Equal on every reader, so that all
/// forget the same claims.
inline constexpr Offset kClaimMemory = 200000;

/// Streams that keys are spread over.
inline constexpr std::uint64_t kClaimStreams = 4;
std::string ClaimStream(const std::string& key);

/// Applies the record at \p offset; every reader reaches the same state.
void ApplyClaim(ClaimState* state, Offset offset, const ClaimRecord& record);

std::string EncodeClaim(const ClaimRecord& record);
Result<ClaimRecord> DecodeClaim(const std::string& bytes);

}  // namespace hyssopspar
