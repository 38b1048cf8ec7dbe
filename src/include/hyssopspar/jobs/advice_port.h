/// \file
/// Interface to the adviser, an external service that decides which workers may
/// run a step.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/jobs/advice.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Identifies a step of one occurrence of a job.
struct StepName {
  std::string m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
};

/// Upper bound of the number of workers in one request.
inline constexpr std::size_t kMaxWorkersPerAdviceRequest = 100;

class AdvicePort {
 public:
  virtual ~AdvicePort() = default;

  /// Requests tickets for those of \p workers that may run the step. The
  /// callback runs exactly once, by \p deadline. Fails with kUnavailable if no
  /// adviser is configured or if it is busy.
  virtual void Ask(const StepName& step,
                   const std::vector<std::string>& workers,
                   TimePoint deadline,
                   std::function<void(Result<TicketsByWorker>)> done) = 0;
};

}  // namespace hyssopspar::jobs
