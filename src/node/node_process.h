/// \file
/// One node: callers' interface, balancer's check, and the cell it may own.

#pragma once

#include <atomic>
#include <memory>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/http_server.h"
#include "hyssopspar/jobs/platform_adapter.h"
#include "hyssopspar/metrics.h"
#include "node/cell_host.h"
#include "node/front.h"
#include "node/job_appender.h"
#include "node/node_settings.h"
#include "node/operator_view.h"
#include "node/owner_client.h"
#include "node/peer_store.h"

namespace hyssopspar::node {

class NodeProcess {
 public:
  NodeProcess(const NodeSettings& settings,
              std::unique_ptr<jobs::PlatformAdapter> platform);
  ~NodeProcess();

  /// \returns kUnavailable when an address can't be bound.
  Result<void> Start();

  /// Leaves the balancer, gives up the cell, answers what is in hand, ends.
  void LeaveAndStop();

 private:
  void OnFront(HttpRequest request, HttpReply reply);
  void OnReady(const HttpRequest& request, const HttpReply& reply);
  void OnInternal(HttpRequest request, HttpReply reply);
  void OnPeer(const HttpRequest& request, const HttpReply& reply);
  /// Internal address of the owner, if it is another node.
  std::string OwnerAddress() const;
  /// Passes an answer on and counts it.
  HttpReply Counted(const std::string& method, const HttpReply& reply);
  bool IsReady() const;

  NodeSettings m_settings;
  std::unique_ptr<jobs::PlatformAdapter> m_platform;
  Metrics m_metrics;
  DecisionLoop m_loop;
  OperatorView m_operators;
  CellHost m_host;
  OwnerClient m_owner;
  PeerStore m_peers;
  JobAppender m_appender;
  Front m_front;
  HttpServer m_front_server;
  HttpServer m_ready_server;
  HttpServer m_internal_server;
  std::atomic<bool> m_leaving{false};
};

}  // namespace hyssopspar::node
