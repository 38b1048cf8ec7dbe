/// \file
/// HTTP interface for callers: submit a job, query its state, cancel it, and
/// count the pending jobs of a queue.

#pragma once

#include <optional>
#include <string>

#include "hyssopspar/http_server.h"
#include "hyssopspar/jobs/platform_adapter.h"
#include "hyssopspar/jobs/site_config.h"
#include "hyssopspar/jobs/tenants/caller_auth.h"
#include "hyssopspar/metrics.h"
#include "hyssopspar/store/store_limits.h"
#include "node/admission_gate.h"
#include "node/job_appender.h"
#include "node/operator_view.h"
#include "node/owner_client.h"
#include "node/refusal_log.h"

namespace hyssopspar::node {

/// Handles callers' requests. All calls on the loop's thread.
class Front {
 public:
  Front(jobs::PlatformAdapter* platform,
        const OperatorView* operator_view,
        OwnerClient* owner_client,
        AdmissionGate* admission,
        JobAppender* appender,
        const StoreLimits& limits,
        const jobs::KeyViewSettings& key_view,
        Metrics* metrics);

  /// Answers \p request, which was received at \p received, through \p reply,
  /// at once or later.
  void Handle(const HttpRequest& request,
              TimePoint received,
              const HttpReply& reply);

 private:
  /// Identifies the caller, or answers the call and returns nothing.
  std::optional<jobs::CallerIdentity> Authenticate(
      const jobs::QueueRoute& queue,
      const HttpRequest& request,
      const HttpReply& reply);
  void Submit(const jobs::QueueRoute& queue,
              const jobs::CallerIdentity& caller,
              const std::string& job_id,
              const HttpRequest& request,
              TimePoint deadline,
              const HttpReply& reply);
  void Cancel(const jobs::CallerIdentity& caller,
              const std::string& job_id,
              TimePoint deadline,
              const HttpReply& reply);
  void AnswerState(const jobs::CallerIdentity& caller,
                   const std::string& job_id,
                   TimePoint deadline,
                   const HttpReply& reply);
  void AnswerPending(const jobs::CallerIdentity& caller,
                     const std::string& queue,
                     TimePoint deadline,
                     const HttpReply& reply);
  /// Stores \p record and answers with the outcome.
  void Store(KeyedRecord record, TimePoint deadline, const HttpReply& reply);

  jobs::PlatformAdapter* m_platform;
  const OperatorView* m_operator_view;
  OwnerClient* m_owner_client;
  AdmissionGate* m_admission;
  JobAppender* m_appender;
  StoreLimits m_limits;
  jobs::KeyViewSettings m_key_view;
  Metrics* m_metrics;
  RefusalLog m_refusals;
};

}  // namespace hyssopspar::node
