#include "standin/endpoint_server.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace hyssopspar::standin {

namespace {

HttpServerLimits MakeServerLimits(const StandinSettings& settings) {
  HttpServerLimits limits;
  limits.m_max_connections =
      static_cast<std::size_t>(settings.m_max_connections);
  return limits;
}

}  // namespace

EndpointServer::EndpointServer(const StandinSettings& settings,
                               std::string name,
                               std::string failure_domain,
                               std::uint64_t seed,
                               DelayQueue* delay_queue)
    : m_settings(settings),
      m_name(std::move(name)),
      m_delay_queue(delay_queue),
      m_server(
          [this](HttpRequest request, const HttpReply& reply) {
            Handle(std::move(request), reply);
          },
          MakeServerLimits(settings),
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
  StartQueuedRequests();
}

EndpointModel EndpointServer::CopyModel() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_model;
}

Duration EndpointServer::MeanServiceTime(
    const std::string& request_class) const {
  for (const ClassSettings& class_settings : m_settings.m_class_settings) {
    if (class_settings.m_name == request_class) {
      return class_settings.m_service_time;
    }
  }
  return ClassSettings().m_service_time;
}

void EndpointServer::Handle(HttpRequest request, const HttpReply& reply) {
  std::shared_ptr<PendingRequest> pending = std::make_shared<PendingRequest>();
  const std::string path = PathOf(request.m_target);
  pending->m_record.m_class = path.substr(path.rfind('/') + 1);
  pending->m_record.m_request =
      HeaderOr(request.m_headers, "hyssopspar-request-id");
  pending->m_record.m_key = HeaderOr(request.m_headers, "idempotency-key");
  pending->m_mean_service_time = MeanServiceTime(pending->m_record.m_class);
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
  StartQueuedRequests();
}

void EndpointServer::StartQueuedRequests() {
  std::lock_guard<std::mutex> lock(m_mutex);
  while (!m_queue.empty() && m_model.m_busy_slots < m_model.m_slots &&
         !m_model.m_frozen) {
    std::shared_ptr<PendingRequest> pending = std::move(m_queue.front());
    m_queue.pop_front();
    ++m_model.m_busy_slots;
    pending->m_record.m_start = Clock::now();
    pending->m_record.m_end = TimePoint::max();
    m_model.m_service_records.push_back(pending->m_record);
    const std::size_t index = m_model.m_service_records.size() - 1;
    const Duration time =
        SampleServiceTime(&m_model, pending->m_mean_service_time);
    m_delay_queue->RunAt(
        pending->m_record.m_start + time,
        [this, index, pending] { CompleteRequest(index, pending); });
  }
}

void EndpointServer::CompleteRequest(
    std::size_t index,
    const std::shared_ptr<PendingRequest>& pending) {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_model.m_service_records[index].m_end = Clock::now();
    --m_model.m_busy_slots;
  }
  const nlohmann::json body{{"endpoint", m_name},
                            {"request", pending->m_record.m_request},
                            {"echo", pending->m_body}};
  pending->m_reply(JsonResponse(
      200,
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)));
  StartQueuedRequests();
}

}  // namespace hyssopspar::standin
