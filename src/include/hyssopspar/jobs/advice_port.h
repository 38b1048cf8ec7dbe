/// \file
/// Interface to the service that knows which workers may run a step.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/jobs/advice.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Names a step of one occurrence of a job.
struct StepName {
  std::string m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
};

/// Most workers that one question may name.
inline constexpr std::size_t kMostAdvised = 100;

class AdvicePort {
 public:
  virtual ~AdvicePort() = default;

  /// Asks which of \p workers may run the step. The callback runs once, by
  /// \p deadline. kUnavailable: there is no such service, or it is busy.
  virtual void Ask(const StepName& step,
                   const std::vector<std::string>& workers,
                   TimePoint deadline,
                   std::function<void(Result<AdvisedWorkers>)> done) = 0;
};

}  // namespace hyssopspar::jobs
