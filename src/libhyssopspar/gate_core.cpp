#include "hyssopspar/gate_core.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/invariant.h"
#include "hyssopspar/logging.h"

namespace hyssopspar {

namespace {

constexpr const char* kLogComponent = "gate";
/// Longest time between two calls of DispatchPending.
constexpr milliseconds kMaxWakeInterval{20};
/// Time constant, in samples, of a class's moving mean of service times.
constexpr int kClassMeanSamples = 200;
/// A request is sent only while at least this multiple of its expected latency
/// is left before its deadline.
constexpr int kLatencyHeadroom = 3;
/// Largest number of unused retries that accumulate.
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
  for (std::uint64_t i = 0; i < kClaimStreamCount; ++i) {
    m_claim_streams["claims-" + std::to_string(i)] = ClaimState();
  }
}

bool GateCore::IsReady() const {
  return m_has_config && m_has_vms;
}

std::size_t GateCore::ActiveRequestCount() const {
  return m_active_requests.size();
}

std::map<std::string, Offset> GateCore::ClaimStreams() const {
  std::map<std::string, Offset> streams;
  for (const std::pair<const std::string, ClaimState>& entry :
       m_claim_streams) {
    streams[entry.first] = entry.second.m_next;
  }
  return streams;
}

void GateCore::OnRequest(const GateRequest& request, TimePoint now) {
  ++m_counters.m_requests;
  ActiveRequest active;
  active.m_request = request;
  active.m_arrival_time = now;
  active.m_route_class.m_name = request.m_class;
  const ServiceConfig* service = FindService(m_config.m_doc, request.m_service);
  const RequestClass* request_class =
      service == nullptr ? nullptr : FindClass(*service, request.m_class);
  if (request_class != nullptr) {
    active.m_route_class.m_expected_service_time =
        m_class_means
            .emplace(request.m_service + "/" + request.m_class,
                     request_class->m_expected_service_time)
            .first->second;
  }
  const TenantConfig* tenant = FindTenant(m_config.m_doc, request.m_tenant);
  active.m_weight = tenant == nullptr ? 1 : tenant->m_weight;
  Admit(std::move(active), now);
}

void GateCore::Admit(ActiveRequest active, TimePoint now) {
  const RequestId id = active.m_request.m_id;
  const std::string key = active.m_request.m_key;
  m_deadlines.emplace(active.m_request.m_deadline, id);
  ActiveRequest& added =
      m_active_requests.emplace(id, std::move(active)).first->second;
  if (key.empty()) {
    EnterQueue(&added, now);
    return;
  }
  const bool is_first = m_requests_by_key[key].empty();
  m_requests_by_key[key].insert(id);
  const ClaimState& claims = m_claim_streams[ClaimStreamName(key)];
  const std::map<std::string, Claim>::const_iterator claim =
      claims.m_claims.find(key);
  if (claim == claims.m_claims.end() && is_first) {
    BeginClaim(&added);
    return;
  }
  added.m_phase = Phase::kWaitingForClaim;
  if (claim != claims.m_claims.end() && claim->second.m_done) {
    ReplyRecorded(id, claim->second.m_outcome);
  }
}

void GateCore::BeginClaim(ActiveRequest* active) {
  active->m_phase = Phase::kClaiming;
  active->m_claim_token =
      Hash(std::to_string(++m_claim_counter), m_incarnation);
  m_own_claims[active->m_claim_token] = false;
  const std::string& key = active->m_request.m_key;
  m_output.m_claim_appends.push_back(
      ClaimAppendAction{active->m_request.m_id, ClaimStreamName(key),
                        EncodeClaim(ClaimAcquire{key, active->m_claim_token})});
}

void GateCore::ReleaseClaim(const std::string& key, std::uint64_t token) {
  m_own_claims.erase(token);
  m_output.m_claim_appends.push_back(ClaimAppendAction{
      0, ClaimStreamName(key), EncodeClaim(ClaimRelease{key, token})});
}

void GateCore::OnClaimAppend(RequestId request,
                             bool succeeded,
                             bool may_have_taken_effect,
                             TimePoint /*now*/) {
  const std::map<RequestId, ActiveRequest>::iterator it =
      m_active_requests.find(request);
  if (it == m_active_requests.end() || it->second.m_phase != Phase::kClaiming) {
    return;
  }
  if (!succeeded && !may_have_taken_effect) {
    m_own_claims.erase(it->second.m_claim_token);
    ReplyNotRun(&it->second, NotRunReason::kLogUnavailable);
  }
}

void GateCore::OnClaimRead(const std::string& stream,
                           const LogSlice& slice,
                           TimePoint now) {
  ClaimState& state = m_claim_streams[stream];
  std::set<std::string> changed_keys;
  for (const LogRecord& record : slice.m_records) {
    if (record.m_offset < state.m_next) {
      continue;
    }
    const Result<ClaimRecord> decoded = DecodeClaim(record.m_payload);
    if (!decoded) {
      Log(kLogComponent)
          ->error("claim record malformed stream={} offset={}", stream,
                  record.m_offset);
      state.m_next = record.m_offset + 1;
      continue;
    }
    ApplyClaim(&state, record.m_offset, decoded.value());
    changed_keys.insert(
        std::visit([](const auto& r) { return r.m_key; }, decoded.value()));
  }
  for (const std::string& key : changed_keys) {
    OnKeyChanged(key, now);
  }
}

void GateCore::OnKeyChanged(const std::string& key, TimePoint now) {
  const ClaimState& claims = m_claim_streams[ClaimStreamName(key)];
  const std::map<std::string, Claim>::const_iterator claim =
      claims.m_claims.find(key);
  if (claim == claims.m_claims.end()) {
    OnKeyUnclaimed(key);
  } else {
    OnKeyClaimed(key, claim->second, now);
  }
}

void GateCore::OnKeyUnclaimed(const std::string& key) {
  const std::map<std::string, std::set<RequestId>>::const_iterator waiting =
      m_requests_by_key.find(key);
  if (waiting == m_requests_by_key.end()) {
    return;
  }
  ActiveRequest& active = m_active_requests.at(*waiting->second.begin());
  if (active.m_phase == Phase::kWaitingForClaim) {
    BeginClaim(&active);
  }
}

void GateCore::OnKeyClaimed(const std::string& key,
                            const Claim& claim,
                            TimePoint now) {
  const std::map<std::string, std::set<RequestId>>::const_iterator waiting =
      m_requests_by_key.find(key);
  const std::set<RequestId> ids = waiting == m_requests_by_key.end()
                                      ? std::set<RequestId>()
                                      : waiting->second;
  bool claimed_here = false;
  for (const RequestId id : ids) {
    ActiveRequest& active = m_active_requests.at(id);
    const bool is_waiting = active.m_phase == Phase::kClaiming ||
                            active.m_phase == Phase::kWaitingForClaim;
    if (active.m_owns_claim) {
      claimed_here = true;
    } else if (claim.m_done && is_waiting) {
      ReplyRecorded(id, claim.m_outcome);
    } else if (is_waiting && active.m_claim_token == claim.m_token) {
      claimed_here = true;
      active.m_owns_claim = true;
      EnterQueue(&active, now);
    } else if (is_waiting) {
      active.m_phase = Phase::kWaitingForClaim;
    }
  }
  const std::map<std::uint64_t, bool>::const_iterator own_claim =
      m_own_claims.find(claim.m_token);
  if (own_claim == m_own_claims.end()) {
    return;
  }
  if (claim.m_done) {
    m_own_claims.erase(claim.m_token);
  } else if (!claimed_here && !own_claim->second) {
    // The request that made this claim was answered "not run" and is never
    // sent, so the key is released.
    ReleaseClaim(key, claim.m_token);
  }
}

void GateCore::EnterQueue(ActiveRequest* active, TimePoint now) {
  const GateRequest& request = active->m_request;
  RequestQueue& queue = m_queues[request.m_service];
  if (queue.m_size >= m_settings.m_queue_limit) {
    ReplyNotRun(active, NotRunReason::kQueueFull);
    return;
  }
  active->m_latest_send_time = LatestSendTime(*active, now);
  if (now >= active->m_latest_send_time) {
    ReplyNotRun(active, NotRunReason::kDeadline);
    return;
  }
  active->m_phase = Phase::kQueued;
  Enqueue(&queue, request.m_tenant, request.m_id, active->m_latest_send_time);
}

void GateCore::Reply(RequestId id, Outcome outcome, NotRunReason reason) {
  const std::map<RequestId, ActiveRequest>::iterator it =
      m_active_requests.find(id);
  HYSSOPSPAR_INVARIANT(it != m_active_requests.end());
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
    std::set<RequestId>& ids = m_requests_by_key[key];
    ids.erase(id);
    if (ids.empty()) {
      m_requests_by_key.erase(key);
    }
  }
  m_counters.m_not_run += outcome == Outcome::kNotRun ? 1 : 0;
  m_counters.m_unknown += outcome == Outcome::kUnknown ? 1 : 0;
  m_active_requests.erase(it);
  ReplyAction action;
  action.m_request_id = id;
  action.m_outcome = outcome;
  action.m_reason = reason;
  m_output.m_replies.push_back(std::move(action));
}

