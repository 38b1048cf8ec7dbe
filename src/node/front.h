/// \file
/// Callers' requests: submit, ask, cancel, count.

#pragma once

#include <string>

#include "hyssopspar/http_server.h"
#include "hyssopspar/jobs/platform_adapter.h"
#include "hyssopspar/jobs/site_config.h"
#include "node/job_appender.h"
#include "node/operator_view.h"
#include "node/owner_client.h"

namespace hyssopspar::node {

/// All calls on the loop's thread.
class Front {
 public:
  Front(jobs::PlatformAdapter* platform,
        const OperatorView* operators,
        OwnerClient* owner,
        JobAppender* appender);

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
  void Store(KeyedRecord record,
             const HttpRequest& request,
             const HttpReply& reply);

  jobs::PlatformAdapter* m_platform;
  const OperatorView* m_operators;
  OwnerClient* m_owner;
  JobAppender* m_appender;
};

}  // namespace hyssopspar::node
