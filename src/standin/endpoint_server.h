/// \file
/// HTTP form of one endpoint.

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

/// Runs up to its slots of requests at a time, the others wait their turn.
class EndpointServer {
 public:
  EndpointServer(const StandinSettings& settings,
                 std::string name,
                 std::string failure_domain,
                 std::uint64_t seed,
                 DelayQueue* delays);

  Result<void> Start();
  std::uint16_t Port() const { return m_server.Port(); }
  const std::string& Name() const { return m_name; }

  void SetSlowdown(double slowdown);
  void SetLeaving(bool leaving);

  /// A frozen endpoint takes requests and answers none until thawed.
  void SetFrozen(bool frozen);

  /// A copy of the model for checks.
  EndpointModel Model() const;

  void Stop() { m_server.Stop(); }

 private:
  struct Pending {
    Service m_service;
    Duration m_mean;
    std::string m_body;
    HttpReply m_reply;
  };

  void Handle(HttpRequest request, const HttpReply& reply);
  void StartNext();
  void Finish(std::size_t index, const std::shared_ptr<Pending>& pending);
  Duration MeanOf(const std::string& request_class) const;

  StandinSettings m_settings;
  std::string m_name;
  mutable std::mutex m_mutex;
  EndpointModel m_model;
  std::deque<std::shared_ptr<Pending>> m_queue;
  DelayQueue* m_delays;
  HttpServer m_server;
};

}  // namespace hyssopspar::standin
