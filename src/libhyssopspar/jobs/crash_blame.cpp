#include "hyssopspar/jobs/crash_blame.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <optional>

#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

using Seconds = std::chrono::duration<double>;

/// A number of crashes and the evidence, in decades, that suffices to give a
/// task up after them.
struct GiveUpLimit {
  std::uint32_t m_crashes;
  double m_decades;
};
constexpr std::array<GiveUpLimit, 2> kGiveUpLimits = {{{4, 7}, {5, 4.5}}};
/// Least number of known crashes under a task that is given up.
constexpr std::uint32_t kMinKnownCrashes = 3;
/// Crashes from which a task is kept apart from other such tasks.
constexpr std::uint32_t kRepeatedCrashes = 2;
/// Most evidence of one crash.
constexpr double kMaxDecadesOfCrash = 2.5;
/// Same for a run that an earlier owner started, of which neither the age is
/// known nor whether it had begun.
constexpr double kMaxDecadesOfInheritedRun = 0.8;
/// A crash under a task with this much evidence from earlier ones is explained.
constexpr double kDecadesToExplain = 3;
/// Evidence is stored in this fraction of a decade.
constexpr double kDecadeFractions = 10;
/// Assumed share of tasks that crash their workers.
constexpr double kPriorGuilt = 0.001;
/// Probability that a task that crashes its workers does so only after its run
/// has been proven, and in a run that an earlier owner started.
constexpr double kLateCrashShare = 0.02;
constexpr double kInheritedCrashShare = 0.1;
/// Assumed age of a run that an earlier owner started.
constexpr Seconds kInheritedRunAge{10};
/// Least age of a run at a crash: the error of the observed times.
constexpr Seconds kMinRunAge{0.01};
/// Period of the crashes from which the rate of crashes is estimated.
constexpr std::chrono::seconds kRatePeriod{30};
/// More losses than this, and than one worker in kLossDivisor, have a common
/// cause.
constexpr std::size_t kMaxIndependentLosses = 3;
constexpr std::size_t kLossDivisor = 50;
/// Least number of them on which no run had just been started. Without any,
/// tasks that crash their workers may have been started at the same time.
constexpr std::size_t kMinUnprovokedLosses = 1;

Task& TaskOf(const TaskRef& ref) {
  return ref.m_job->m_tasks[ref.m_index];
}

bool IsConfirmed(const Task& task) {
  return task.m_state == TaskState::kRunning ||
         (task.m_state == TaskState::kStopping && task.m_is_confirmed);
}

/// A run that may have caused the crash.
struct Candidate {
  TaskRef m_task;
  Seconds m_age{0};  ///< At the crash, at most.
  bool m_is_inherited = false;
  /// Probability, before the crash, that the run causes one at this age.
  double m_guilt = 0;
};

/// Probability that the task crashes its workers, by the evidence against it.
double GuiltOf(const Task& task) {
  const double odds =
      kPriorGuilt * std::pow(10.0, task.m_crash_evidence / kDecadeFractions);
  return odds / (1 + odds);
}

/// Share of the crashes of a task that happen as early in its run as this one.
double CrashShareAt(const RunStart& start, const WorkerCrash& crash) {
  if (!start.m_sent_at) {
    return kInheritedCrashShare;
  }
  const bool is_proven =
      start.m_confirmed_at &&
      crash.m_alive_at - *start.m_confirmed_at >= kUnprovenRunAge;
  return is_proven ? kLateCrashShare : 1;
}

/// Age of the run at the crash, at most.
Seconds AgeAtCrash(const CrashedRun& run, const WorkerCrash& crash) {
  if (!run.m_start.m_sent_at) {
    return kInheritedRunAge;
  }
  return std::max<Seconds>(kMinRunAge,
                           crash.m_ended_by - *run.m_start.m_sent_at);
}

bool HasSurvived(const CrashedRun& run, TimePoint alive_at) {
  const std::optional<TimePoint> confirmed_at = run.m_start.m_confirmed_at;
  return confirmed_at && alive_at - *confirmed_at >= kAcquittedRunAge;
}

