#include "node/node_process.h"

#include <algorithm>
#include <cstdlib>
#include <future>
#include <thread>
#include <utility>

#include "hyssopspar/connection_budget.h"
#include "hyssopspar/health.h"
#include "hyssopspar/jobs/records.h"
#include "hyssopspar/logging.h"
#include "hyssopspar/store/record_batch.h"
#include "hyssopspar/text.h"
#include "node/request_deadline.h"
#include "node/store_answer.h"

namespace hyssopspar::node {

namespace {

constexpr const char* kLogComponent = "node";
/// Most callers' requests that wait for the loop; further ones are refused.
constexpr std::size_t kMaxQueuedRequests = 4096;
/// Number of the only cell. A site has one cell until its size requires more.
constexpr int kCell = 0;
/// A node with an older view of the operators' records is not ready: it has
/// lost contact with the store.
constexpr milliseconds kMaxReadyViewAge{2500};
/// Time from the start of the shutdown during which new connections are still
/// accepted; the balancer needs it to notice the failing readiness checks.
constexpr milliseconds kBalancerNotice{2500};
/// Part of the grace time kept for stopping the parts after the last answer.
constexpr milliseconds kExitMargin{1000};
/// A connection that a caller has just opened or used gets its next request
/// within this time, or is idle.
constexpr milliseconds kIdleBeforeClose{200};
/// Time between checks for requests in flight during the shutdown.
constexpr milliseconds kDrainPollInterval{50};
/// Part of the drain time in which requests that still wait for the store are
/// answered as not run. A stopping node gave these no answer.
constexpr milliseconds kLastAnswersTime{300};
/// Time limit of relayed records whose sender gives none.
constexpr milliseconds kDefaultRelayTimeout{3000};

/// The budget of connections has room for so many of the store's largest
/// answers, as each stream may have one under way.
constexpr std::size_t kAppendsInBudget = 4;
/// Most connections of callers, where the descriptors suffice.
constexpr std::size_t kMaxFrontConnections = 2000;
/// Shares of the descriptors. The rest is for the store, workers and peers.
constexpr std::size_t kFrontShare = 2;
constexpr std::size_t kInternalShare = 4;
constexpr std::size_t kReadyShare = 16;

HttpServerLimits FrontLimits(const ResourceLimits& resources) {
  HttpServerLimits limits;
  limits.m_max_request_body_bytes = 1 << 20;
  const std::size_t share = MaxServerConnections(resources, kFrontShare);
  limits.m_max_connections =
      share == 0 ? kMaxFrontConnections : std::min(kMaxFrontConnections, share);
  limits.m_idle_timeout = std::chrono::seconds(60);
  return limits;
}

HttpServerLimits LimitsWithShare(const ResourceLimits& resources,
                                 std::size_t share) {
  HttpServerLimits limits;
  limits.m_max_connections = MaxServerConnections(resources, share);
  return limits;
}

}  // namespace

NodeProcess::NodeProcess(const NodeSettings& settings,
                         std::unique_ptr<jobs::PlatformAdapter> platform)
    : m_settings(settings),
      m_platform(std::move(platform)),
      m_loop(
          kMaxQueuedRequests,
          [this](const std::string& /*message*/) {
            m_metrics.Value("hyssopspar_unexpected_errors_total").fetch_add(1);
            m_cell_host.OnUnexpectedError();
          }),
      m_operator_view(m_platform.get(), &m_loop),
      m_peer_handover(settings.m_peers, &m_loop),
      m_cell_host(settings,
                  kCell,
                  m_platform.get(),
                  &m_loop,
                  &m_operator_view,
                  &m_peer_handover,
                  &m_metrics),
      m_owner_client(&m_cell_host, &m_loop),
      m_peer_store(settings.m_peers, &m_loop),
      m_appender(&m_platform->Log(),
                 &m_loop,
                 {jobs::kJobStream, kCell},
                 &m_peer_store,
                 settings.m_cell.m_store_limits,
                 [this] { return OwnerAddress(); }),
      m_admission(settings.m_cell.m_measures_load,
                  &m_cell_host,
                  &m_owner_client,
                  &m_metrics),
      m_front(m_platform.get(),
              &m_operator_view,
              &m_owner_client,
              &m_admission,
              &m_appender,
              settings.m_cell.m_store_limits,
              settings.m_key_view,
              &m_metrics),
      m_front_server(
          [this](HttpRequest request, HttpReply reply) {
            HandleFrontRequest(std::move(request), std::move(reply));
          },
          FrontLimits(settings.m_limits),
          1),
      m_ready_server(
          [this](const HttpRequest& request, const HttpReply& reply) {
            HandleReadinessCheck(request, reply);
          },
          LimitsWithShare(settings.m_limits, kReadyShare),
          1),
      m_internal_server(
          [this](HttpRequest request, HttpReply reply) {
            HandleInternalRequest(std::move(request), std::move(reply));
          },
          LimitsWithShare(settings.m_limits, kInternalShare),
          1) {}

NodeProcess::~NodeProcess() = default;

Result<void> NodeProcess::Start() {
  SetProcessBudget(
      m_settings.m_limits,
      kAppendsInBudget * m_settings.m_cell.m_store_limits.m_max_batch_bytes);
  BOOST_OUTCOME_TRY(m_internal_server.Start(m_settings.m_internal_listen));
  BOOST_OUTCOME_TRY(m_ready_server.Start(m_settings.m_ready_listen));
  BOOST_OUTCOME_TRY(m_front_server.Start(m_settings.m_front_listen));
  m_loop.Post([this] {
    m_operator_view.Start([this] { m_cell_host.OnOperatorChange(); });
    m_cell_host.SetTakeoverOfferHandler([this] {
      m_owner_client.OfferTakeover(m_settings.m_ownership.m_cpu_capacity);
    });
    m_cell_host.Start();
  });
  return Ok();
}

void NodeProcess::ShutDown() {
  const TimePoint started = Clock::now();
  Log(kLogComponent)->info("shutdown-started");
  m_shutting_down.store(true);
  std::promise<void> released;
  m_loop.Post([this, &released] {
    m_cell_host.Release([&released] { released.set_value(); });
  });
  released.get_future().wait();
  std::this_thread::sleep_until(started + kBalancerNotice);
  m_front_server.StopAccepting();
  const TimePoint drain_deadline =
      started + m_settings.m_shutdown_grace - kExitMargin;
  AwaitConnections(drain_deadline - kLastAnswersTime);
  m_internal_server.StopAccepting();
  m_loop.Post([this] { m_appender.Stop(); });
  AwaitAnswers(drain_deadline);
  Log(kLogComponent)
      ->info("stopped in_flight={}", m_front_server.InFlightRequests());
  m_front_server.Stop();
  m_ready_server.Stop();
  m_internal_server.Stop();
  m_platform->Stop();
  m_owner_client.Stop();
  m_peer_store.Stop();
  m_peer_handover.Stop();
  m_loop.Stop();
}

void NodeProcess::AwaitConnections(TimePoint deadline) {
  while (m_front_server.OpenConnections() > 0 && Clock::now() < deadline) {
    m_front_server.CloseIdleConnections(Clock::now() - kIdleBeforeClose);
    std::this_thread::sleep_for(kDrainPollInterval);
  }
}

void NodeProcess::AwaitAnswers(TimePoint deadline) {
  while (m_front_server.InFlightRequests() +
                 m_internal_server.InFlightRequests() >
             0 &&
         Clock::now() < deadline) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
}

void NodeProcess::HandlePeerRequest(const HttpRequest& request,
                                    TimePoint received,
                                    const HttpReply& reply) {
  if (StartsWith(request.m_target, kHandoverPath)) {
    HandleHandover(request, reply);
    return;
  }
  if (StartsWith(request.m_target, kAdmissionPath)) {
    m_owner_client.HandleAdmissionQuery(request, reply);
    return;
  }
  if (request.m_target != kRecordsPath) {
    reply(m_owner_client.HandleOwnerQuery(request));
    return;
  }
  const Result<std::vector<KeyedRecord>> records =
      DecodeRecords(request.m_body);
  if (!records) {
    reply(ErrorResponse(400, "malformed", records.error().m_detail));
    return;
  }
  m_appender.StoreForPeer(
      records.value(),
      received + std::min(kDefaultRelayTimeout,
                          TimeoutOf(request).value_or(kDefaultRelayTimeout)),
      [reply](const Result<Offset>& end) { reply(RelayAnswer(end)); });
}

void NodeProcess::HandleHandover(const HttpRequest& request,
                                 const HttpReply& reply) {
  if (request.m_method == "GET") {
    const std::string epoch =
        request.m_target.substr(std::string(kHandoverPath).size());
    m_cell_host.CheckStoreForRelease(
        std::strtoull(epoch.c_str(), nullptr, 10), [reply](bool can_store) {
          reply(can_store
                    ? JsonResponse(200, "{}")
                    : ErrorResponse(503, "unavailable", "can't store it"));
        });
    return;
  }
  const Result<jobs::OwnerRecord> release = jobs::DecodeOwner(request.m_body);
  if (!release) {
    reply(ErrorResponse(400, "malformed", release.error().m_detail));
    return;
  }
  m_cell_host.StoreReleaseForPeer(
      release.value(), [reply](const Result<Offset>& end) {
        reply(end ? JsonResponse(200, "{}")
                  : ErrorResponse(503,
                                  std::string(ToString(end.error().m_code)),
                                  end.error().m_detail));
      });
}

std::string NodeProcess::OwnerAddress() const {
  const jobs::OwnerView& owner = m_cell_host.Owner();
  const bool is_other_node = owner.m_record && !owner.m_record->m_released &&
                             owner.m_record->m_node != m_settings.m_name;
  return is_other_node ? owner.m_record->m_address : "";
}

HttpReply NodeProcess::WithRequestMetrics(const std::string& method,
                                          const HttpReply& reply) {
  return [this, method, reply, received = Clock::now()](HttpResponse response) {
    const std::string labels =
        FormatMetricLabel("method", method) + "," +
        FormatMetricLabel("status", std::to_string(response.m_status));
    m_metrics.Histogram("hyssopspar_request_seconds", labels)
        .Add(Clock::now() - received);
    reply(std::move(response));
  };
}

bool NodeProcess::IsReady() const {
  return !m_shutting_down.load() && m_operator_view.HasConfig() &&
         Clock::now() - m_operator_view.CurrentAsOf() < kMaxReadyViewAge;
}

void NodeProcess::HandleFrontRequest(HttpRequest request, HttpReply reply) {
  const HttpReply refuse = reply;
  const TimePoint received = Clock::now();
  const bool queued = m_loop.TryPost([this, received,
                                      request = std::move(request),
                                      reply = std::move(reply)] {
    HandleWithReply(
        [this, received](const HttpRequest& message, const HttpReply& answer) {
          m_front.Handle(message, received,
                         WithRequestMetrics(message.m_method, answer));
        },
        request, reply);
  });
  if (!queued) {
    refuse(Unavailable("too many requests waiting"));
  }
}

void NodeProcess::HandleReadinessCheck(const HttpRequest& /*request*/,
                                       const HttpReply& reply) {
  m_loop.Post([this, reply] {
    reply(IsReady() ? JsonResponse(200, "{}")
                    : ErrorResponse(503, "unavailable", "not ready"));
  });
}

void NodeProcess::HandleInternalRequest(HttpRequest request, HttpReply reply) {
  const std::optional<HttpResponse> health =
      HandleMonitoringRequest(request, m_metrics, !m_shutting_down.load());
  if (health) {
    reply(*health);
    return;
  }
  m_loop.Post([this, received = Clock::now(), request = std::move(request),
               reply = std::move(reply)] {
    HandleWithReply(
        [this, received](const HttpRequest& message, const HttpReply& answer) {
          HandlePeerRequest(message, received, answer);
        },
        request, reply);
  });
}

}  // namespace hyssopspar::node
