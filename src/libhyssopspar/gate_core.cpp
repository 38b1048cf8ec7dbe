#include "hyssopspar/gate_core.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/invariant.h"
#include "hyssopspar/logging.h"

namespace hyssopspar {

namespace {

constexpr const char* kLogPart = "gate";
/// Longest time between two runs of Pump.
constexpr milliseconds kMaxWake{20};
/// Samples over which the mean of a class is taken.
constexpr int kClassSamples = 200;
/// Service times of a request's usual length that must be left when it is sent.
constexpr int kHeadroom = 3;
constexpr double kMaxRetryBudget = 100.0;

}  // namespace

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kInProgress:
      return "in-progress";
  }
  return "unknown";
}

std::string_view ToString(NotRunReason reason) {
  switch (reason) {
    case NotRunReason::kNone:
      return "none";
    case NotRunReason::kNoEndpoint:
      return "no-endpoint";
    case NotRunReason::kDeadline:
      return "deadline";
    case NotRunReason::kQueueFull:
      return "queue-full";
    case NotRunReason::kRefused:
      return "refused";
    case NotRunReason::kLogUnavailable:
      return "log-unavailable";
  }
  return "none";
}

GateCore::GateCore(const GateSettings& settings, std::uint64_t incarnation)
    : m_settings(settings),
      m_incarnation(incarnation),
      m_policy(FindRoutingPolicy(settings.m_policy)) {
  for (std::uint64_t i = 0; i < kClaimStreams; ++i) {
    m_claims["claims-" + std::to_string(i)] = ClaimState();
  }
}

bool GateCore::IsReady() const {
  return m_config_known && m_vms_known;
}

std::size_t GateCore::Waiting() const {
  return m_entries.size();
}

std::map<std::string, Offset> GateCore::ClaimStreams() const {
  std::map<std::string, Offset> streams;
  for (const std::pair<const std::string, ClaimState>& entry : m_claims) {
    streams[entry.first] = entry.second.m_next;
  }
  return streams;
}

void GateCore::OnRequest(const GateRequest& request, TimePoint now) {
  ++m_counters.m_requests;
  Entry entry;
  entry.m_request = request;
  entry.m_arrived = now;
  entry.m_class.m_name = request.m_class;
  const ServiceConfig* service = FindService(m_config.m_doc, request.m_service);
  const RequestClass* request_class =
      service == nullptr ? nullptr : FindClass(*service, request.m_class);
  if (request_class != nullptr) {
    entry.m_class.m_expected_service_time =
        m_class_means
            .emplace(request.m_service + "/" + request.m_class,
                     request_class->m_expected_service_time)
            .first->second;
  }
  const TenantConfig* tenant = FindTenant(m_config.m_doc, request.m_tenant);
  entry.m_weight = tenant == nullptr ? 1 : tenant->m_weight;
  Admit(std::move(entry), now);
}

void GateCore::Admit(Entry entry, TimePoint now) {
  const RequestId id = entry.m_request.m_id;
  const std::string key = entry.m_request.m_key;
  m_deadlines.emplace(entry.m_request.m_deadline, id);
  Entry& placed = m_entries.emplace(id, std::move(entry)).first->second;
  if (key.empty()) {
    EnterQueue(&placed, now);
    return;
  }
  const bool first = m_by_key[key].empty();
  m_by_key[key].insert(id);
  const ClaimState& claims = m_claims[ClaimStream(key)];
  const std::map<std::string, Claim>::const_iterator known =
      claims.m_claims.find(key);
  if (known == claims.m_claims.end() && first) {
    BeginClaim(&placed);
    return;
  }
  placed.m_phase = Phase::kFollowing;
  if (known != claims.m_claims.end() && known->second.m_done) {
    ReplyRecorded(id, known->second.m_outcome);
  }
}

void GateCore::BeginClaim(Entry* entry) {
  entry->m_phase = Phase::kClaiming;
  entry->m_token = Hash(std::to_string(++m_claim_counter), m_incarnation);
  m_tokens[entry->m_token] = false;
  const std::string& key = entry->m_request.m_key;
  m_output.m_claims.push_back(
      ClaimAction{entry->m_request.m_id, ClaimStream(key),
                  EncodeClaim(ClaimTake{key, entry->m_token})});
}

void GateCore::ReleaseClaim(const std::string& key, std::uint64_t token) {
  m_tokens.erase(token);
  m_output.m_claims.push_back(
      ClaimAction{0, ClaimStream(key), EncodeClaim(ClaimRelease{key, token})});
}