/// False for a run under which a crash has been counted already, and for one
/// that was ordered from a worker which may have been dead by then.
bool MayHaveCausedCrash(const CrashedRun& run, const WorkerCrash& crash) {
  const bool may_have_started = run.m_start.m_confirmed_at ||
                                !run.m_start.m_sent_at || crash.m_is_witnessed;
  return may_have_started && run.m_run > TaskOf(run.m_task).m_last_crashed_run;
}

std::vector<Candidate> FindCandidates(const WorkerCrash& crash,
                                      const std::vector<CrashedRun>& runs) {
  std::vector<Candidate> candidates;
  for (const CrashedRun& run : runs) {
    Task& task = TaskOf(run.m_task);
    if (HasSurvived(run, crash.m_alive_at)) {
      Acquit(&task);
    } else if (!task.m_has_survived && MayHaveCausedCrash(run, crash)) {
      task.m_last_crashed_run = run.m_run;
      if (run.m_run == task.m_last_possible_run) {
        --task.m_possible_crashes;
        task.m_last_possible_run = 0;
      }
      candidates.push_back({run.m_task, AgeAtCrash(run, crash),
                            !run.m_start.m_sent_at.has_value(),
                            GuiltOf(task) * CrashShareAt(run.m_start, crash)});
    }
  }
  return candidates;
}

bool HasCommonCause(const WorkerCrash& crash) {
  return crash.m_unprovoked_losses >= kMinUnprovokedLosses &&
         crash.m_simultaneous_losses >
             std::max(kMaxIndependentLosses, crash.m_workers / kLossDivisor);
}

/// Crashes of a worker in a second, from the unexplained ones lately.
double CrashRate(const WorkerCrash& crash,
                 UnexplainedCrashes* unexplained,
                 TimePoint now) {
  std::deque<TimePoint>& times = unexplained->m_times;
  while (!times.empty() && now - times.front() > kRatePeriod) {
    times.pop_front();
  }
  return static_cast<double>(times.size() + 1) /
         (static_cast<double>(crash.m_workers) * Seconds(kRatePeriod).count());
}

/// Probability that the worker would have crashed this early in the candidate's
/// run if the candidate did not cause it. \p total_guilt is that of all
/// candidates.
double ProbabilityIfInnocent(const WorkerCrash& crash,
                             const Candidate& candidate,
                             double total_guilt,
                             double rate) {
  const double common_cause =
      HasCommonCause(crash) ? static_cast<double>(crash.m_simultaneous_losses) /
                                  static_cast<double>(crash.m_workers)
                            : 0;
  return std::min(1.0,
                  total_guilt - candidate.m_guilt +
                      std::max(common_cause, rate * candidate.m_age.count()));
}

/// True if the evidence suffices. Possible crashes count in part, so that a
/// task at fault isn't started more often because some of its crashes stay
/// unknown.
bool IsConvicted(const Task& task) {
  return std::any_of(
      kGiveUpLimits.begin(), kGiveUpLimits.end(),
      [&task](const GiveUpLimit& limit) {
        return task.m_crashes >= kMinKnownCrashes &&
               task.m_crashes + task.m_possible_crashes >= limit.m_crashes &&
               task.m_crash_evidence >= limit.m_decades * kDecadeFractions;
      });
}

}  // namespace

RunStart StartOf(const Task& task) {
  RunStart start;
  const bool is_inherited = task.m_start_sent_at == TimePoint();
  if (!is_inherited) {
    start.m_sent_at = task.m_start_sent_at;
  }
  if (task.m_is_confirmed) {
    // An inherited run may be younger than is assumed elsewhere.
    start.m_confirmed_at = task.m_confirmed_at +
                           (is_inherited ? kMinInheritedRunAge : Duration(0));
  }
  return start;
}

bool IsUnproven(const Task& task, TimePoint now) {
  return IsPlaced(task) &&
         (!IsConfirmed(task) || now - task.m_confirmed_at < kUnprovenRunAge);
}

bool HasUnprovenTask(const Worker& worker, TimePoint now) {
  return std::any_of(
      worker.m_tasks.begin(), worker.m_tasks.end(),
      [now](const TaskRef& ref) { return IsUnproven(TaskOf(ref), now); });
}

