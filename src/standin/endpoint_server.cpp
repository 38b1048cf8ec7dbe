#include "standin/endpoint_server.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace hyssopspar::standin {

namespace {

HttpServerLimits LimitsOf(const StandinSettings& settings) {
  HttpServerLimits limits;
  limits.m_connections = static_cast<std::size_t>(settings.m_connections);
  return limits;
}

}  // namespace

EndpointServer::EndpointServer(const StandinSettings& settings,
                               std::string name,
                               std::string failure_domain,
                               std::uint64_t seed,
                               DelayQueue* delays)
    : m_settings(settings),
      m_name(std::move(name)),
      m_delays(delays),
      m_server(
          [this](HttpRequest request, const HttpReply& reply) {
            Handle(std::move(request), reply);
          },
          LimitsOf(settings),
          1) {
  m_model.m_name = m_name;
  m_model.m_failure_domain = std::move(failure_domain);
  m_model.m_slots = static_cast<std::size_t>(settings.m_slots);
  m_model.m_random.seed(seed);
}

Result<void> EndpointServer::Start() {
  return m_server.Start("127.0.0.1:0");
}

void EndpointServer::SetSlowdown(double slowdown) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_model.m_slowdown = slowdown;
}

void EndpointServer::SetLeaving(bool leaving) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_model.m_leaving = leaving;
}

void EndpointServer::SetFrozen(bool frozen) {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_model.m_frozen = frozen;
  }
  StartNext();
}

EndpointModel EndpointServer::Model() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_model;
}

Duration EndpointServer::MeanOf(const std::string& request_class) const {
  for (const ClassSettings& known : m_settings.m_classes) {
    if (known.m_name == request_class) {
      return known.m_service;
    }
  }
  return ClassSettings().m_service;
}

void EndpointServer::Handle(HttpRequest request, const HttpReply& reply) {
  std::shared_ptr<Pending> pending = std::make_shared<Pending>();
  const std::string path = PathOf(request.m_target);
  pending->m_service.m_class = path.substr(path.rfind('/') + 1);
  pending->m_service.m_request =
      HeaderOr(request.m_headers, "hyssopspar-request-id");
  pending->m_service.m_key = HeaderOr(request.m_headers, "idempotency-key");
  pending->m_mean = MeanOf(pending->m_service.m_class);
  pending->m_body = std::move(request.m_body);
  bool leaving = false;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    leaving = m_model.m_leaving;
    if (!leaving) {
      pending->m_reply = reply;
      m_queue.push_back(pending);
    }
  }
  if (leaving) {
    HttpResponse refusal = ErrorResponse(503, "refused", "endpoint leaving");
    refusal.m_headers["hyssopspar-refused"] = "leaving";
    reply(std::move(refusal));
    return;
  }
  StartNext();
}

void EndpointServer::StartNext() {
  std::lock_guard<std::mutex> lock(m_mutex);
  while (!m_queue.empty() && m_model.m_busy < m_model.m_slots &&
         !m_model.m_frozen) {
    std::shared_ptr<Pending> pending = std::move(m_queue.front());
    m_queue.pop_front();
    ++m_model.m_busy;
    pending->m_service.m_start = Clock::now();
    pending->m_service.m_end = TimePoint::max();
    m_model.m_services.push_back(pending->m_service);
    const std::size_t index = m_model.m_services.size() - 1;
    const Duration time = DrawServiceTime(&m_model, pending->m_mean);
    m_delays->At(pending->m_service.m_start + time,
                 [this, index, pending] { Finish(index, pending); });
  }
}

void EndpointServer::Finish(std::size_t index,
                            const std::shared_ptr<Pending>& pending) {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_model.m_services[index].m_end = Clock::now();
    --m_model.m_busy;
  }
  const nlohmann::json body{{"endpoint", m_name},
                            {"request", pending->m_service.m_request},
                            {"echo", pending->m_body}};
  pending->m_reply(JsonResponse(
      200,
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)));
  StartNext();
}

}  // namespace hyssopspar::standin
