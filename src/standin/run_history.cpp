#include "standin/run_history.h"

#include <algorithm>
#include <map>

namespace hyssopspar::standin {

namespace {

std::string Describe(const AttemptRun& run) {
  return FormatTaskId(run.m_id.m_task) + " attempt " +
         std::to_string(run.m_id.m_attempt) + " on " + run.m_worker;
}

/// Attempts of each task, ordered by start time.
std::map<TaskId, std::vector<AttemptRun>> GroupByTask(
    const std::vector<AttemptRun>& runs) {
  std::map<TaskId, std::vector<AttemptRun>> by_task;
  for (const AttemptRun& run : runs) {
    by_task[run.m_id.m_task].push_back(run);
  }
  for (std::pair<const TaskId, std::vector<AttemptRun>>& entry : by_task) {
    std::sort(entry.second.begin(), entry.second.end(),
              [](const AttemptRun& a, const AttemptRun& b) {
                return a.m_start < b.m_start;
              });
  }
  return by_task;
}

/// Checks the attempts of one task, which are ordered by start time.
void CheckTaskAttempts(const std::vector<AttemptRun>& runs,
                       std::vector<std::string>* violations) {
  TimePoint busy_until = TimePoint::min();
  const AttemptRun* latest_ending = nullptr;
  for (const AttemptRun& run : runs) {
    if (latest_ending != nullptr && run.m_start < busy_until) {
      violations->push_back("two places at once: " + Describe(*latest_ending) +
                            " and " + Describe(run));
    }
    if (latest_ending == nullptr || run.m_end >= busy_until) {
      busy_until = run.m_end;
      latest_ending = &run;
    }
  }
}

}  // namespace

std::vector<std::string> CheckNoConcurrentAttempts(
    const std::vector<AttemptRun>& runs) {
  std::vector<std::string> violations;
  const std::map<TaskId, std::vector<AttemptRun>> by_task = GroupByTask(runs);
  for (const std::pair<const TaskId, std::vector<AttemptRun>>& entry :
       by_task) {
    CheckTaskAttempts(entry.second, &violations);
  }
  return violations;
}

std::vector<std::string> CheckRunInvariants(
    const std::vector<AttemptRun>& runs) {
  std::vector<std::string> violations = CheckNoConcurrentAttempts(runs);
  std::map<TaskId, int> finishes;
  for (const AttemptRun& run : runs) {
    finishes[run.m_id.m_task] += run.m_finished ? 1 : 0;
  }
  for (const std::pair<const TaskId, int>& entry : finishes) {
    if (entry.second > 1) {
      violations.push_back("finished " + std::to_string(entry.second) +
                           " times: " + FormatTaskId(entry.first));
    }
  }
  return violations;
}

}  // namespace hyssopspar::standin