void GateCore::ReplyRecorded(RequestId id, const ClaimOutcome& outcome) {
  Reply(id, outcome.m_has_answer ? Outcome::kAnswered : Outcome::kUnknown,
        NotRunReason::kNone);
  m_output.m_replies.back().m_replayed = true;
  m_output.m_replies.back().m_recorded_answer = outcome;
}

void GateCore::ReplyNotRun(ActiveRequest* active, NotRunReason reason) {
  HYSSOPSPAR_INVARIANT(active->m_phase != Phase::kSent);
  if (active->m_owns_claim) {
    ReleaseClaim(active->m_request.m_key, active->m_claim_token);
  }
  Reply(active->m_request.m_id, Outcome::kNotRun, reason);
}

void GateCore::RecordOutcome(const ActiveRequest& active,
                             ClaimOutcome outcome) {
  const std::string& key = active.m_request.m_key;
  outcome.m_key = key;
  outcome.m_token = active.m_claim_token;
  m_output.m_claim_appends.push_back(
      ClaimAppendAction{0, ClaimStreamName(key), EncodeClaim(outcome)});
}

void GateCore::OnExchange(RequestId request,
                          ExchangeResult result,
                          const ClaimOutcome& answer,
                          TimePoint now) {
  const std::map<RequestId, ActiveRequest>::iterator it =
      m_active_requests.find(request);
  HYSSOPSPAR_INVARIANT(it != m_active_requests.end());
  ActiveRequest& active = it->second;
  HYSSOPSPAR_INVARIANT(active.m_phase == Phase::kSent);
  const std::map<std::string, EndpointView>::iterator found =
      m_endpoints.find(active.m_endpoint);
  if (found != m_endpoints.end()) {
    EndpointView& endpoint = found->second;
    --endpoint.m_own_requests;
    HYSSOPSPAR_INVARIANT(endpoint.m_own_requests >= 0);
    const auto sent = endpoint.m_send_times.find(active.m_send_time);
    if (sent != endpoint.m_send_times.end()) {
      endpoint.m_send_times.erase(sent);
    }
    if (result == ExchangeResult::kAnswered) {
      UpdateServiceEstimate(&endpoint, active.m_route_class,
                            m_settings.m_routing, now - active.m_send_time,
                            active.m_excess, now);
      UpdateClassMean(
          active,
          std::max<Duration>(now - active.m_send_time - endpoint.m_round_trip,
                             milliseconds(1)) *
              endpoint.m_slots / (endpoint.m_slots + active.m_excess));
    } else if (result == ExchangeResult::kRefused) {
      endpoint.m_refusal_pause_end = now + m_settings.m_refusal_pause;
    } else {
      endpoint.m_failure_pause_end = now + m_settings.m_failure_pause;
    }
  }
  if (result == ExchangeResult::kAnswered ||
      result == ExchangeResult::kUnknown) {
    if (active.m_owns_claim) {
      RecordOutcome(active, answer);
    }
    Reply(request,
          result == ExchangeResult::kAnswered ? Outcome::kAnswered
                                              : Outcome::kUnknown,
          NotRunReason::kNone);
    return;
  }
  // The endpoint did not start the request, so another endpoint may be tried.
  active.m_excluded_endpoints.insert(active.m_endpoint);
  // Temporary, since it is no longer sent: ReplyNotRun or EnterQueue follows.
  active.m_phase = Phase::kWaitingForClaim;
  if (active.m_owns_claim) {
    m_own_claims[active.m_claim_token] = false;
  }
  const bool retry = active.m_attempts < m_settings.m_max_attempts &&
                     m_retry_budget >= 1.0 && now < active.m_request.m_deadline;
  if (!retry) {
    ReplyNotRun(&active, NotRunReason::kRefused);
    return;
  }
  m_retry_budget -= 1.0;
  ++m_counters.m_retries;
  EnterQueue(&active, now);
}

