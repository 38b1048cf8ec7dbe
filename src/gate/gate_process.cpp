#include "gate/gate_process.h"

#include <algorithm>
#include <utility>

#include "gate/gate_request.h"
#include "hyssopspar/connection_budget.h"
#include "hyssopspar/health.h"
#include "hyssopspar/logging.h"
#include "hyssopspar/scheduler.h"

namespace hyssopspar::gate {

namespace {

constexpr std::size_t kEventQueueCapacity = 65536;
/// The budget of connections has room for so many of the largest bodies.
constexpr std::size_t kBodiesInBudget = 8;
constexpr std::size_t kAppendThreads = 4;
constexpr std::size_t kAppendQueueCapacity = 4096;
/// Period of WakeEvent, and of the checks for requests in flight at shutdown.
constexpr milliseconds kWakePeriod{5};
constexpr milliseconds kClaimRetryPause{100};
/// Time limit for recording the outcome or release of a claim, retries
/// included.
constexpr milliseconds kClaimRecordTimeout{60000};
/// Time limit for requests in flight to finish at a graceful shutdown.
constexpr milliseconds kDrainTimeout{60000};
constexpr const char* kLogComponent = "gate";
constexpr const char* kRefusedHeader = "hyssopspar-refused";

/// The result of an exchange from the endpoint's answer or the error.
ExchangeResult ClassifyExchange(const Result<HttpResponse>& answer) {
  if (answer) {
    const bool refused = answer.value().m_headers.count(kRefusedHeader) > 0;
    return refused ? ExchangeResult::kRefused : ExchangeResult::kAnswered;
  }
  return answer.error().m_code == ErrorCode::kNotSent
             ? ExchangeResult::kNotSent
             : ExchangeResult::kUnknown;
}

}  // namespace

GateProcess::GateProcess(const GateConfig& config)
    : m_config(config),
      m_core(config.m_gate, RandomId()),
      m_events(kEventQueueCapacity),
      m_next_request_id(RandomId()),
      m_append_pool(kAppendThreads, kAppendQueueCapacity),
      m_upstream(
          config.m_threads,
          static_cast<std::size_t>(config.m_gate.m_routing.m_max_connections)),
      m_peer_link([this](std::string message) {
        m_events.TryPush(PeerEvent{std::move(message)});
      }),
      m_server(
          [this](HttpRequest request, HttpReply reply) {
            OnHttp(std::move(request), std::move(reply));
          },
          [&config] {
            HttpServerLimits limits;
            limits.m_max_request_body_bytes = config.m_max_body_bytes;
            limits.m_max_connections = MaxServerConnections(config.m_limits, 2);
            return limits;
          }(),
          config.m_threads) {
  for (std::size_t i = 0; i < kAppendThreads; ++i) {
    m_log_stores.push_back(
        std::make_unique<HttpLogStore>(config.m_log_address));
  }
}

GateProcess::~GateProcess() = default;

Result<void> GateProcess::Start() {
  SetProcessBudget(m_config.m_limits,
                   kBodiesInBudget * m_config.m_max_body_bytes);
  Result<void> linked = m_peer_link.Start(m_config.m_peer_listen);
  if (!linked) {
    return linked;
  }
  Result<void> started = m_server.Start(m_config.m_listen);
  if (!started) {
    return started;
  }
  FollowStreams();
  m_routing_thread = std::thread([this] { RoutingLoop(); });
  m_wake_thread = std::thread([this] { WakeLoop(); });
  m_vm_poller = std::make_unique<VmPoller>(
      std::make_unique<HttpVmDirectory>(m_config.m_vm_list_address),
      m_config.m_vm_list_period,
      [this](std::vector<Vm> vms) { m_events.Push(VmsEvent{std::move(vms)}); });
  return Ok();
}

void GateProcess::DrainAndStop() {
  Log(kLogComponent)->info("graceful shutdown started");
  m_leaving.store(true);
  StopFlag pause_timer;
  pause_timer.WaitUntil(Clock::now() + m_config.m_shutdown_notice);
  m_server.StopAccepting();
  m_server.CloseIdleConnections(Clock::now());
  const TimePoint limit = Clock::now() + kDrainTimeout;
  while (m_server.InFlightRequests() > 0 && Clock::now() < limit) {
    pause_timer.WaitUntil(Clock::now() + kWakePeriod);
  }
  const std::size_t unfinished = m_server.InFlightRequests();
  m_append_pool.Stop();
  m_stop.Set();
  m_events.Push(WakeEvent{});
  m_wake_thread.join();
  m_vm_poller.reset();
  m_routing_thread.join();
  m_upstream.Stop();
  m_peer_link.Stop();
  m_server.Stop();
  Log(kLogComponent)->info("stopped cut={}", unfinished);
}

void GateProcess::OnHttp(HttpRequest request, HttpReply reply) {
  const std::optional<HttpResponse> health = HandleMonitoringRequest(
      request, m_metrics, m_ready.load() && !m_leaving.load());
  if (health) {
    reply(*health);
    return;
  }
  const HttpReply reply_if_full = reply;
  const bool queued = m_events.TryPush(
      RequestEvent{std::move(request), std::move(reply), Clock::now()});
  if (!queued) {
    ReplyAction action;
    action.m_reason = NotRunReason::kQueueFull;
    reply_if_full(MakeOutcomeReply(action));
  }
}

void GateProcess::WakeLoop() {
  while (!m_stop.WaitUntil(Clock::now() + kWakePeriod)) {
    m_events.TryPush(WakeEvent{});
  }
}

void GateProcess::RoutingLoop() {
  while (!m_stop.IsSet()) {
    GateEvent event = m_events.Pop();
    const TimePoint now = Clock::now();
    std::visit([this, now](auto& e) { Handle(std::move(e), now); }, event);
    Execute(m_core.DispatchPending(now), now);
  }
  m_readers.clear();
}

void GateProcess::Handle(const WakeEvent& /*event*/, TimePoint now) {
  SendPeerReport(now);
  m_ready.store(m_core.IsReady());
  m_metrics.Value("hyssopspar_gate_waiting") =
      static_cast<std::int64_t>(m_core.ActiveRequestCount());
  m_metrics.Value("hyssopspar_gate_retries") =
      static_cast<std::int64_t>(m_core.Counters().m_retries);
  m_metrics.Value("hyssopspar_gate_revision") =
      static_cast<std::int64_t>(m_revision);
}

void GateProcess::Handle(RequestEvent event, TimePoint now) {
  if (!m_core.IsReady()) {
    ReplyAction action;
    action.m_reason = NotRunReason::kNoEndpoint;
    event.m_reply(MakeOutcomeReply(action));
    return;
  }
  const RequestId id = m_next_request_id++;
  const Result<GateRequest> request =
      ParseRequest(m_core.Config(), event.m_http, id, event.m_arrival_time);
  if (!request) {
    event.m_reply(MakeRefusal(request.error()));
    return;
  }
  PendingRequest pending;
  pending.m_request = request.value();
  pending.m_http = std::move(event.m_http);
  pending.m_reply = std::move(event.m_reply);
  pending.m_arrival_time = event.m_arrival_time;
  m_pending_requests.emplace(id, std::move(pending));
  m_core.OnRequest(request.value(), now);
}

void GateProcess::Handle(ExchangeEvent event, TimePoint now) {
  const std::map<RequestId, PendingRequest>::iterator it =
      m_pending_requests.find(event.m_request_id);
  const ExchangeResult result = ClassifyExchange(event.m_answer);
  ClaimOutcome outcome;
  if (result == ExchangeResult::kAnswered) {
    HttpResponse& answer = event.m_answer.value();
    outcome.m_has_answer = true;
    outcome.m_status = answer.m_status;
    outcome.m_content_type = HeaderOr(answer.m_headers, "content-type");
    outcome.m_has_body =
        answer.m_body.size() <= m_config.m_max_recorded_body_bytes;
    if (outcome.m_has_body && !it->second.m_request.m_key.empty()) {
      outcome.m_body = answer.m_body;
    }
    it->second.m_answer = std::make_unique<HttpResponse>(std::move(answer));
  } else if (!event.m_answer) {
    Log(kLogComponent)
        ->debug("request to endpoint failed error=\"{}\"",
                ToString(event.m_answer.error()));
  }
  m_core.OnExchange(event.m_request_id, result, outcome, now);
}

void GateProcess::Handle(const ClaimAppendEvent& event, TimePoint now) {
  m_core.OnClaimAppend(event.m_request_id, event.m_succeeded,
                       event.m_may_have_taken_effect, now);
}

void GateProcess::Handle(const PeerEvent& event, TimePoint now) {
  const Result<PeerReport> report = DecodePeerReport(event.m_message);
  if (!report) {
    ++m_metrics.Value("hyssopspar_gate_bad_peer_messages");
    return;
  }
  m_core.OnPeerReport(report.value(), now);
}

void GateProcess::Handle(const VmsEvent& event, TimePoint now) {
  m_core.OnVms(event.m_vms, now);
}

void GateProcess::Handle(const StreamRead& event, TimePoint now) {
  if (!event.m_slice) {
    return;
  }
  if (event.m_stream != kConfigStream) {
    m_core.OnClaimRead(event.m_stream, event.m_slice.value(), now);
    return;
  }
  m_config_replay.Feed(event.m_slice.value(), event.m_request_time);
  if (m_config_replay.State().m_revision != m_revision) {
    m_revision = m_config_replay.State().m_revision;
    m_core.OnConfig(m_config_replay.State(), now);
  }
}

void GateProcess::Execute(const GateOutput& output, TimePoint now) {
  for (const DispatchAction& action : output.m_dispatches) {
    Send(action);
  }
  for (const ReplyAction& action : output.m_replies) {
    SendReply(action, now);
  }
  for (const ClaimAppendAction& action : output.m_claim_appends) {
    SubmitClaimAppend(action);
  }
}

void GateProcess::Send(const DispatchAction& action) {
  const PendingRequest& pending = m_pending_requests.at(action.m_request_id);
  const RequestId id = action.m_request_id;
  m_upstream.Send(action.m_address,
                  MakeUpstreamRequest(pending.m_request, pending.m_http),
                  action.m_deadline, [this, id](Result<HttpResponse> answer) {
                    m_events.Push(ExchangeEvent{id, std::move(answer)});
                  });
}

void GateProcess::SendReply(const ReplyAction& action, TimePoint now) {
  const std::map<RequestId, PendingRequest>::iterator it =
      m_pending_requests.find(action.m_request_id);
  PendingRequest& pending = it->second;
  const bool from_endpoint =
      action.m_outcome == Outcome::kAnswered && !action.m_replayed;
  pending.m_reply(from_endpoint
                      ? MakeForwardedReply(std::move(*pending.m_answer))
                      : MakeOutcomeReply(action));
  const std::string labels =
      FormatMetricLabel("tenant", pending.m_request.m_tenant) + "," +
      FormatMetricLabel("class", pending.m_request.m_class);
  m_metrics.Histogram("hyssopspar_gate_latency_seconds", labels)
      .Add(now - pending.m_arrival_time);
  ++m_metrics.Value(
      "hyssopspar_gate_outcomes",
      labels + "," +
          FormatMetricLabel("outcome",
                            std::string(ToString(action.m_outcome))));
  m_pending_requests.erase(it);
}

void GateProcess::SubmitClaimAppend(const ClaimAppendAction& action) {
  // A claim is appended once; an outcome or a release is retried.
  const bool is_claim = action.m_request_id != 0;
  const TimePoint deadline =
      Clock::now() +
      (is_claim ? m_config.m_append_timeout : kClaimRecordTimeout);
  const bool queued = m_append_pool.TrySubmit(
      Hash(action.m_stream),
      [this, action, is_claim, deadline](std::size_t thread) {
        Result<Offset> appended = Fail(ErrorCode::kNotSent, "not tried");
        do {
          appended = m_log_stores[thread]->Append(
              action.m_stream, action.m_payload,
              std::min(deadline, Clock::now() + m_config.m_append_timeout));
        } while (!appended && !is_claim && Clock::now() < deadline &&
                 !m_stop.WaitUntil(Clock::now() + kClaimRetryPause));
        if (is_claim) {
          const bool may_have_taken_effect =
              !appended && MayHaveTakenEffect(appended.error());
          m_events.Push(ClaimAppendEvent{action.m_request_id,
                                         appended.has_value(),
                                         may_have_taken_effect});
        } else if (!appended) {
          Log(kLogComponent)
              ->error("claim outcome or release not recorded error=\"{}\"",
                      ToString(appended.error()));
        }
      });
  if (!queued && is_claim) {
    m_events.Push(ClaimAppendEvent{action.m_request_id, false, false});
  }
}

void GateProcess::FollowStreams() {
  const auto on_read = [this](StreamRead read) {
    m_events.Push(std::move(read));
  };
  std::map<std::string, Offset> streams = m_core.ClaimStreams();
  streams[kConfigStream] = 0;
  for (const std::pair<const std::string, Offset>& stream : streams) {
    m_readers[stream.first] = std::make_unique<StreamReader>(
        stream.first, stream.second,
        std::make_unique<HttpLogStore>(m_config.m_log_address), on_read);
  }
}

void GateProcess::SendPeerReport(TimePoint now) {
  if (now < m_next_report_time) {
    return;
  }
  m_next_report_time = now + m_config.m_report_period;
  std::set<std::string> peers = m_core.PeerAddresses(now);
  for (const std::string& seed : m_config.m_seed_peers) {
    if (seed != m_config.m_peer_listen) {
      peers.insert(seed);
    }
  }
  m_peer_link.SetPeers(peers);
  m_peer_link.Broadcast(
      EncodePeerReport(m_core.MakePeerReport(m_leaving.load())));
}

}  // namespace hyssopspar::gate
