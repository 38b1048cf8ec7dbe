/// \file
/// Decisions of one gate: admission, idempotency claims, queueing, choice of an
/// endpoint, retries and load shedding. It does no input or output: the caller
/// feeds it events and the current time, and executes the actions it returns.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "hyssopspar/claim_state.h"
#include "hyssopspar/config_state.h"
#include "hyssopspar/endpoint_view.h"
#include "hyssopspar/gate_settings.h"
#include "hyssopspar/peer_report.h"
#include "hyssopspar/request_queue.h"
#include "hyssopspar/vm_directory.h"

namespace hyssopspar {

/// Final outcome of a request, as returned to its caller.
enum class Outcome {
  kAnswered,
  kNotRun,   ///< The request did not run and never will.
  kUnknown,  ///< The request may have run; no answer was received.
  /// Another request with the same idempotency key is not yet completed.
  kInProgress,
};

/// Reason of Outcome::kNotRun; kNone with any other outcome.
enum class NotRunReason {
  kNone,
  kNoEndpoint,      ///< The gate has no configuration or VM list yet.
  kDeadline,        ///< Too little time was left to send it.
  kQueueFull,       ///< The service's queue was at its limit.
  kRefused,         ///< No endpoint started it, and no retry is allowed.
  kLogUnavailable,  ///< The idempotency claim could not be recorded.
};

std::string_view ToString(Outcome outcome);
std::string_view ToString(NotRunReason reason);

/// A valid request of a caller.
struct GateRequest {
  RequestId m_id = 0;
  std::string m_service;
  std::string m_class;
  std::string m_tenant;
  std::string m_key;  ///< Idempotency key; empty for idempotent requests.
  TimePoint m_deadline;
};

/// Result of sending a request to an endpoint.
enum class ExchangeResult {
  kAnswered,
  kNotSent,  ///< No byte was sent to the endpoint.
  kRefused,  ///< The endpoint answered that it did not start the request.
  kUnknown,  ///< Sent, but no answer was received; it may have run.
};

/// Send a request to an endpoint, then report the result to OnExchange.
struct DispatchAction {
  RequestId m_request_id = 0;
  std::string m_endpoint;
  std::string m_address;
  TimePoint m_deadline;
};

/// Answer the caller. The request is no longer tracked by the gate.
struct ReplyAction {
  RequestId m_request_id = 0;
  Outcome m_outcome = Outcome::kNotRun;
  NotRunReason m_reason = NotRunReason::kNone;
  /// True when m_recorded_answer, recorded earlier under the same idempotency
  /// key, is the answer.
  bool m_replayed = false;
  ClaimOutcome m_recorded_answer;
};

/// Append a record to a claim stream of the log.
struct ClaimAppendAction {
  /// The request whose claim it is, to pass to OnClaimAppend. 0 for an outcome
  /// or a release: its append is to be retried and its result is not reported.
  RequestId m_request_id = 0;
  std::string m_stream;
  std::string m_payload;
};

/// Actions for the caller of GateCore to execute.
struct GateOutput {
  std::vector<DispatchAction> m_dispatches;
  std::vector<ReplyAction> m_replies;
  std::vector<ClaimAppendAction> m_claim_appends;
};

/// Totals since the start of the gate, for metrics.
struct GateCounters {
  std::uint64_t m_requests = 0;
  std::uint64_t m_not_run = 0;  ///< Replies with Outcome::kNotRun.
  std::uint64_t m_retries = 0;
  std::uint64_t m_unknown = 0;  ///< Replies with Outcome::kUnknown.
};

/// State and decisions of one gate. Not thread-safe.
class GateCore {
 public:
  /// \p incarnation is unique to this start of the process.
  GateCore(const GateSettings& settings, std::uint64_t incarnation);

  /// Handles a new request. Its answer is a ReplyAction.
  void OnRequest(const GateRequest& request, TimePoint now);

  /// Handles the result of an exchange that a DispatchAction started. Only for
  /// a request with an idempotency key, \p answer is used: it is recorded for
  /// repeats of the request.
  void OnExchange(RequestId request,
                  ExchangeResult result,
                  const ClaimOutcome& answer,
                  TimePoint now);

  /// Handles the result of a ClaimAppendAction. \p may_have_taken_effect is
  /// true if the append failed but the log may still have recorded it.
  void OnClaimAppend(RequestId request,
                     bool succeeded,
                     bool may_have_taken_effect,
                     TimePoint now);

  /// Applies records read from the claim stream \p stream.
  void OnClaimRead(const std::string& stream,
                   const LogSlice& slice,
                   TimePoint now);

  /// Applies the report of another gate.
  void OnPeerReport(const PeerReport& report, TimePoint now);
  void OnConfig(const ConfigState& config, TimePoint now);
  void OnVms(const std::vector<Vm>& vms, TimePoint now);

  /// Expires, sheds and dispatches requests, and returns the actions that are
  /// due since the last call. Call it after every event.
  GateOutput DispatchPending(TimePoint now);

  /// Latest time of the next call of DispatchPending if no event arrives
  /// before.
  TimePoint NextWakeTime(TimePoint now) const;

  /// The report to send to the other gates. \p leaving: this gate shuts down.
  PeerReport MakePeerReport(bool leaving);

  /// Addresses of other gates to send reports to.
  std::set<std::string> PeerAddresses(TimePoint now) const;