GateOutput GateCore::DispatchPending(TimePoint now) {
  UpdatePeerCounts(now);
  ExpireRequests(now);
  ShedLateRequests(now);
  Dispatch(now);
  GateOutput output = std::move(m_output);
  m_output = GateOutput();
  return output;
}

void GateCore::ExpireRequests(TimePoint now) {
  std::vector<RequestId> due;
  for (auto it = m_deadlines.begin();
       it != m_deadlines.end() && it->first <= now; ++it) {
    due.push_back(it->second);
  }
  for (const RequestId id : due) {
    ActiveRequest& active = m_active_requests.at(id);
    switch (active.m_phase) {
      case Phase::kClaiming:
        // If the claim takes effect later, OnKeyClaimed releases it, so the
        // request does not run after this answer.
        Reply(id, Outcome::kNotRun, NotRunReason::kLogUnavailable);
        break;
      case Phase::kWaitingForClaim:
        Reply(id, Outcome::kInProgress, NotRunReason::kNone);
        break;
      case Phase::kQueued:
        Remove(&m_queues[active.m_request.m_service], active.m_request.m_tenant,
               id, active.m_latest_send_time);
        ReplyNotRun(&active, NotRunReason::kDeadline);
        break;
      case Phase::kSent:
        // The exchange has the same deadline and then calls OnExchange.
        break;
    }
  }
}

