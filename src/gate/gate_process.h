/// \file
/// Threads of `hyssopspar-gate`, and the rings between them.

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

/// One routing thread owns the GateCore; every other thread carries bytes.
class GateProcess {
 public:
  explicit GateProcess(const GateConfig& config);
  ~GateProcess();

  Result<void> Start();
  std::uint16_t Port() const { return m_server.Port(); }

  /// Becomes not ready, waits the balancer's notice time, stops accepting,
  /// finishes what is under way, then stops the threads.
  void DrainAndStop();

 private:
  /// A request whose caller waits.
  struct Pending {
    GateRequest m_request;
    HttpRequest m_http;
    HttpReply m_reply;
    TimePoint m_arrived;
    std::unique_ptr<HttpResponse> m_answer;  ///< The endpoint's.
  };

  void OnHttp(HttpRequest request, HttpReply reply);
  void RoutingLoop();
  void WakeLoop();
  void ReportLoop();
  void Handle(const WakeEvent& event, TimePoint now);
  void Handle(RequestEvent event, TimePoint now);
  void Handle(ExchangeEvent event, TimePoint now);
  void Handle(const ClaimAppendEvent& event, TimePoint now);
  void Handle(const PeerEvent& event, TimePoint now);
  void Handle(const VmsEvent& event, TimePoint now);
  void Handle(const StreamRead& event, TimePoint now);
  void CarryOut(const GateOutput& output, TimePoint now);
  void Send(const DispatchAction& action);
  void Answer(const ReplyAction& action, TimePoint now);
  void SubmitClaim(const ClaimAction& action);
  void FollowStreams();
  void Report(TimePoint now);

  GateConfig m_config;
  GateCore m_core;
  ConfigReplay m_replay;
  Revision m_revision = 0;
  Metrics m_metrics;
  BoundedRing<GateEvent> m_events;
  std::map<RequestId, Pending> m_pending;
  RequestId m_next_id;
  std::map<std::string, std::unique_ptr<StreamReader>> m_readers;
  std::vector<std::unique_ptr<HttpLogStore>> m_logs;  ///< One a thread.
  TaskPool m_append_pool;
  UpstreamPool m_upstream;
  PeerLink m_peers;
  TimePoint m_next_report;
  StopFlag m_stop;
  std::atomic<bool> m_ready{false};
  std::atomic<bool> m_leaving{false};
  std::thread m_routing_thread;
  std::thread m_wake_thread;
  std::unique_ptr<VmPoller> m_vm_poller;
  HttpServer m_server;
};

}  // namespace hyssopspar::gate