  /// True once the configuration and the VM list were received.
  bool IsReady() const;

  /// Number of requests that are not yet answered.
  std::size_t ActiveRequestCount() const;

  const std::map<std::string, EndpointView>& Endpoints() const {
    return m_endpoints;
  }
  const GateCounters& Counters() const { return m_counters; }
  const ConfigDoc& Config() const { return m_config.m_doc; }

  /// The claim streams, each with the next offset to read.
  std::map<std::string, Offset> ClaimStreams() const;

 private:
  enum class Phase {
    kClaiming,  ///< Its claim on the key was appended, but not yet read back.
    kWaitingForClaim,  ///< Another request holds the claim on its key.
    kQueued,
    kSent
  };

  /// A request that is not yet answered.
  struct ActiveRequest {
    GateRequest m_request;
    RouteClass m_route_class;
    std::int64_t m_weight = 1;
    TimePoint m_arrival_time;
    /// If it is sent later, an answer before the deadline is unlikely.
    TimePoint m_latest_send_time;
    Phase m_phase = Phase::kQueued;
    std::uint64_t m_claim_token = 0;  ///< Of its latest claim.
    bool m_owns_claim = false;        ///< The claim was read back as the first.
    std::uint32_t m_attempts = 0;
    std::string m_endpoint;
    TimePoint m_send_time;
    /// Requests beyond the endpoint's slots when it was sent, itself included.
    std::int64_t m_excess = 0;
    /// Endpoints that refused it or could not be reached.
    std::set<std::string> m_excluded_endpoints;
  };

  /// Last report of another gate and when it was received.
  struct PeerState {
    PeerReport m_report;
    TimePoint m_received_time;
  };

  /// Adds the request. It is queued at once if it has no key; else it claims
  /// its key, waits for the holder of the claim, or gets the recorded answer.
  void Admit(ActiveRequest active, TimePoint now);
  void BeginClaim(ActiveRequest* active);
  void ReleaseClaim(const std::string& key, std::uint64_t token);
  /// Applies the claim that now holds \p key to the requests with that key.
  void OnKeyClaimed(const std::string& key, const Claim& claim, TimePoint now);
  /// Claims \p key again if requests wait for it.
  void OnKeyUnclaimed(const std::string& key);
  /// Handles a change of the state of \p key in its claim stream.
  void OnKeyChanged(const std::string& key, TimePoint now);
  void EnterQueue(ActiveRequest* active, TimePoint now);
  /// Adds a ReplyAction and removes the request.
  void Reply(RequestId id, Outcome outcome, NotRunReason reason);
  void ReplyRecorded(RequestId id, const ClaimOutcome& outcome);
  /// Replies Outcome::kNotRun, and releases the request's claim if it has one.
  void ReplyNotRun(ActiveRequest* active, NotRunReason reason);
  void RecordOutcome(const ActiveRequest& active, ClaimOutcome outcome);
  void UpdateClassMean(const ActiveRequest& active, Duration service_time);
  /// Replies Outcome::kNotRun to queued requests past their latest send time.
  void ShedLateRequests(TimePoint now);
  TimePoint LatestSendTime(const ActiveRequest& active, TimePoint now) const;
  void Dispatch(TimePoint now);
  /// Sends the first request of the queue; false if no endpoint can accept it.
  bool DispatchFront(const std::string& service, TimePoint now);
  void ExpireRequests(TimePoint now);
  void RefreshEndpoints(TimePoint now);
  /// Sums the peers' request counts by endpoint and drops expired peers.
  void UpdatePeerCounts(TimePoint now);
  /// The lowest sum of round-trip time and expected service time over the
  /// service's endpoints, at most the expected service time of the class.
  Duration MinExpectedLatency(const std::string& service,
                              const RouteClass& request_class,
                              TimePoint now) const;

  GateSettings m_settings;
  std::uint64_t m_incarnation;
  std::uint64_t m_report_sequence = 0;
  RoutingPolicy m_policy;
  ConfigState m_config;
  bool m_has_config = false;
  std::map<std::string, Vm> m_vms;
  bool m_has_vms = false;
  std::map<std::string, EndpointView> m_endpoints;
  std::map<std::string, std::vector<std::string>> m_endpoints_by_service;
  /// Endpoint names by the hash that peer reports use for them.
  std::map<std::uint64_t, std::string> m_endpoint_by_hash;
  std::map<std::string, PeerState> m_peers;  ///< By gate name.
  /// Time of the last report from each address, or of its first mention.
  std::map<std::string, TimePoint> m_peer_addresses;
  std::map<RequestId, ActiveRequest> m_active_requests;
  std::multimap<TimePoint, RequestId> m_deadlines;
  std::map<std::string, RequestQueue> m_queues;  ///< By service.
  std::map<std::string, ClaimState> m_claim_streams;
  std::map<std::string, std::set<RequestId>> m_requests_by_key;
  /// Tokens of this gate's claims that have no release or outcome yet; true
  /// once the request was sent to an endpoint.
  std::map<std::uint64_t, bool> m_own_claims;
  std::uint64_t m_claim_counter = 0;
  /// Mean service time over all endpoints, by "SERVICE/CLASS".
  std::map<std::string, Duration> m_class_means;
  double m_retry_budget = 1.0;  ///< Retries allowed now.
  GateOutput m_output;  ///< Actions since the last call of DispatchPending.
  GateCounters m_counters;
};

}  // namespace hyssopspar
