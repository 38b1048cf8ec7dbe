#include "fleet/checks.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace fleet {

namespace {

constexpr int kCrashesBeforeLimit = 3;
constexpr int kStartsAfterLimit = 3;
constexpr int kCrashesOfDeadly = 2;
/// Time after its acceptance from which a job is known at each node.
constexpr milliseconds kVisibleTime{3000};

std::string Text(milliseconds time) {
  return std::to_string(time.count()) + " ms";
}

const JobSeen* FindJob(const std::vector<JobSeen>& jobs,
                       const std::string& id) {
  const auto it =
      std::find_if(jobs.begin(), jobs.end(),
                   [&id](const JobSeen& job) { return job.m_plan.m_id == id; });
  return it == jobs.end() ? nullptr : &*it;
}

std::vector<RunSeen> RunsOf(const std::vector<RunSeen>& runs,
                            const std::string& job) {
  std::vector<RunSeen> own;
  std::copy_if(runs.begin(), runs.end(), std::back_inserter(own),
               [&job](const RunSeen& run) { return run.IsOf(job); });
  return own;
}

/// True if the job may be shown as failed.
bool MayFail(const JobSeen& job, const Evidence& evidence) {
  std::map<std::string, int> failures;
  int crashes = 0;
  for (const RunSeen& run : RunsOf(evidence.m_runs, job.m_plan.m_id)) {
    if (run.m_how == "failed" &&
        ++failures[run.m_task] >= evidence.m_least_attempts &&
        !Lasts(job.m_plan.m_kind)) {
      return true;
    }
    crashes += run.m_how == "crashed" ? 1 : 0;
  }
  return IsDeadly(job.m_plan.m_kind) && crashes >= kCrashesOfDeadly;
}

/// LOST: states that a job must not be shown with.
void CheckObjections(const Evidence& evidence, std::vector<std::string>* out) {
  std::set<std::pair<std::string, std::string>> told;
  for (const Objection& objection : evidence.m_objections) {
    const JobSeen* const job = FindJob(evidence.m_jobs, objection.m_job);
    if (job == nullptr || !job->m_is_accepted) {
      continue;
    }
    if (objection.m_state == "unknown") {
      const bool judged =
          objection.m_asked_at > job->m_accepted_at + kVisibleTime &&
          !WasDisrupted(evidence.m_disrupted, objection.m_node,
                        objection.m_asked_at, objection.m_answered_at);
      if (!judged) {
        continue;
      }
    } else if (objection.m_state == "failed" && MayFail(*job, evidence)) {
      continue;
    }
    if (told.insert({objection.m_job, objection.m_state}).second) {
      out->push_back("LOST: job " + objection.m_job + " is shown as " +
                     objection.m_state + " by node " +
                     std::to_string(objection.m_node) + " at " +
                     Text(objection.m_answered_at));
    }
  }
}

/// TWICE: two runs of a task at the same time.
void CheckOverlaps(const std::vector<RunSeen>& runs,
                   std::vector<std::string>* out) {
  std::map<std::string, std::vector<const RunSeen*>> by_task;
  for (const RunSeen& run : runs) {
    by_task[run.m_task].push_back(&run);
  }
  for (const auto& entry : by_task) {
    for (std::size_t i = 1; i < entry.second.size(); ++i) {
      const RunSeen& later = *entry.second[i];
      const auto is_beside = [&later](const RunSeen* earlier) {
        return earlier->IsRunning() || earlier->m_ended > later.m_began;
      };
      const auto it = std::find_if(
          entry.second.begin(),
          entry.second.begin() + static_cast<std::ptrdiff_t>(i), is_beside);
      if (it != entry.second.begin() + static_cast<std::ptrdiff_t>(i)) {
        out->push_back("TWICE: task " + later.m_task + " runs " +
                       std::to_string((*it)->m_run) + " and " +
                       std::to_string(later.m_run) + " at " +
                       Text(later.m_began));
      }
    }
  }
}

bool IsCalm(const Evidence& evidence, milliseconds at) {
  return std::none_of(evidence.m_disrupted.begin(), evidence.m_disrupted.end(),
                      [at](const DisruptedSpan& span) {
                        return span.m_from <= at &&
                               at < span.m_until + kCalmTime;
                      });
}

/// BUDGET: starts of a task under which workers have crashed.
void CheckDeadlyStarts(const Evidence& evidence,
                       std::vector<std::string>* out) {
  std::map<std::string, std::vector<const RunSeen*>> by_task;
  for (const RunSeen& run : evidence.m_runs) {
    by_task[run.m_task].push_back(&run);
  }
  for (const JobSeen& job : evidence.m_jobs) {
    if (!IsDeadly(job.m_plan.m_kind)) {
      continue;
    }
    for (const auto& entry : by_task) {
      if (!entry.second.front()->IsOf(job.m_plan.m_id)) {
        continue;
      }
      int crashes = 0;
      int starts = 0;
      for (const RunSeen* run : entry.second) {
        starts +=
            crashes >= kCrashesBeforeLimit && IsCalm(evidence, run->m_began)
                ? 1
                : 0;
        crashes += run->m_how == "crashed" ? 1 : 0;
      }
      if (starts >= kStartsAfterLimit) {
        out->push_back("BUDGET: task " + entry.first + " was started " +
                       std::to_string(starts) + " times after " +
                       std::to_string(kCrashesBeforeLimit) + " crashes");
      }
    }
  }
}

}  // namespace

bool WasDisrupted(const std::vector<DisruptedSpan>& spans,
                  int node,
                  milliseconds from,
                  milliseconds until) {
  return std::any_of(spans.begin(), spans.end(),
                     [&](const DisruptedSpan& span) {
                       return span.m_node == node && span.m_from <= until &&
                              from < span.m_until + kCalmTime;
                     });
}

std::vector<std::string> FindIncompleteLasting(
    const std::vector<JobSeen>& jobs,
    const std::vector<RunSeen>& runs) {
  std::set<std::string> running;
  for (const RunSeen& run : runs) {
    if (run.IsRunning()) {
      running.insert(run.m_task);
    }
  }
  std::vector<std::string> incomplete;
  for (const JobSeen& job : jobs) {
    const std::string& id = job.m_plan.m_id;
    const auto own = std::count_if(running.begin(), running.end(),
                                   [&id](const std::string& task) {
                                     return task.compare(0, id.size(), id) == 0;
                                   });
    if (job.m_is_accepted && job.m_plan.m_kind == JobKind::kLasting &&
        own < job.m_plan.m_tasks) {
      incomplete.push_back(id);
    }
  }
  return incomplete;
}

std::vector<std::string> FindViolations(const Evidence& evidence) {
  std::vector<std::string> violations;
  CheckObjections(evidence, &violations);
  CheckOverlaps(evidence.m_runs, &violations);
  CheckDeadlyStarts(evidence, &violations);
  return violations;
}

}  // namespace fleet
