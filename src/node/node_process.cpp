#include "node/node_process.h"

#include <future>
#include <thread>
#include <utility>

#include "hyssopspar/health.h"
#include "hyssopspar/jobs/records.h"
#include "hyssopspar/logging.h"
#include "hyssopspar/store/record_batch.h"

namespace hyssopspar::node {

namespace {

constexpr const char* kLogPart = "node";
constexpr std::size_t kLoopCapacity = 4096;
/// Only cell of the site, until its size asks for more.
constexpr int kCell = 0;
/// The store was heard from within this time, or the node is not ready.
constexpr milliseconds kContactLimit{2500};
/// Time for the balancer to notice that the node leaves.
constexpr milliseconds kLeaveNotice{2500};
/// Left for the end of the process after the last answer.
constexpr milliseconds kExitMargin{1000};
constexpr milliseconds kDrainPause{50};

HttpServerLimits FrontLimits() {
  HttpServerLimits limits;
  limits.m_body_bytes = 1 << 20;
  limits.m_connections = 2000;
  limits.m_idle_timeout = std::chrono::seconds(60);
  return limits;
}

}  // namespace

NodeProcess::NodeProcess(const NodeSettings& settings,
                         std::unique_ptr<jobs::PlatformAdapter> platform)
    : m_settings(settings),
      m_platform(std::move(platform)),
      m_loop(kLoopCapacity),
      m_operators(m_platform.get(), &m_loop),
      m_host(settings,
             kCell,
             m_platform.get(),
             &m_loop,
             &m_operators,
             &m_metrics),
      m_owner(&m_host, &m_loop),
      m_peers(settings.m_peers, &m_loop),
      m_appender(&m_platform->Log(),
                 &m_loop,
                 {jobs::kJobStream, kCell},
                 &m_peers,
                 [this] { return OwnerAddress(); }),
      m_front(m_platform.get(), &m_operators, &m_owner, &m_appender),
      m_front_server(
          [this](HttpRequest request, HttpReply reply) {
            OnFront(std::move(request), std::move(reply));
          },
          FrontLimits(),
          1),
      m_ready_server(
          [this](const HttpRequest& request, const HttpReply& reply) {
            OnReady(request, reply);
          },
          HttpServerLimits(),
          1),
      m_internal_server(
          [this](HttpRequest request, HttpReply reply) {
            OnInternal(std::move(request), std::move(reply));
          },
          HttpServerLimits(),
          1) {}

NodeProcess::~NodeProcess() = default;

Result<void> NodeProcess::Start() {
  BOOST_OUTCOME_TRY(m_internal_server.Start(m_settings.m_internal_listen));
  BOOST_OUTCOME_TRY(m_ready_server.Start(m_settings.m_ready_listen));
  BOOST_OUTCOME_TRY(m_front_server.Start(m_settings.m_front_listen));
  m_loop.Post([this] {
    m_operators.Start([this] { m_host.OnOperators(); });
    m_host.SetOfferHandler(
        [this] { m_owner.Offer(m_settings.m_ownership.m_strength); });
    m_host.Start();
  });
  return Ok();
}

void NodeProcess::LeaveAndStop() {
  const TimePoint begun = Clock::now();
  Log(kLogPart)->info("leaving");
  m_leaving.store(true);
  std::promise<void> released;
  m_loop.Post([this, &released] {
    m_host.Release([&released] { released.set_value(); });
  });
  released.get_future().wait();
  std::this_thread::sleep_until(begun + kLeaveNotice);
  m_front_server.StopAccepting();
  const TimePoint last = begun + m_settings.m_grace - kExitMargin;
  while (m_front_server.InFlight() > 0 && Clock::now() < last) {
    std::this_thread::sleep_for(kDrainPause);
  }
  Log(kLogPart)->info("stopped in_flight={}", m_front_server.InFlight());
  m_front_server.Stop();
  m_ready_server.Stop();
  m_internal_server.Stop();
  m_platform->Stop();
  m_owner.Stop();
  m_peers.Stop();
  m_loop.Stop();
}

void NodeProcess::OnPeer(const HttpRequest& request, const HttpReply& reply) {
  if (request.m_target != kRecordsPath) {
    reply(m_owner.AnswerPeer(request));
    return;
  }
  const Result<std::vector<KeyedRecord>> records =
      DecodeRecords(request.m_body);
  if (!records) {
    reply(ErrorResponse(400, "malformed", records.error().m_detail));
    return;
  }
  m_appender.StoreForPeer(records.value(), [reply](const Result<Offset>& end) {
    if (end) {
      reply(JsonResponse(200, "{}"));
      return;
    }
    const ErrorCode code = end.error().m_code;
    const bool nothing_done =
        code == ErrorCode::kNotSent || code == ErrorCode::kUnavailable;
    reply(ErrorResponse(nothing_done ? 503 : 504, std::string(ToString(code)),
                        end.error().m_detail));
  });
}

std::string NodeProcess::OwnerAddress() const {
  const jobs::OwnerView& owner = m_host.Owner();
  const bool other = owner.m_record && !owner.m_record->m_released &&
                     owner.m_record->m_node != m_settings.m_name;
  return other ? owner.m_record->m_address : "";
}

HttpReply NodeProcess::Counted(const std::string& method,
                               const HttpReply& reply) {
  return [this, method, reply, begun = Clock::now()](HttpResponse response) {
    const std::string labels =
        Label("method", method) + "," +
        Label("status", std::to_string(response.m_status));
    m_metrics.Histogram("hyssopspar_request_seconds", labels)
        .Add(Clock::now() - begun);
    reply(std::move(response));
  };
}

bool NodeProcess::IsReady() const {
  return !m_leaving.load() && m_operators.HasConfig() &&
         Clock::now() - m_operators.Verified() < kContactLimit;
}

void NodeProcess::OnFront(HttpRequest request, HttpReply reply) {
  const HttpReply refuse = reply;
  const bool queued = m_loop.TryPost(
      [this, request = std::move(request), reply = std::move(reply)] {
        m_front.Handle(request, Counted(request.m_method, reply));
      });
  if (!queued) {
    refuse(ErrorResponse(503, "not-run", "too many requests waiting"));
  }
}

void NodeProcess::OnReady(const HttpRequest& /*request*/,
                          const HttpReply& reply) {
  m_loop.Post([this, reply] {
    reply(IsReady() ? JsonResponse(200, "{}")
                    : ErrorResponse(503, "unavailable", "not ready"));
  });
}

void NodeProcess::OnInternal(HttpRequest request, HttpReply reply) {
  const std::optional<HttpResponse> health =
      AnswerHealth(request, m_metrics, !m_leaving.load());
  if (health) {
    reply(*health);
    return;
  }
  m_loop.Post([this, request = std::move(request), reply = std::move(reply)] {
    OnPeer(request, reply);
  });
}

}  // namespace hyssopspar::node
