/// \file
/// Which tasks of a crashed worker are blamed for the crash.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "hyssopspar/jobs/worker.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// A run younger than this is unproven: it may still be about to crash its
/// worker by its start.
inline constexpr milliseconds kUnprovenRunAge{1000};
/// Age from which a run shows that its task doesn't crash workers.
inline constexpr milliseconds kAcquittedRunAge{3000};
/// Time after a crash for which its suspects are kept apart from other unproven
/// tasks. Afterwards they are placed like other tasks.
inline constexpr milliseconds kSuspectIsolationLimit{2000};

/// From this number of crashes on, runs of a task are trials: they wait until
/// no workers are lost for other reasons, at most for kMaxTrialDelay.
inline constexpr std::uint32_t kCrashesBeforeTrial = 3;
inline constexpr milliseconds kMaxTrialDelay{15000};

/// Least age of a run of an earlier owner when this owner first hears of it.
/// Its first report counts in full: without its tail latencies, the throttles
/// beside it would be relaxed at each takeover.
inline constexpr milliseconds kMinInheritedRunAge{1500};

/// Start of the current run of a placed task.
RunStart StartOf(const Task& task);

/// True while a run of the task is placed that has not shown yet that its
/// worker survives its start.
bool IsUnproven(const Task& task, TimePoint now);

/// True if a task placed on the worker is unproven.
bool HasUnprovenTask(const Worker& worker, TimePoint now);

/// True for a task under which workers have crashed repeatedly since a run of
/// it last survived.
bool IsRepeatedSuspect(const Task& task);

/// True if such a task is placed on the worker and unproven.
bool HasUnprovenRepeatedSuspect(const Worker& worker, TimePoint now);

/// Crashes of the cell's workers in the recent past for which no task is known
/// to be the cause.
struct UnexplainedCrashes {
  std::deque<TimePoint> m_times;
};

/// A run that was on the worker when it crashed.
struct CrashedRun {
  TaskRef m_task;
  std::uint32_t m_run = 0;
  RunStart m_start;
};

/// A crash of a worker, between two times at which it was asked for a report.
struct WorkerCrash {
  std::string m_worker;
  TimePoint m_alive_at;  ///< The worker last answered.
  TimePoint m_lost_at;   ///< It no longer answered.
  /// False for a worker that was cut off, or fell silent, before it restarted.
  bool m_is_witnessed = true;
  TimePoint m_ended_by;       ///< It had crashed by then.
  std::size_t m_workers = 1;  ///< Of the cell.
  /// Workers that were lost at about the same time: this one, and those on
  /// which no suspect had just been started.
  std::size_t m_simultaneous_losses = 1;
  /// Those of them on which no run had just been started.
  std::size_t m_unprovoked_losses = 0;
};

/// Counts the crash against the tasks that may have caused it, and sets which
/// of them are suspects. Tasks of which a run has lasted are acquitted, also of
/// earlier and later crashes.
///
/// The evidence against a task is a number of decades: how unlikely it would be
/// for an innocent task that its workers crashed as they did since a run of it
/// last survived. A crash adds little if other tasks on the worker had just
/// been started as well, if the run was not just started, if workers have
/// crashed often lately, or if many were lost at the same time.
/// \returns the tasks to be given up, against which the evidence suffices.
std::vector<TaskRef> BlameForCrash(const WorkerCrash& crash,
                                   const std::vector<CrashedRun>& runs,
                                   UnexplainedCrashes* unexplained,
                                   TimePoint now);

/// Notes that the run's worker, which is silent and no longer listed, may have
/// crashed. This is no evidence and makes no suspect, but fewer further crashes
/// are awaited before the evidence has to suffice.
void CountPossibleCrash(const CrashedRun& run, const WorkerLoss& loss);

/// Keeps the next run of the task apart from other unproven ones.
void IsolateSuspect(Task* task, TimePoint now);

/// Evidence against the task, in decades.
double DecadesOfEvidence(const Task& task);

/// Drops the evidence against a task of which a run has survived, for good.
void Acquit(Task* task);

}  // namespace hyssopspar::jobs