void GateCore::OnClaimAppend(RequestId request,
                             bool succeeded,
                             bool maybe,
                             TimePoint /*now*/) {
  const std::map<RequestId, Entry>::iterator it = m_entries.find(request);
  if (it == m_entries.end() || it->second.m_phase != Phase::kClaiming) {
    return;
  }
  if (!succeeded && !maybe) {
    m_tokens.erase(it->second.m_token);
    GiveUp(&it->second, NotRunReason::kLogUnavailable);
  }
}

void GateCore::OnClaimRead(const std::string& stream,
                           const LogSlice& slice,
                           TimePoint now) {
  ClaimState& state = m_claims[stream];
  std::set<std::string> touched;
  for (const LogRecord& record : slice.m_records) {
    if (record.m_offset < state.m_next) {
      continue;
    }
    const Result<ClaimRecord> decoded = DecodeClaim(record.m_payload);
    if (!decoded) {
      Log(kLogPart)->error("claim record malformed stream={} offset={}", stream,
                           record.m_offset);
      state.m_next = record.m_offset + 1;
      continue;
    }
    ApplyClaim(&state, record.m_offset, decoded.value());
    touched.insert(
        std::visit([](const auto& r) { return r.m_key; }, decoded.value()));
  }
  for (const std::string& key : touched) {
    OnClaimState(key, now);
  }
}

void GateCore::OnClaimState(const std::string& key, TimePoint now) {
  const ClaimState& claims = m_claims[ClaimStream(key)];
  const std::map<std::string, Claim>::const_iterator claim =
      claims.m_claims.find(key);
  if (claim == claims.m_claims.end()) {
    OnClaimFree(key);
  } else {
    OnClaimHeld(key, claim->second, now);
  }
}

void GateCore::OnClaimFree(const std::string& key) {
  const std::map<std::string, std::set<RequestId>>::const_iterator waiting =
      m_by_key.find(key);
  if (waiting == m_by_key.end()) {
    return;
  }
  Entry& entry = m_entries.at(*waiting->second.begin());
  if (entry.m_phase == Phase::kFollowing) {
    BeginClaim(&entry);
  }
}

void GateCore::OnClaimHeld(const std::string& key,
                           const Claim& claim,
                           TimePoint now) {
  const std::map<std::string, std::set<RequestId>>::const_iterator waiting =
      m_by_key.find(key);
  const std::set<RequestId> ids =
      waiting == m_by_key.end() ? std::set<RequestId>() : waiting->second;
  bool claimed_here = false;
  for (const RequestId id : ids) {
    Entry& entry = m_entries.at(id);
    const bool waits =
        entry.m_phase == Phase::kClaiming || entry.m_phase == Phase::kFollowing;
    if (entry.m_claimed) {
      claimed_here = true;
    } else if (claim.m_done && waits) {
      ReplyRecorded(id, claim.m_outcome);
    } else if (waits && entry.m_token == claim.m_token) {
      claimed_here = true;
      entry.m_claimed = true;
      EnterQueue(&entry, now);
    } else if (waits) {
      entry.m_phase = Phase::kFollowing;
    }
  }
  const std::map<std::uint64_t, bool>::const_iterator own =
      m_tokens.find(claim.m_token);
  if (own == m_tokens.end()) {
    return;
  }
  if (claim.m_done) {
    m_tokens.erase(claim.m_token);
  } else if (!claimed_here && !own->second) {
    // Its requester was told "not run", so nobody here will forward it.
    ReleaseClaim(key, claim.m_token);
  }
}

void GateCore::EnterQueue(Entry* entry, TimePoint now) {
  const GateRequest& request = entry->m_request;
  RequestQueue& queue = m_queues[request.m_service];
  if (queue.m_size >= m_settings.m_queue_limit) {
    GiveUp(entry, NotRunReason::kQueueFull);
    return;
  }
  entry->m_latest_start = LatestStart(*entry, now);
  if (now >= entry->m_latest_start) {
    GiveUp(entry, NotRunReason::kDeadline);
    return;
  }
  entry->m_phase = Phase::kQueued;
  Enqueue(&queue, request.m_tenant, request.m_id, entry->m_latest_start);
}

void GateCore::Reply(RequestId id, Outcome outcome, NotRunReason reason) {
  const std::map<RequestId, Entry>::iterator it = m_entries.find(id);
  HYSSOPSPAR_INVARIANT(it != m_entries.end());
  const std::string key = it->second.m_request.m_key;
  const TimePoint deadline = it->second.m_request.m_deadline;
  auto due = m_deadlines.lower_bound(deadline);
  while (due != m_deadlines.end() && due->first == deadline) {
    if (due->second == id) {
      m_deadlines.erase(due);
      break;
    }
    ++due;
  }
  if (!key.empty()) {
    std::set<RequestId>& ids = m_by_key[key];
    ids.erase(id);
    if (ids.empty()) {
      m_by_key.erase(key);
    }
  }
  m_counters.m_shed += outcome == Outcome::kNotRun ? 1 : 0;
  m_counters.m_unknown += outcome == Outcome::kUnknown ? 1 : 0;
  m_entries.erase(it);
  ReplyAction action;
  action.m_request = id;
  action.m_outcome = outcome;
  action.m_reason = reason;
  m_output.m_replies.push_back(std::move(action));
}

