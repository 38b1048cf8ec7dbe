/// \file
/// Capacity of workers that is held for large tasks which wait.

#pragma once

#include <cstdint>
#include <map>
#include <tuple>

#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// One step of one occurrence of a job.
struct StepKey {
  std::uint64_t m_job = 0;  ///< Job::m_number.
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;

  friend bool operator<(const StepKey& a, const StepKey& b) {
    return std::tie(a.m_job, a.m_occurrence, a.m_step) <
           std::tie(b.m_job, b.m_occurrence, b.m_step);
  }
  friend bool operator==(const StepKey& a, const StepKey& b) {
    return std::tie(a.m_job, a.m_occurrence, a.m_step) ==
           std::tie(b.m_job, b.m_occurrence, b.m_step);
  }
};

/// Capacity of one worker for tasks of one step.
struct Hold {
  StepKey m_step;
  std::uint32_t m_tasks = 0;
  Resources m_size;  ///< Of m_tasks together.
  /// A reservation: other tasks must not delay the step. Otherwise they only
  /// prefer other workers.
  bool m_is_reservation = false;
  TimePoint m_granted_at;
  TimePoint m_starts_at;   ///< When the capacity is expected to be free.
  TimePoint m_expires_at;  ///< The forecast has not come true by then.
  /// What other tasks may still take that end after m_starts_at.
  Resources m_spare;
  /// Until when the capacity kept idle has been counted.
  TimePoint m_counted_until;
};

/// Holds by worker index; a worker has at most one.
using Holds = std::map<int, Hold>;

/// A task to be placed.
struct PlannedTask {
  StepKey m_step;
  Resources m_size;     ///< What it reserves.
  TimePoint m_ends_at;  ///< Upper quantile; max(): it does not end.
};

enum class HoldVerdict {
  kFree,      ///< The task delays no waiting one.
  kLastGap,   ///< It takes one of the last gaps of a waiting task.
  kReserved,  ///< It would delay the start of a reservation.
};

HoldVerdict JudgePlacement(const Holds& holds,
                           int worker,
                           const PlannedTask& task);

/// Subtracts a placed task from what the hold on its worker leaves to others.
void SubtractPlaced(int worker, const PlannedTask& task, Holds* holds);

}  // namespace hyssopspar::jobs
