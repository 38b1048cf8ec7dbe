#include "gate/gate_process.h"

#include <algorithm>
#include <utility>

#include "gate/gate_request.h"
#include "hyssopspar/health.h"
#include "hyssopspar/logging.h"
#include "hyssopspar/scheduler.h"

namespace hyssopspar::gate {

namespace {

constexpr std::size_t kEventCapacity = 65536;
constexpr std::size_t kAppendThreads = 4;
constexpr std::size_t kAppendCapacity = 4096;
constexpr milliseconds kWakePeriod{5};
constexpr milliseconds kClaimRetryPause{100};
/// How long the end of a claim is tried to be recorded.
constexpr milliseconds kClaimRecordLimit{60000};
/// How long requests in flight may take to finish at a graceful stop.
constexpr milliseconds kDrainLimit{60000};
constexpr const char* kLogPart = "gate";
constexpr const char* kRefusedHeader = "hyssopspar-refused";

ExchangeEnd EndOf(const Result<HttpResponse>& answer) {
  if (answer) {
    const bool refused = answer.value().m_headers.count(kRefusedHeader) > 0;
    return refused ? ExchangeEnd::kRefused : ExchangeEnd::kAnswered;
  }
  return answer.error().m_code == ErrorCode::kNotSent ? ExchangeEnd::kNotSent
                                                      : ExchangeEnd::kUnknown;
}

}  // namespace

GateProcess::GateProcess(const GateConfig& config)
    : m_config(config),
      m_core(config.m_gate, RandomId()),
      m_events(kEventCapacity),
      m_next_id(RandomId()),
      m_append_pool(kAppendThreads, kAppendCapacity),
      m_upstream(
          config.m_threads,
          static_cast<std::size_t>(config.m_gate.m_routing.m_connections)),
      m_peers([this](std::string message) {
        m_events.TryPush(PeerEvent{std::move(message)});
      }),
      m_server(
          [this](HttpRequest request, HttpReply reply) {
            OnHttp(std::move(request), std::move(reply));
          },
          [&config] {
            HttpServerLimits limits;
            limits.m_body_bytes = config.m_body_bytes;
            return limits;
          }(),
          config.m_threads) {
  for (std::size_t i = 0; i < kAppendThreads; ++i) {
    m_logs.push_back(std::make_unique<HttpLogStore>(config.m_log_address));
  }
}

GateProcess::~GateProcess() = default;

Result<void> GateProcess::Start() {
  Result<void> linked = m_peers.Start(m_config.m_peer_listen);
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
  Log(kLogPart)->info("leaving");
  m_leaving.store(true);
  StopFlag pause;
  pause.WaitUntil(Clock::now() + m_config.m_notice);
  m_server.StopAccepting();
  const TimePoint limit = Clock::now() + kDrainLimit;
  while (m_server.InFlight() > 0 && Clock::now() < limit) {
    pause.WaitUntil(Clock::now() + kWakePeriod);
  }
  const std::size_t cut = m_server.InFlight();
  m_append_pool.Stop();
  m_stop.Set();
  m_events.Push(WakeEvent{});
  m_wake_thread.join();
  m_vm_poller.reset();
  m_routing_thread.join();
  m_upstream.Stop();
  m_peers.Stop();
  m_server.Stop();
  Log(kLogPart)->info("stopped cut={}", cut);
}

void GateProcess::OnHttp(HttpRequest request, HttpReply reply) {
  const std::optional<HttpResponse> health =
      AnswerHealth(request, m_metrics, m_ready.load() && !m_leaving.load());
  if (health) {
    reply(*health);
    return;
  }
  const HttpReply answer = reply;
  const bool queued = m_events.TryPush(
      RequestEvent{std::move(request), std::move(reply), Clock::now()});
  if (!queued) {
    ReplyAction full;
    full.m_reason = NotRunReason::kQueueFull;
    answer(MakeReply(full));
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
    CarryOut(m_core.Pump(now), now);
  }
  m_readers.clear();
}

void GateProcess::Handle(const WakeEvent& /*event*/, TimePoint now) {
  Report(now);
  m_ready.store(m_core.IsReady());
  m_metrics.Value("hyssopspar_gate_waiting") =
      static_cast<std::int64_t>(m_core.Waiting());
  m_metrics.Value("hyssopspar_gate_retries") =
      static_cast<std::int64_t>(m_core.Counters().m_retries);
  m_metrics.Value("hyssopspar_gate_revision") =
      static_cast<std::int64_t>(m_revision);
}

void GateProcess::Handle(RequestEvent event, TimePoint now) {
  if (!m_core.IsReady()) {
    ReplyAction action;
    action.m_reason = NotRunReason::kNoEndpoint;
    event.m_reply(MakeReply(action));
    return;
  }
  const RequestId id = m_next_id++;
  const Result<GateRequest> request =
      ParseRequest(m_core.Config(), event.m_http, id, event.m_arrived);
  if (!request) {
    event.m_reply(RefusalOf(request.error()));
    return;
  }
  Pending pending;
  pending.m_request = request.value();
  pending.m_http = std::move(event.m_http);
  pending.m_reply = std::move(event.m_reply);
  pending.m_arrived = event.m_arrived;
  m_pending.emplace(id, std::move(pending));
  m_core.OnRequest(request.value(), now);
}

void GateProcess::Handle(ExchangeEvent event, TimePoint now) {
  const std::map<RequestId, Pending>::iterator it =
      m_pending.find(event.m_request);
  const ExchangeEnd end = EndOf(event.m_answer);
  ClaimOutcome outcome;
  if (end == ExchangeEnd::kAnswered) {
    HttpResponse& answer = event.m_answer.value();
    outcome.m_known = true;
    outcome.m_status = answer.m_status;
    outcome.m_content_type = HeaderOr(answer.m_headers, "content-type");
    outcome.m_has_body = answer.m_body.size() <= m_config.m_recorded_bytes;
    if (outcome.m_has_body && !it->second.m_request.m_key.empty()) {
      outcome.m_body = answer.m_body;
    }
    it->second.m_answer = std::make_unique<HttpResponse>(std::move(answer));
  } else if (!event.m_answer) {
    Log(kLogPart)->debug("exchange failed error=\"{}\"",
                         ToString(event.m_answer.error()));
  }
  m_core.OnExchange(event.m_request, end, outcome, now);
}

void GateProcess::Handle(const ClaimAppendEvent& event, TimePoint now) {
  m_core.OnClaimAppend(event.m_request, event.m_succeeded, event.m_maybe, now);
}

void GateProcess::Handle(const PeerEvent& event, TimePoint now) {
  const Result<PeerReport> report = DecodePeerReport(event.m_message);
  if (!report) {
    ++m_metrics.Value("hyssopspar_gate_bad_peer_messages");
    return;
  }
  m_core.OnPeer(report.value(), now);
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
  m_replay.Feed(event.m_slice.value(), event.m_sent);
  if (m_replay.State().m_revision != m_revision) {
    m_revision = m_replay.State().m_revision;
    m_core.OnConfig(m_replay.State(), now);
  }
}

void GateProcess::CarryOut(const GateOutput& output, TimePoint now) {
  for (const DispatchAction& action : output.m_dispatches) {
    Send(action);
  }
  for (const ReplyAction& action : output.m_replies) {
    Answer(action, now);
  }
  for (const ClaimAction& action : output.m_claims) {
    SubmitClaim(action);
  }
}

void GateProcess::Send(const DispatchAction& action) {
  const Pending& pending = m_pending.at(action.m_request);
  const RequestId id = action.m_request;
  m_upstream.Send(action.m_address,
                  MakeUpstream(pending.m_request, pending.m_http),
                  action.m_deadline, [this, id](Result<HttpResponse> answer) {
                    m_events.Push(ExchangeEvent{id, std::move(answer)});
                  });
}

void GateProcess::Answer(const ReplyAction& action, TimePoint now) {
  const std::map<RequestId, Pending>::iterator it =
      m_pending.find(action.m_request);
  Pending& pending = it->second;
  const bool fresh =
      action.m_outcome == Outcome::kAnswered && !action.m_replayed;
  pending.m_reply(fresh ? MakeAnswer(std::move(*pending.m_answer))
                        : MakeReply(action));
  const std::string labels = Label("tenant", pending.m_request.m_tenant) + "," +
                             Label("class", pending.m_request.m_class);
  m_metrics.Histogram("hyssopspar_gate_latency_seconds", labels)
      .Add(now - pending.m_arrived);
  ++m_metrics.Value(
      "hyssopspar_gate_outcomes",
      labels + "," + Label("outcome", std::string(ToString(action.m_outcome))));
  m_pending.erase(it);
}

void GateProcess::SubmitClaim(const ClaimAction& action) {
  const bool take = action.m_request != 0;
  const TimePoint limit =
      Clock::now() + (take ? m_config.m_append_timeout : kClaimRecordLimit);
  const bool queued = m_append_pool.TrySubmit(
      Hash(action.m_stream), [this, action, take, limit](std::size_t thread) {
        Result<Offset> sent = Fail(ErrorCode::kNotSent, "not tried");
        do {
          sent = m_logs[thread]->Append(
              action.m_stream, action.m_payload,
              std::min(limit, Clock::now() + m_config.m_append_timeout));
        } while (!sent && !take && Clock::now() < limit &&
                 !m_stop.WaitUntil(Clock::now() + kClaimRetryPause));
        if (take) {
          const bool maybe = !sent && MayHaveTakenEffect(sent.error());
          m_events.Push(
              ClaimAppendEvent{action.m_request, sent.has_value(), maybe});
        } else if (!sent) {
          Log(kLogPart)->error("claim end not recorded error=\"{}\"",
                               ToString(sent.error()));
        }
      });
  if (!queued && take) {
    m_events.Push(ClaimAppendEvent{action.m_request, false, false});
  }
}

void GateProcess::FollowStreams() {
  const auto sink = [this](StreamRead read) { m_events.Push(std::move(read)); };
  std::map<std::string, Offset> streams = m_core.ClaimStreams();
  streams[kConfigStream] = 0;
  for (const std::pair<const std::string, Offset>& stream : streams) {
    m_readers[stream.first] = std::make_unique<StreamReader>(
        stream.first, stream.second,
        std::make_unique<HttpLogStore>(m_config.m_log_address), sink);
  }
}

void GateProcess::Report(TimePoint now) {
  if (now < m_next_report) {
    return;
  }
  m_next_report = now + m_config.m_report_period;
  std::set<std::string> peers = m_core.PeerAddresses(now);
  for (const std::string& seed : m_config.m_peers) {
    if (seed != m_config.m_peer_listen) {
      peers.insert(seed);
    }
  }
  m_peers.SetPeers(peers);
  m_peers.Broadcast(EncodePeerReport(m_core.MakeReport(m_leaving.load())));
}

}  // namespace hyssopspar::gate