void GateCore::ReplyRecorded(RequestId id, const ClaimOutcome& outcome) {
  Reply(id, outcome.m_known ? Outcome::kAnswered : Outcome::kUnknown,
        NotRunReason::kNone);
  m_output.m_replies.back().m_replayed = true;
  m_output.m_replies.back().m_recorded = outcome;
}

void GateCore::GiveUp(Entry* entry, NotRunReason reason) {
  HYSSOPSPAR_INVARIANT(entry->m_phase != Phase::kSent);
  if (entry->m_claimed) {
    ReleaseClaim(entry->m_request.m_key, entry->m_token);
  }
  Reply(entry->m_request.m_id, Outcome::kNotRun, reason);
}

void GateCore::RecordOutcome(const Entry& entry, ClaimOutcome outcome) {
  const std::string& key = entry.m_request.m_key;
  outcome.m_key = key;
  outcome.m_token = entry.m_token;
  m_output.m_claims.push_back(
      ClaimAction{0, ClaimStream(key), EncodeClaim(outcome)});
}

void GateCore::OnExchange(RequestId request,
                          ExchangeEnd end,
                          const ClaimOutcome& answer,
                          TimePoint now) {
  const std::map<RequestId, Entry>::iterator it = m_entries.find(request);
  HYSSOPSPAR_INVARIANT(it != m_entries.end());
  Entry& entry = it->second;
  HYSSOPSPAR_INVARIANT(entry.m_phase == Phase::kSent);
  const std::map<std::string, EndpointView>::iterator found =
      m_endpoints.find(entry.m_endpoint);
  if (found != m_endpoints.end()) {
    EndpointView& endpoint = found->second;
    --endpoint.m_own;
    HYSSOPSPAR_INVARIANT(endpoint.m_own >= 0);
    const auto sent = endpoint.m_sent.find(entry.m_sent);
    if (sent != endpoint.m_sent.end()) {
      endpoint.m_sent.erase(sent);
    }
    if (end == ExchangeEnd::kAnswered) {
      LearnService(&endpoint, entry.m_class, m_settings.m_routing,
                   now - entry.m_sent, entry.m_ahead, now);
      LearnClass(entry, std::max<Duration>(now - entry.m_sent - endpoint.m_trip,
                                           milliseconds(1)) *
                            endpoint.m_slots /
                            (endpoint.m_slots + entry.m_ahead));
    } else if (end == ExchangeEnd::kRefused) {
      endpoint.m_refused_until = now + m_settings.m_refused_pause;
    } else {
      endpoint.m_suspect_until = now + m_settings.m_suspect_pause;
    }
  }
  if (end == ExchangeEnd::kAnswered || end == ExchangeEnd::kUnknown) {
    if (entry.m_claimed) {
      RecordOutcome(entry, answer);
    }
    Reply(
        request,
        end == ExchangeEnd::kAnswered ? Outcome::kAnswered : Outcome::kUnknown,
        NotRunReason::kNone);
    return;
  }
  // It certainly did not start there, so it may go elsewhere.
  entry.m_avoid.insert(entry.m_endpoint);
  entry.m_phase = Phase::kFollowing;
  if (entry.m_claimed) {
    m_tokens[entry.m_token] = false;
  }
  const bool again = entry.m_tries < m_settings.m_max_tries &&
                     m_retry_budget >= 1.0 && now < entry.m_request.m_deadline;
  if (!again) {
    GiveUp(&entry, NotRunReason::kRefused);
    return;
  }
  m_retry_budget -= 1.0;
  ++m_counters.m_retries;
  EnterQueue(&entry, now);
}

GateOutput GateCore::Pump(TimePoint now) {
  SumPeers(now);
  ExpireEntries(now);
  Shed(now);
  Dispatch(now);
  GateOutput output = std::move(m_output);
  m_output = GateOutput();
  return output;
}

