/// \file
/// Queries about jobs to the node that owns their cell.

#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/error.h"
#include "hyssopspar/http_message.h"
#include "hyssopspar/http_server.h"
#include "hyssopspar/jobs/job_progress.h"
#include "hyssopspar/jobs/tenants/job_access.h"
#include "hyssopspar/upstream_pool.h"
#include "node/cell_host.h"

namespace hyssopspar::node {

/// Path of the internal interface for questions whether a job may be refused.
inline constexpr const char* kAdmissionPath = "/v1/admission/";

/// Answers queries from this node's jobs::Cell when this node owns the cell,
/// else forwards them to the owner's internal interface. Also answers the
/// queries that other nodes forward to this one. All calls and callbacks on the
/// loop's thread.
class OwnerClient {
 public:
  OwnerClient(CellHost* host, DecisionLoop* loop);

  /// Yields a job's state. Fails with kNotFound when no such job exists; with
  /// kUnavailable when the cell has no owner, or when the owner lacks the job
  /// but its view of the job stream is too old to rule it out; and with the
  /// errors of UpstreamPool::Send.
  /// A job that \p caller has no access to does not exist for it.
  void GetState(const std::string& job_id,
                const jobs::CallerIdentity& caller,
                TimePoint deadline,
                std::function<void(Result<jobs::JobState>)> done);
  /// Yields false if the owner knows that the job is another tenant's, and true
  /// if the job is open to \p caller or unknown to the owner. Fails like
  /// GetState() when the owner can't be asked.
  void CheckAccess(const std::string& job_id,
                   const jobs::CallerIdentity& caller,
                   TimePoint deadline,
                   std::function<void(Result<bool>)> done);
  /// Yields the number of jobs in a queue of which no task has been started.
  void GetPending(const std::string& queue,
                  const jobs::CallerIdentity& caller,
                  TimePoint deadline,
                  std::function<void(Result<std::size_t>)> done);

  /// Yields whether a job may be refused, and when its caller may return.
  void GetAdmission(const jobs::AdmissionQuery& query,
                    TimePoint deadline,
                    std::function<void(Result<jobs::AdmissionAnswer>)> done);
  /// Answers such a question of another node.
  void HandleAdmissionQuery(const HttpRequest& request, const HttpReply& reply);

  /// Sends the owner this node's offer to take the cell over. \p cpu_capacity
  /// is the CPU capacity of this node, in processors. A failure is logged.
  void OfferTakeover(double cpu_capacity);

  /// Answers another node's query or takeover offer. Only the owner of the cell
  /// can answer.
  HttpResponse HandleOwnerQuery(const HttpRequest& request) const;

  void Stop();

 private:
  /// State of a job of the cell, which this node must own.
  Result<jobs::JobState> LocalState(const std::string& job_id,
                                    const jobs::CallerIdentity& caller) const;
  bool MayAccessLocally(const std::string& job_id,
                        const jobs::CallerIdentity& caller) const;
  /// Number of pending jobs of a queue of the cell, which this node must own.
  /// Fails with kUnavailable while the view of the job stream is too old to
  /// count jobs that were just accepted.
  Result<std::size_t> LocalPending(const std::string& queue) const;
  /// Sends a GET request for \p target on behalf of \p caller to the owner and
  /// yields the body of its answer. An owner that refuses the connection is
  /// marked unreachable.
  void QueryOwner(const std::string& target,
                  const jobs::CallerIdentity& caller,
                  TimePoint deadline,
                  std::function<void(Result<std::string>)> done);

  CellHost* m_cell_host;
  DecisionLoop* m_loop;
  UpstreamPool m_pool;
};

}  // namespace hyssopspar::node
