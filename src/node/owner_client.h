/// \file
/// Questions about jobs to the node that owns their cell.

#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/error.h"
#include "hyssopspar/http_message.h"
#include "hyssopspar/jobs/job_progress.h"
#include "hyssopspar/upstream_pool.h"
#include "node/cell_host.h"

namespace hyssopspar::node {

/// Asks the cell here when this node owns it, else its owner over the internal
/// interface. All calls and callbacks on the loop's thread.
class OwnerClient {
 public:
  OwnerClient(CellHost* host, DecisionLoop* loop);

  /// \returns kNotFound when no such job exists, kUnavailable when there is no
  /// owner that could tell.
  void GetState(const std::string& job_id,
                TimePoint deadline,
                std::function<void(Result<jobs::JobState>)> done);
  void GetPending(const std::string& queue,
                  TimePoint deadline,
                  std::function<void(Result<std::size_t>)> done);

  /// Asks the owner to give the cell to a node of \p strength processors.
  void Offer(double strength);

  /// Answers another node's question from the cell here.
  HttpResponse AnswerPeer(const HttpRequest& request) const;

  void Stop();

 private:
  Result<jobs::JobState> LocalState(const std::string& job_id) const;
  void Ask(const std::string& target,
           TimePoint deadline,
           std::function<void(Result<std::string>)> done);

  CellHost* m_host;
  DecisionLoop* m_loop;
  UpstreamPool m_pool;
};

}  // namespace hyssopspar::node
