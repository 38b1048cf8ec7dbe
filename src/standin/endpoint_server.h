/// \file
/// HTTP server that simulates one endpoint.

#pragma once

#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "hyssopspar/http_server.h"
#include "standin/delay_queue.h"
#include "standin/endpoint_model.h"
#include "standin/standin_settings.h"

namespace hyssopspar::standin {

/// Serves as many requests at a time as it has slots; further requests wait in
/// a first-in, first-out queue.
class EndpointServer {
 public:
  EndpointServer(const StandinSettings& settings,
                 std::string name,
                 std::string failure_domain,
                 std::uint64_t seed,
                 DelayQueue* delay_queue);

  /// Listens on a free loopback port.
  Result<void> Start();
  std::uint16_t Port() const { return m_server.Port(); }
  const std::string& Name() const { return m_name; }

  /// Multiplies the service times of requests started from now on.
  void SetSlowdown(double slowdown);

  /// A leaving endpoint refuses new requests with status 503.
  void SetLeaving(bool leaving);

  /// A frozen endpoint queues new requests and starts none until it is
  /// unfrozen; requests already in service complete.
  void SetFrozen(bool frozen);

  /// A consistent copy of the model, for checks.
  EndpointModel CopyModel() const;

  void Stop() { m_server.Stop(); }

 private:
  struct PendingRequest {
    ServiceRecord m_record;
    Duration m_mean_service_time;
    std::string m_body;
    HttpReply m_reply;
  };

  void Handle(HttpRequest request, const HttpReply& reply);
  /// Starts queued requests while slots are free.
  void StartQueuedRequests();
  /// Ends the service record at \p index and sends the response.
  void CompleteRequest(std::size_t index,
                       const std::shared_ptr<PendingRequest>& pending);
  /// Configured mean of the class, or the default for an unknown class.
  Duration MeanServiceTime(const std::string& request_class) const;

  StandinSettings m_settings;
  std::string m_name;
  mutable std::mutex m_mutex;
  EndpointModel m_model;
  std::deque<std::shared_ptr<PendingRequest>> m_queue;
  DelayQueue* m_delay_queue;
  HttpServer m_server;
};

}  // namespace hyssopspar::standin
