/// \file
/// Tickets and denials that an external adviser issued for the tasks of a step.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Permits tasks of one step to start on one incarnation of a worker.
struct Ticket {
  std::string m_token;  ///< Opaque; sent with each start.
  /// Start of the worker's incarnation.
  std::int64_t m_incarnation_unix_ms = 0;
  TimePoint m_expires;
};

/// Answers of the adviser for one step of a job. Workers are identified by
/// their index in the cell.
struct StepAdvice {
  std::map<int, Ticket> m_tickets;
  /// Start of the incarnation that may not run the step, by worker.
  std::map<int, std::int64_t> m_denied_incarnations;
  bool m_request_in_flight = false;
  TimePoint m_next_advice_request;  ///< Earliest time of the next request.
};

/// A worker named in a request to the adviser.
struct AdviceCandidate {
  int m_worker = 0;  ///< Index in the cell.
  std::string m_id;
  std::int64_t m_incarnation_unix_ms = 0;
};

/// Tickets by worker id. Workers without an entry may not run the step.
using TicketsByWorker = std::map<std::string, std::string>;

/// Token of the worker's ticket, or nullopt if there is none for this
/// incarnation that is valid at \p now.
std::optional<std::string> TicketFor(const StepAdvice& advice,
                                     int worker_index,
                                     std::int64_t incarnation_unix_ms,
                                     TimePoint now);

/// True if this incarnation of the worker has neither a valid ticket nor a
/// denial, so that the adviser has to be asked.
bool NeedsAdvice(const StepAdvice& advice,
                 int worker_index,
                 std::int64_t incarnation_unix_ms,
                 TimePoint now);

/// Records the answer to a request that named \p candidates. Those missing from
/// \p advised are denied.
void ApplyAdvice(const std::vector<AdviceCandidate>& candidates,
                 const TicketsByWorker& advised,
                 TimePoint expires,
                 StepAdvice* advice);

}  // namespace hyssopspar::jobs
