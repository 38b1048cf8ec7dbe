/// \file
/// The decisions of one gate, free of input and output.

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

/// How a request ended, as told to its caller.
enum class Outcome {
  kAnswered,
  kNotRun,      ///< It certainly did not run, and will not.
  kUnknown,     ///< It may have run.
  kInProgress,  ///< The same key is being served through another request.
};

/// Why a request was not run.
enum class NotRunReason {
  kNone,
  kNoEndpoint,
  kDeadline,
  kQueueFull,
  kRefused,
  kLogUnavailable,
};

std::string_view ToString(Outcome outcome);
std::string_view ToString(NotRunReason reason);

struct GateRequest {
  RequestId m_id = 0;
  std::string m_service;
  std::string m_class;
  std::string m_tenant;
  std::string m_key;  ///< Empty for idempotent requests.
  TimePoint m_deadline;
};

/// How an exchange with an endpoint ended.
enum class ExchangeEnd {
  kAnswered,
  kNotSent,  ///< No byte reached the endpoint.
  kRefused,  ///< The endpoint said that it did not start.
  kUnknown,
};

struct DispatchAction {
  RequestId m_request = 0;
  std::string m_endpoint;
  std::string m_address;
  TimePoint m_deadline;
};

struct ReplyAction {
  RequestId m_request = 0;
  Outcome m_outcome = Outcome::kNotRun;
  NotRunReason m_reason = NotRunReason::kNone;
  /// Set when the answer is one recorded earlier under the same key.
  bool m_replayed = false;
  ClaimOutcome m_recorded;
};

struct ClaimAction {
  RequestId m_request = 0;  ///< 0 when nobody waits for the append.
  std::string m_stream;
  std::string m_payload;
};

struct GateOutput {
  std::vector<DispatchAction> m_dispatches;
  std::vector<ReplyAction> m_replies;
  std::vector<ClaimAction> m_claims;
};

/// Counts of what a gate did, for metrics.
struct GateCounters {
  std::uint64_t m_requests = 0;
  std::uint64_t m_shed = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_unknown = 0;
};

class GateCore {
 public:
  GateCore(const GateSettings& settings, std::uint64_t incarnation);

  void OnRequest(const GateRequest& request, TimePoint now);

  /// An exchange begun by a DispatchAction ended. \p answer matters for keyed
  /// requests only; it is recorded for repeats.
  void OnExchange(RequestId request,
                  ExchangeEnd end,
                  const ClaimOutcome& answer,
                  TimePoint now);

  /// A ClaimAction's append ended. \p maybe tells that a failed one may have
  /// taken effect all the same.
  void OnClaimAppend(RequestId request,
                     bool succeeded,
                     bool maybe,
                     TimePoint now);

  void OnClaimRead(const std::string& stream,
                   const LogSlice& slice,
                   TimePoint now);

  void OnPeer(const PeerReport& report, TimePoint now);
  void OnConfig(const ConfigState& config, TimePoint now);
  void OnVms(const std::vector<Vm>& vms, TimePoint now);

  /// Sheds, dispatches and times out. Call it after every input.
  GateOutput Pump(TimePoint now);

  /// When Pump has to run again though nothing arrived.
  TimePoint NextWake(TimePoint now) const;

  PeerReport MakeReport(bool leaving);
  std::set<std::string> PeerAddresses(TimePoint now) const;

  bool IsReady() const;
  std::size_t Waiting() const;
  const std::map<std::string, EndpointView>& Endpoints() const {
    return m_endpoints;
  }
  const GateCounters& Counters() const { return m_counters; }
  const ConfigDoc& Config() const { return m_config.m_doc; }
  std::map<std::string, Offset> ClaimStreams() const;

 private:
  enum class Phase { kClaiming, kFollowing, kQueued, kSent };

  struct Entry {
    GateRequest m_request;
    RouteClass m_class;
    std::int64_t m_weight = 1;
    TimePoint m_arrived;
    TimePoint m_latest_start;  ///< Sent later it would hardly be answered.
    Phase m_phase = Phase::kQueued;
    std::uint64_t m_token = 0;  ///< Of the claim last tried for.
    bool m_claimed = false;
    std::uint32_t m_tries = 0;
    std::string m_endpoint;
    TimePoint m_sent;
    std::int64_t m_ahead = 0;
    std::set<std::string> m_avoid;  ///< Endpoints that refused it.
  };

  struct Peer {
    PeerReport m_report;
    TimePoint m_seen;
  };

  void Admit(Entry entry, TimePoint now);
  void BeginClaim(Entry* entry);
  void ReleaseClaim(const std::string& key, std::uint64_t token);
  void OnClaimHeld(const std::string& key, const Claim& claim, TimePoint now);
  void OnClaimFree(const std::string& key);
  void OnClaimState(const std::string& key, TimePoint now);
  void EnterQueue(Entry* entry, TimePoint now);
  void Reply(RequestId id, Outcome outcome, NotRunReason reason);
  void ReplyRecorded(RequestId id, const ClaimOutcome& outcome);
  void GiveUp(Entry* entry, NotRunReason reason);
  void RecordOutcome(const Entry& entry, ClaimOutcome outcome);
  void LearnClass(const Entry& entry, Duration service);
  void Shed(TimePoint now);
  TimePoint LatestStart(const Entry& entry, TimePoint now) const;
  void Dispatch(TimePoint now);
  bool DispatchFront(const std::string& service, TimePoint now);
  void ExpireEntries(TimePoint now);
  void RefreshEndpoints(TimePoint now);
  void SumPeers(TimePoint now);
  Duration LeastExpected(const std::string& service,
                         const RouteClass& request_class,
                         TimePoint now) const;

  GateSettings m_settings;
  std::uint64_t m_incarnation;
  std::uint64_t m_report_sequence = 0;
  RoutingPolicy m_policy;
  ConfigState m_config;
  bool m_config_known = false;
  std::map<std::string, Vm> m_vms;
  bool m_vms_known = false;
  std::map<std::string, EndpointView> m_endpoints;
  std::map<std::string, std::vector<std::string>> m_by_service;
  std::map<std::uint64_t, std::string> m_by_hash;
  std::map<std::string, Peer> m_peers;
  std::map<std::string, TimePoint> m_peer_addresses;
  std::map<RequestId, Entry> m_entries;
  std::multimap<TimePoint, RequestId> m_deadlines;
  std::map<std::string, RequestQueue> m_queues;
  std::map<std::string, ClaimState> m_claims;
  std::map<std::string, std::set<RequestId>> m_by_key;
  /// Claims of ours that are not over; true once forwarded.
  std::map<std::uint64_t, bool> m_tokens;
  std::uint64_t m_claim_counter = 0;
  /// Mean service time of each service and class over all endpoints.
  std::map<std::string, Duration> m_class_means;
  double m_retry_budget = 1.0;
  GateOutput m_output;
  GateCounters m_counters;
};

}  // namespace hyssopspar
