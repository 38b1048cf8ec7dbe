/// \file
/// Which workers a step may run on, where that is for an adviser to say.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Lets a step's tasks start on one life of a worker.
struct Ticket {
  std::string m_text;
  std::int64_t m_born_unix_ms = 0;  ///< Life of the worker.
  TimePoint m_expires;
};

/// What the adviser has said about one step of a job. Workers go by their index
/// in the cell.
struct StepAdvice {
  std::map<int, Ticket> m_tickets;
  std::map<int, std::int64_t> m_denied;  ///< Life that may not run the step.
  bool m_asking = false;
  TimePoint m_ask_after;  ///< Not asked again sooner.
};

/// A worker that the adviser is asked about.
struct AdviceCandidate {
  int m_worker = 0;
  std::string m_id;
  std::int64_t m_born_unix_ms = 0;
};

/// Ticket by worker's name, of those that may run a step.
using AdvisedWorkers = std::map<std::string, std::string>;

/// Ticket for that life of the worker that is still good at \p now, or nothing.
std::optional<std::string> TicketFor(const StepAdvice& advice,
                                     int worker,
                                     std::int64_t born_unix_ms,
                                     TimePoint now);

/// True unless that life of the worker has a good ticket or was denied.
bool IsUnadvised(const StepAdvice& advice,
                 int worker,
                 std::int64_t born_unix_ms,
                 TimePoint now);

/// Enters the answer to a question about \p candidates.
void EnterAdvice(const std::vector<AdviceCandidate>& candidates,
                 const AdvisedWorkers& advised,
                 TimePoint expires,
                 StepAdvice* advice);

}  // namespace hyssopspar::jobs
