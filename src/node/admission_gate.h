/// \file
/// Refuses callers' jobs that the cell can't end in time.

#pragma once

#include <functional>

#include "hyssopspar/http_server.h"
#include "hyssopspar/jobs/admission/admission.h"
#include "hyssopspar/jobs/admission/refusal_book.h"
#include "hyssopspar/metrics.h"
#include "node/cell_host.h"
#include "node/owner_client.h"

namespace hyssopspar::node {

/// Decides by the load that the owner publishes. Before a refusal it asks the
/// owner, which knows the jobs that are stored and those that were refused.
/// Without an answer the job is admitted. All calls on the loop's thread.
class AdmissionGate {
 public:
  AdmissionGate(bool enabled,
                const CellHost* cell_host,
                OwnerClient* owner_client,
                Metrics* metrics);

  /// Runs \p admit, at once or by \p deadline, or answers with 429 through
  /// \p reply.
  void Check(const jobs::Submission& job,
             TimePoint deadline,
             const HttpReply& reply,
             const std::function<void()>& admit);

 private:
  /// Time since the load that was read last was true. Neither the owner's clock
  /// nor a late record makes it too short.
  Duration AgeOfLoad(const jobs::LoadSummary& load) const;
  void Count(const char* reason);
  void LogRefusal(const jobs::Submission& job,
                  const jobs::AdmissionEstimate& estimate,
                  Duration age,
                  std::chrono::seconds retry_after);

  bool m_enabled;
  const CellHost* m_cell_host;
  OwnerClient* m_owner_client;
  Metrics* m_metrics;
  TimePoint m_next_log;
  std::size_t m_unlogged_refusals = 0;  ///< Since the last line.
};

}  // namespace hyssopspar::node