Duration GateCore::MinExpectedLatency(const std::string& service,
                                      const RouteClass& request_class,
                                      TimePoint now) const {
  const std::map<std::string, std::vector<std::string>>::const_iterator names =
      m_endpoints_by_service.find(service);
  Duration least = request_class.m_expected_service_time;
  if (names == m_endpoints_by_service.end()) {
    return least;
  }
  for (const std::string& name : names->second) {
    const EndpointView& endpoint = m_endpoints.at(name);
    if (endpoint.m_in_service) {
      least =
          std::min(least, endpoint.m_round_trip +
                              ExpectedServiceTime(endpoint, request_class,
                                                  m_settings.m_routing, now));
    }
  }
  return least;
}

void GateCore::UpdateClassMean(const ActiveRequest& active,
                               Duration service_time) {
  Duration& mean = m_class_means[active.m_request.m_service + "/" +
                                 active.m_request.m_class];
  mean += (service_time - mean) / kClassMeanSamples;
}

TimePoint GateCore::LatestSendTime(const ActiveRequest& active,
                                   TimePoint now) const {
  const GateRequest& request = active.m_request;
  const Duration expected =
      MinExpectedLatency(request.m_service, active.m_route_class, now);
  // A request with a short timeout can still be sent in the first half of it.
  const Duration timeout = request.m_deadline - active.m_arrival_time;
  return request.m_deadline -
         std::min(kLatencyHeadroom * expected, timeout / 2);
}

void GateCore::ShedLateRequests(TimePoint now) {
  for (std::pair<const std::string, RequestQueue>& queue : m_queues) {
    for (const RequestId id : TakeExpired(&queue.second, now)) {
      ReplyNotRun(&m_active_requests.at(id), NotRunReason::kDeadline);
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
  ActiveRequest& active = m_active_requests.at(*Front(queue));
  std::vector<const EndpointView*> candidates;
  for (const std::string& name : m_endpoints_by_service[service]) {
    if (active.m_excluded_endpoints.count(name) == 0) {
      candidates.push_back(&m_endpoints.at(name));
    }
  }
  const RequestId id = active.m_request.m_id;
  const std::optional<std::size_t> pick =
      candidates.empty() ? std::nullopt
                         : m_policy(candidates, active.m_route_class,
                                    m_settings.m_routing, id, now);
  if (!pick) {
    return false;
  }
  EndpointView& endpoint = m_endpoints.at(candidates[*pick]->m_name);
  HYSSOPSPAR_INVARIANT(endpoint.m_own_requests <
                       m_settings.m_routing.m_max_connections);
  PopFront(&queue, active.m_route_class.m_expected_service_time,
           active.m_weight);
  active.m_phase = Phase::kSent;
  active.m_endpoint = endpoint.m_name;
  active.m_send_time = now;
  active.m_excess = std::max<std::int64_t>(0, endpoint.m_own_requests +
                                                  endpoint.m_peer_requests + 1 -
                                                  endpoint.m_slots);
  ++active.m_attempts;
  if (active.m_attempts == 1) {
    m_retry_budget = std::min(
        kMaxRetryBudget, m_retry_budget + m_settings.m_retries_per_request);
  }
  if (!active.m_request.m_key.empty()) {
    HYSSOPSPAR_INVARIANT(active.m_owns_claim);
    HYSSOPSPAR_INVARIANT(!m_own_claims.at(active.m_claim_token));
    m_own_claims[active.m_claim_token] = true;
  }
  ++endpoint.m_own_requests;
  endpoint.m_send_times.insert(now);
  m_output.m_dispatches.push_back(DispatchAction{
      id, endpoint.m_name, endpoint.m_address, active.m_request.m_deadline});
  return true;
}

TimePoint GateCore::NextWakeTime(TimePoint now) const {
  const TimePoint latest = now + kMaxWakeInterval;
  return m_deadlines.empty() ? latest
                             : std::min(latest, m_deadlines.begin()->first);
}

}  // namespace hyssopspar
