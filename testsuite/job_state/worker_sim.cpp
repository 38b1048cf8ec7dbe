#include "job_state/worker_sim.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/jobs/job.h"

namespace hyssopspar::jobs {

namespace {

constexpr milliseconds kLongestLease{10000};
constexpr milliseconds kStopTime{200};

}  // namespace

WorkerSim::WorkerSim(WorkerEntry entry, double clock_rate, TimePoint now)
    : m_entry(std::move(entry)), m_clock_rate(clock_rate), m_birth(now) {}

WorkerTime WorkerSim::ClockAt(TimePoint now) const {
  return WorkerTime(milliseconds(static_cast<std::int64_t>(
      static_cast<double>(ToMillis(now - m_birth)) * m_clock_rate)));
}

void WorkerSim::EndRun(const std::string& name, EndCause cause) {
  const SimRun run = m_runs.at(name);
  m_runs.erase(name);
  m_closed[name] = std::max(m_closed[name], run.m_run);
  m_ended.push_back({++m_ends, run.m_task, run.m_run, cause, ""});
  if (m_on_end) {
    m_on_end(run, cause);
  }
}

void WorkerSim::Advance(TimePoint now) {
  const bool lapsed = ClockAt(now) > m_lease;
  if (lapsed) {
    m_ends_before_lapse = m_ends;
  }
  std::vector<std::string> over;
  for (const auto& entry : m_runs) {
    if (lapsed || entry.second.m_ends <= now) {
      over.push_back(entry.first);
    }
  }
  for (const std::string& name : over) {
    const SimRun& run = m_runs.at(name);
    const EndCause cause = run.m_stopping       ? EndCause::kStopped
                           : run.m_ends > now   ? EndCause::kLapsed
                           : run.m_plan.m_fails ? EndCause::kFailed
                                                : EndCause::kDone;
    EndRun(name, cause);
  }
}

StartAnswer WorkerSim::Start(const StartOrder& order,
                             const RunPlan& plan,
                             TimePoint now) {
  Advance(now);
  if (order.m_epoch < m_fence) {
    return StartAnswer::kFenced;
  }
  m_fence = order.m_epoch;
  const std::string name = ToString(order.m_task);
  const auto running = m_runs.find(name);
  if (running != m_runs.end() && running->second.m_run == order.m_run) {
    return StartAnswer::kStarted;
  }
  if (ClockAt(now) > order.m_not_after) {
    return StartAnswer::kLate;
  }
  m_lease = std::max(m_lease, order.m_not_after);
  if (order.m_run <= m_closed[name] || running != m_runs.end()) {
    return StartAnswer::kOldRun;
  }
  SimRun run{order.m_task, order.m_run, plan,
             plan.m_lasts ? TimePoint::max() : now + plan.m_work, false};
  m_runs.emplace(name, run);
  return StartAnswer::kStarted;
}

Result<void> WorkerSim::Stop(const StopOrder& order, TimePoint now) {
  Advance(now);
  if (order.m_epoch < m_fence) {
    return Fail(ErrorCode::kFenced, "older epoch");
  }
  m_fence = order.m_epoch;
  const std::string name = ToString(order.m_task);
  const auto it = m_runs.find(name);
  if (it == m_runs.end()) {
    m_closed[name] = std::max(m_closed[name], order.m_run);
  } else if (it->second.m_run <= order.m_run && !it->second.m_stopping) {
    it->second.m_stopping = true;
    it->second.m_ends = std::min(it->second.m_ends, now + kStopTime);
  }
  return Ok();
}

Result<HoldReport> WorkerSim::Hold(const HoldOrder& order, TimePoint now) {
  Advance(now);
  if (order.m_epoch < m_fence) {
    return Fail(ErrorCode::kFenced, "older epoch");
  }
  m_fence = order.m_epoch;
  if (order.m_extend) {
    m_lease = std::max(
        m_lease, std::min(order.m_lease_until, ClockAt(now) + kLongestLease));
  }
  while (!m_ended.empty() && m_ended.front().m_number <= order.m_acked) {
    if (m_on_acked && m_ended.front().m_number > m_ends_before_lapse) {
      m_on_acked(m_ended.front());
    }
    m_ended.erase(m_ended.begin());
  }
  HoldReport report;
  report.m_now = ClockAt(now);
  report.m_born_unix_ms = m_entry.m_born_unix_ms;
  for (const auto& entry : m_runs) {
    RunningRow row;
    row.m_task = entry.second.m_task;
    row.m_run = entry.second.m_run;
    report.m_running.push_back(row);
  }
  report.m_ended = m_ended;
  return report;
}

void WorkerSim::FinishAt(const std::string& name, TimePoint when) {
  SimRun& run = m_runs.at(name);
  run.m_ends = std::min(run.m_ends, when);
}

void WorkerSim::Crash() {
  m_up = false;
  m_runs.clear();
  m_ended.clear();
  m_closed.clear();
  m_ends = 0;
  m_ends_before_lapse = 0;
  m_fence = 0;
  m_lease = WorkerTime();
}

void WorkerSim::Restart(TimePoint now) {
  m_up = true;
  m_birth = now;
  ++m_entry.m_born_unix_ms;
}

}  // namespace hyssopspar::jobs