bool IsRepeatedSuspect(const Task& task) {
  return task.m_crashes >= kRepeatedCrashes;
}

bool HasUnprovenRepeatedSuspect(const Worker& worker, TimePoint now) {
  return std::any_of(
      worker.m_tasks.begin(), worker.m_tasks.end(), [now](const TaskRef& ref) {
        return IsRepeatedSuspect(TaskOf(ref)) && IsUnproven(TaskOf(ref), now);
      });
}

void IsolateSuspect(Task* task, TimePoint now) {
  task->m_isolate_until = now + kSuspectIsolationLimit;
  task->m_trial_by = now + kMaxTrialDelay;
}

double DecadesOfEvidence(const Task& task) {
  return task.m_crash_evidence / kDecadeFractions;
}

void Acquit(Task* task) {
  task->m_crashes = 0;
  task->m_crash_evidence = 0;
  task->m_possible_crashes = 0;
  task->m_has_survived = true;
  task->m_isolate_until = TimePoint();
}

void CountPossibleCrash(const CrashedRun& run, const WorkerLoss& loss) {
  Task& task = TaskOf(run.m_task);
  const bool may_have_started = run.m_start.m_confirmed_at ||
                                !run.m_start.m_sent_at || loss.m_is_witnessed;
  if (may_have_started && run.m_run > task.m_last_possible_run) {
    ++task.m_possible_crashes;
    task.m_last_possible_run = run.m_run;
  }
}

std::vector<TaskRef> BlameForCrash(const WorkerCrash& crash,
                                   const std::vector<CrashedRun>& runs,
                                   UnexplainedCrashes* unexplained,
                                   TimePoint now) {
  const std::vector<Candidate> candidates = FindCandidates(crash, runs);
  const double rate = CrashRate(crash, unexplained, now);
  const double total_guilt = std::accumulate(
      candidates.begin(), candidates.end(), 0.0,
      [](double sum, const Candidate& c) { return sum + c.m_guilt; });
  bool explained = false;
  std::vector<TaskRef> given_up;
  for (const Candidate& candidate : candidates) {
    Task& task = TaskOf(candidate.m_task);
    explained = explained ||
                task.m_crash_evidence >= kDecadesToExplain * kDecadeFractions;
    // A run that may have lasted this long would have shown the opposite.
    const bool is_young =
        candidate.m_is_inherited || candidate.m_age < kAcquittedRunAge;
    const double limit = candidate.m_is_inherited ? kMaxDecadesOfInheritedRun
                                                  : kMaxDecadesOfCrash;
    const double decades =
        is_young ? std::min(limit, -std::log10(ProbabilityIfInnocent(
                                       crash, candidate, total_guilt, rate)))
                 : 0;
    ++task.m_crashes;
    task.m_crash_evidence += static_cast<std::uint32_t>(
        std::lround(kDecadeFractions * std::max(0.0, decades)));
    const bool is_suspect =
        (candidate.m_age <= kUnprovenRunAge || IsRepeatedSuspect(task)) &&
        !HasCommonCause(crash);
    task.m_isolate_until = TimePoint();
    if (is_suspect) {
      IsolateSuspect(&task, now);
    }
    task.m_trial_by = now + kMaxTrialDelay;
    const bool give_up = IsConvicted(task);
    if (give_up) {
      given_up.push_back(candidate.m_task);
    }
    CellLog()->warn(
        "crash-blamed task={}.{} run={} worker={} age_ms={} candidates={} "
        "losses={}/{} witnessed={} crashes={} evidence={:.1f} suspect={} "
        "given_up={}",
        candidate.m_task.m_job->m_submission.m_id, candidate.m_task.m_index,
        task.m_run, crash.m_worker, std::lround(1000 * candidate.m_age.count()),
        candidates.size(), crash.m_unprovoked_losses,
        crash.m_simultaneous_losses, crash.m_is_witnessed, task.m_crashes,
        DecadesOfEvidence(task), is_suspect, give_up);
  }
  if (!explained) {
    unexplained->m_times.push_back(now);
  }
  return given_up;
}

}  // namespace hyssopspar::jobs
