/// \file
/// Callers' requests: submit, ask, cancel, count.

#pragma once

#include <string>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/http_server.h"
#include "hyssopspar/jobs/platform_adapter.h"
#include "hyssopspar/jobs/site_config.h"
#include "node/operator_view.h"
#include "node/owner_client.h"

namespace hyssopspar::node {

/// All calls on the loop's thread.
class Front {
 public:
  Front(jobs::PlatformAdapter* platform,
        DecisionLoop* loop,
        const OperatorView* operators,
        OwnerClient* owner);

  void Handle(const HttpRequest& request, const HttpReply& reply);

 private:
  void Submit(const jobs::QueueRoute& queue,
              const std::string& job_id,
              const HttpRequest& request,
              const HttpReply& reply);
  void Cancel(const std::string& job_id,
              const HttpRequest& request,
              const HttpReply& reply);
  void AnswerState(const std::string& job_id,
                   const HttpRequest& request,
                   const HttpReply& reply);
  void AnswerPending(const std::string& queue,
                     const HttpRequest& request,
                     const HttpReply& reply);
  /// Appends to the job stream, again while it may help: repeats are one job.
  void Store(const KeyedRecord& record,
             int tries_left,
             bool maybe_stored,
             TimePoint deadline,
             const std::string& what,
             const HttpReply& reply);

  jobs::PlatformAdapter* m_platform;
  DecisionLoop* m_loop;
  const OperatorView* m_operators;
  OwnerClient* m_owner;
};

}  // namespace hyssopspar::node
