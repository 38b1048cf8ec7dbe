/// \file
/// Which tasks of a crashed worker are blamed for the crash.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "hyssopspar/jobs/worker.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// A run younger than this is unproven: it may still be about to crash its
/// worker by its start.
inline constexpr milliseconds kUnprovenRunAge{1000};

/// True while a run of the task is placed that has not shown yet that its
/// worker survives its start.
bool IsUnproven(const Task& task, TimePoint now);

/// True if a task placed on the worker is unproven.
bool HasUnprovenTask(const Worker& worker, TimePoint now);

/// Crashes of the cell's workers in the recent past.
struct RecentCrashes {
  std::deque<TimePoint> m_times;
};

/// Adds a crash of one of the cell's \p workers. Returns true when so many have
/// crashed at once that something other than a task is the likely cause.
bool AddCrash(RecentCrashes* crashes, std::size_t workers, TimePoint now);

/// Counts the crash of \p worker against the tasks \p tasks, which were placed
/// on it, and sets which of them are suspects. Runs that have lasted for long
/// are acquitted, also of earlier crashes.
/// The worker was last known to be alive at \p alive_at.
/// \p many_crashed tells that AddCrash() returned true.
/// \returns the tasks to be given up. A task has likely caused a crash under
/// its confirmed run if that was unproven, or if no task of the worker was; it
/// may have caused the others. It is given up after two likely caused crashes
/// if it was the only unproven task in the second, after three in any case, and
/// after four crashes of both kinds.
std::vector<TaskRef> BlameForCrash(const Worker& worker,
                                   const std::vector<TaskRef>& tasks,
                                   TimePoint alive_at,
                                   bool many_crashed);

}  // namespace hyssopspar::jobs
