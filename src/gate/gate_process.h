/// \file
/// Process of `hyssopspar-gate`: its threads and the event queue between them.

#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "gate/gate_config.h"
#include "gate/gate_event.h"
#include "hyssopspar/bounded_ring.h"
#include "hyssopspar/config_replay.h"
#include "hyssopspar/http_platform.h"
#include "hyssopspar/http_server.h"
#include "hyssopspar/metrics.h"
#include "hyssopspar/peer_link.h"
#include "hyssopspar/stop_flag.h"
#include "hyssopspar/stream_reader.h"
#include "hyssopspar/task_pool.h"
#include "hyssopspar/upstream_pool.h"
#include "hyssopspar/vm_poller.h"

namespace hyssopspar::gate {

/// The routing thread alone uses the GateCore. The other threads do input and
/// output and pass events to the routing thread.
class GateProcess {
 public:
  explicit GateProcess(const GateConfig& config);
  ~GateProcess();

  /// Starts listening and all threads. Fails if an address can't be listened
  /// on.
  Result<void> Start();
  std::uint16_t Port() const { return m_server.Port(); }

  /// Graceful shutdown: reports not ready, waits for the notice time of the
  /// load balancer, stops accepting, finishes the requests in flight up to a
  /// limit, then stops the threads.
  void DrainAndStop();

 private:
  /// A request that is not yet answered.
  struct PendingRequest {
    GateRequest m_request;
    HttpRequest m_http;
    HttpReply m_reply;
    TimePoint m_arrival_time;
    std::unique_ptr<HttpResponse> m_answer;  ///< From the endpoint.
  };

  /// Answers health and metrics requests, and queues all others.
  void OnHttp(HttpRequest request, HttpReply reply);
  /// Handles events one by one and executes the actions of the GateCore.
  void RoutingLoop();

  /// Queues a WakeEvent periodically.
  void WakeLoop();
  void ReportLoop();
  void Handle(const WakeEvent& event, TimePoint now);
  void Handle(RequestEvent event, TimePoint now);
  void Handle(ExchangeEvent event, TimePoint now);
  void Handle(const ClaimAppendEvent& event, TimePoint now);
  void Handle(const PeerEvent& event, TimePoint now);
  void Handle(const VmsEvent& event, TimePoint now);
  void Handle(const StreamRead& event, TimePoint now);
  void Execute(const GateOutput& output, TimePoint now);
  void Send(const DispatchAction& action);
  void SendReply(const ReplyAction& action, TimePoint now);
  /// Appends a claim record to the log on a thread of the append pool.
  void SubmitClaimAppend(const ClaimAppendAction& action);
  /// Starts reading the configuration stream and all claim streams.
  void FollowStreams();

  /// Connects to the peers and sends them a report, once per report period.
  void SendPeerReport(TimePoint now);

  GateConfig m_config;
  GateCore m_core;
  ConfigReplay m_config_replay;
  Revision m_revision = 0;  ///< Of the configuration in m_core.
  Metrics m_metrics;
  BoundedRing<GateEvent> m_events;
  std::map<RequestId, PendingRequest> m_pending_requests;
  RequestId m_next_request_id;
  std::map<std::string, std::unique_ptr<StreamReader>> m_readers;
  /// One per append thread.
  std::vector<std::unique_ptr<HttpLogStore>> m_log_stores;
  TaskPool m_append_pool;
  UpstreamPool m_upstream;
  PeerLink m_peer_link;
  TimePoint m_next_report_time;
  StopFlag m_stop;
  std::atomic<bool> m_ready{false};
  std::atomic<bool> m_leaving{false};  ///< Graceful shutdown started.
  std::thread m_routing_thread;
  std::thread m_wake_thread;
  std::unique_ptr<VmPoller> m_vm_poller;
  HttpServer m_server;
};

}  // namespace hyssopspar::gate
