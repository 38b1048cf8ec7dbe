/// \file
/// The parts of a node and its HTTP servers: for callers, for the balancer's
/// readiness checks, and for other nodes and metrics.

#pragma once

#include <atomic>
#include <memory>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/http_server.h"
#include "hyssopspar/jobs/platform_adapter.h"
#include "hyssopspar/metrics.h"
#include "node/admission_gate.h"
#include "node/cell_host.h"
#include "node/front.h"
#include "node/job_appender.h"
#include "node/node_settings.h"
#include "node/operator_view.h"
#include "node/owner_client.h"
#include "node/peer_handover.h"
#include "node/peer_store.h"

namespace hyssopspar::node {

/// Owns the parts of a node and connects them. Start and ShutDown are called
/// once each, from the main thread.
class NodeProcess {
 public:
  NodeProcess(const NodeSettings& settings,
              std::unique_ptr<jobs::PlatformAdapter> platform);
  ~NodeProcess();

  /// Starts the servers, and on the decision loop the following of the
  /// operators' records and of the cell's owner.
  /// \returns kUnavailable when an address can't be bound.
  Result<void> Start();

  /// Shuts down within the grace time: fails readiness checks, releases the
  /// cell, answers the requests in flight and stops all parts. Blocks.
  void ShutDown();

 private:
  void HandleFrontRequest(HttpRequest request, HttpReply reply);
  void HandleReadinessCheck(const HttpRequest& request, const HttpReply& reply);
  void HandleInternalRequest(HttpRequest request, HttpReply reply);
  void HandleHandover(const HttpRequest& request, const HttpReply& reply);
  void HandlePeerRequest(const HttpRequest& request,
                         TimePoint received,
                         const HttpReply& reply);
  /// Closes callers' idle connections, and waits until none is open, until
  /// \p deadline: callers may send on an open one at any time.
  void AwaitConnections(TimePoint deadline);
  /// Waits until no request of a caller or of another node is unanswered, until
  /// \p deadline.
  void AwaitAnswers(TimePoint deadline);
  /// Internal address of the cell's owner if that is another node, else "".
  std::string OwnerAddress() const;
  /// Wraps \p reply so that it adds the request's time to the metrics.
  HttpReply WithRequestMetrics(const std::string& method,
                               const HttpReply& reply);
  bool IsReady() const;

  NodeSettings m_settings;
  std::unique_ptr<jobs::PlatformAdapter> m_platform;
  Metrics m_metrics;
  DecisionLoop m_loop;
  OperatorView m_operator_view;
  PeerHandover m_peer_handover;
  CellHost m_cell_host;
  OwnerClient m_owner_client;
  PeerStore m_peer_store;
  JobAppender m_appender;
  AdmissionGate m_admission;
  Front m_front;
  HttpServer m_front_server;
  HttpServer m_ready_server;
  HttpServer m_internal_server;
  std::atomic<bool> m_shutting_down{false};
};

}  // namespace hyssopspar::node
