#include "hyssopspar/claim_state.h"

#include <utility>

#include "pvt/archive.h"

namespace hyssopspar {

template <class A, class T>
void VisitFields(A& a, T& r, const ClaimAcquire* /*tag*/) {
  a(r.m_key, r.m_token);
}
template <class A, class T>
void VisitFields(A& a, T& r, const ClaimRelease* /*tag*/) {
  a(r.m_key, r.m_token);
}
template <class A, class T>
void VisitFields(A& a, T& r, const ClaimOutcome* /*tag*/) {
  a(r.m_key, r.m_token, r.m_has_answer, r.m_status, r.m_has_body,
    r.m_content_type, r.m_body);
}

namespace {

/// The claim with \p token that holds \p key and has no outcome yet, or null.
Claim* FindOpenClaim(ClaimState* state,
                     const std::string& key,
                     std::uint64_t token) {
  const std::map<std::string, Claim>::iterator it = state->m_claims.find(key);
  const bool open = it != state->m_claims.end() && !it->second.m_done &&
                    it->second.m_token == token;
  return open ? &it->second : nullptr;
}

void Apply(ClaimState* state, Offset offset, const ClaimAcquire& record) {
  const bool won =
      state->m_claims.emplace(record.m_key, Claim{record.m_token, false, {}})
          .second;
  if (won) {
    state->m_claim_order.emplace_back(offset, record.m_key);
  }
}

void Apply(ClaimState* state, Offset /*offset*/, const ClaimRelease& record) {
  if (FindOpenClaim(state, record.m_key, record.m_token) != nullptr) {
    state->m_claims.erase(record.m_key);
  }
}

void Apply(ClaimState* state, Offset /*offset*/, const ClaimOutcome& record) {
  Claim* claim = FindOpenClaim(state, record.m_key, record.m_token);
  if (claim != nullptr) {
    claim->m_done = true;
    claim->m_outcome = record;
  }
}

}  // namespace

std::string ClaimStreamName(const std::string& key) {
  return "claims-" + std::to_string(Hash(key) % kClaimStreamCount);
}

void ApplyClaim(ClaimState* state, Offset offset, const ClaimRecord& record) {
  state->m_next = offset + 1;
  while (!state->m_claim_order.empty() &&
         state->m_claim_order.front().first + kClaimRetentionRecords < offset) {
    state->m_claims.erase(state->m_claim_order.front().second);
    state->m_claim_order.pop_front();
  }
  std::visit([state, offset](const auto& r) { Apply(state, offset, r); },
             record);
}

std::string EncodeClaim(const ClaimRecord& record) {
  return pvt::EncodeVariant(record);
}

Result<ClaimRecord> DecodeClaim(const std::string& bytes) {
  return pvt::DecodeVariant<ClaimRecord>(bytes, "claim record");
}

}  // namespace hyssopspar