void GateCore::ExpireEntries(TimePoint now) {
  std::vector<RequestId> due;
  for (auto it = m_deadlines.begin();
       it != m_deadlines.end() && it->first <= now; ++it) {
    due.push_back(it->second);
  }
  for (const RequestId id : due) {
    Entry& entry = m_entries.at(id);
    switch (entry.m_phase) {
      case Phase::kClaiming:
        // Should the claim turn up it is released, so this stays true.
        Reply(id, Outcome::kNotRun, NotRunReason::kLogUnavailable);
        break;
      case Phase::kFollowing:
        Reply(id, Outcome::kInProgress, NotRunReason::kNone);
        break;
      case Phase::kQueued:
        Remove(&m_queues[entry.m_request.m_service], entry.m_request.m_tenant,
               id, entry.m_latest_start);
        GiveUp(&entry, NotRunReason::kDeadline);
        break;
      case Phase::kSent:
        // The exchange has the same deadline and ends by itself.
        break;
    }
  }
}

Duration GateCore::LeastExpected(const std::string& service,
                                 const RouteClass& request_class,
                                 TimePoint now) const {
  const std::map<std::string, std::vector<std::string>>::const_iterator names =
      m_by_service.find(service);
  Duration least = request_class.m_expected_service_time;
  if (names == m_by_service.end()) {
    return least;
  }
  for (const std::string& name : names->second) {
    const EndpointView& endpoint = m_endpoints.at(name);
    if (endpoint.m_usable) {
      least = std::min(
          least, endpoint.m_trip + ExpectedService(endpoint, request_class,
                                                   m_settings.m_routing, now));
    }
  }
  return least;
}

void GateCore::LearnClass(const Entry& entry, Duration service) {
  Duration& mean =
      m_class_means[entry.m_request.m_service + "/" + entry.m_request.m_class];
  mean += (service - mean) / kClassSamples;
}

TimePoint GateCore::LatestStart(const Entry& entry, TimePoint now) const {
  const GateRequest& request = entry.m_request;
  const Duration expected =
      LeastExpected(request.m_service, entry.m_class, now);
  // A caller in a hurry still gets its chance in the first half of its time.
  const Duration timeout = request.m_deadline - entry.m_arrived;
  return request.m_deadline - std::min(kHeadroom * expected, timeout / 2);
}

void GateCore::Shed(TimePoint now) {
  for (std::pair<const std::string, RequestQueue>& queue : m_queues) {
    for (const RequestId id : TakeExpired(&queue.second, now)) {
      GiveUp(&m_entries.at(id), NotRunReason::kDeadline);
    }
  }
}

void GateCore::Dispatch(TimePoint now) {
  for (const std::pair<const std::string, RequestQueue>& queue : m_queues) {
    while (queue.second.m_size > 0 && DispatchFront(queue.first, now)) {
    }
  }
}

bool GateCore::DispatchFront(const std::string& service, TimePoint now) {
  RequestQueue& queue = m_queues[service];
  Entry& entry = m_entries.at(*Front(queue));
  std::vector<const EndpointView*> candidates;
  for (const std::string& name : m_by_service[service]) {
    if (entry.m_avoid.count(name) == 0) {
      candidates.push_back(&m_endpoints.at(name));
    }
  }
  const RequestId id = entry.m_request.m_id;
  const std::optional<std::size_t> pick =
      candidates.empty()
          ? std::nullopt
          : m_policy(candidates, entry.m_class, m_settings.m_routing, id, now);
  if (!pick) {
    return false;
  }
  EndpointView& endpoint = m_endpoints.at(candidates[*pick]->m_name);
  HYSSOPSPAR_INVARIANT(endpoint.m_own < m_settings.m_routing.m_connections);
  PopFront(&queue, entry.m_class.m_expected_service_time, entry.m_weight);
  entry.m_phase = Phase::kSent;
  entry.m_endpoint = endpoint.m_name;
  entry.m_sent = now;
  entry.m_ahead = std::max<std::int64_t>(
      0, endpoint.m_own + endpoint.m_peers + 1 - endpoint.m_slots);
  ++entry.m_tries;
  if (entry.m_tries == 1) {
    m_retry_budget =
        std::min(kMaxRetryBudget, m_retry_budget + m_settings.m_retry_share);
  }
  if (!entry.m_request.m_key.empty()) {
    HYSSOPSPAR_INVARIANT(entry.m_claimed);
    HYSSOPSPAR_INVARIANT(!m_tokens.at(entry.m_token));
    m_tokens[entry.m_token] = true;
  }
  ++endpoint.m_own;
  endpoint.m_sent.insert(now);
  m_output.m_dispatches.push_back(DispatchAction{
      id, endpoint.m_name, endpoint.m_address, entry.m_request.m_deadline});
  return true;
}

TimePoint GateCore::NextWake(TimePoint now) const {
  const TimePoint latest = now + kMaxWake;
  return m_deadlines.empty() ? latest
                             : std::min(latest, m_deadlines.begin()->first);
}

}  // namespace hyssopspar
