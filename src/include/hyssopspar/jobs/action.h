/// \file
/// What a cell's owner wants done. Answers come back to the Cell.

#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "hyssopspar/jobs/advice_port.h"
#include "hyssopspar/jobs/worker.h"
#include "hyssopspar/jobs/worker_port.h"
#include "hyssopspar/store/keyed_log.h"

namespace hyssopspar::jobs {

struct StartAction {
  int m_worker = 0;
  TaskRef m_task;
  WorkerTarget m_target;
  StartOrder m_order;
  std::uint32_t m_resends =
      0;  ///< Earlier orders of this run that didn't leave.
};

struct StopAction {
  int m_worker = 0;
  TaskRef m_task;
  WorkerTarget m_target;
  StopOrder m_order;
};

struct PaceAction {
  WorkerTarget m_target;
  PaceOrder m_order;
};

struct HoldAction {
  int m_worker = 0;
  TimePoint m_sent;
  WorkerTarget m_target;
  HoldOrder m_order;
};

/// Question to the adviser.
struct AdviseAction {
  StepName m_step;
  std::vector<AdviceCandidate> m_candidates;
  TimePoint m_sent;
};

/// Append to the progress stream; batches are numbered without gaps.
struct StoreAction {
  std::uint64_t m_batch = 0;
  std::vector<KeyedRecord> m_records;
};

/// Jobs that have ended and of which only the state is still of interest; the
/// store may replace their records in the job stream by a marker.
struct RetireAction {
  std::vector<std::string> m_jobs;
};

/// Jobs whose records the store may drop.
struct ForgetAction {
  std::vector<std::string> m_jobs;
};

using Action = std::variant<StartAction,
                            StopAction,
                            PaceAction,
                            HoldAction,
                            AdviseAction,
                            StoreAction,
                            RetireAction,
                            ForgetAction>;

}  // namespace hyssopspar::jobs
