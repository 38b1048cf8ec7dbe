#include "job_state/worker_sim.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "hyssopspar/jobs/job.h"

namespace hyssopspar::jobs {

namespace {

/// Upper bound of a lease extension.
constexpr milliseconds kMaxLease{10000};
/// Time from a stop order to the end of the run.
constexpr milliseconds kStopDelay{200};

}  // namespace

SimulatedWorker::SimulatedWorker(WorkerEntry entry,
                                 double clock_rate,
                                 TimePoint now)
    : m_entry(std::move(entry)), m_clock_rate(clock_rate), m_started_at(now) {}

WorkerTime SimulatedWorker::ClockAt(TimePoint now) const {
  return WorkerTime(
      m_clock_start +
      milliseconds(static_cast<std::int64_t>(
          static_cast<double>(ToMillis(now - m_started_at)) * m_clock_rate)));
}

void SimulatedWorker::SetCapacity(const Resources& capacity, TimePoint now) {
  m_earlier_capacities.emplace_back(now, m_entry.m_capacity);
  m_entry.m_capacity = capacity;
}

Resources SimulatedWorker::HighestCapacitySince(TimePoint since) const {
  Resources highest = m_entry.m_capacity;
  for (const auto& earlier : m_earlier_capacities) {
    if (earlier.first >= since) {
      highest.m_cpu_milli =
          std::max(highest.m_cpu_milli, earlier.second.m_cpu_milli);
      highest.m_memory_mib =
          std::max(highest.m_memory_mib, earlier.second.m_memory_mib);
    }
  }
  return highest;
}

void SimulatedWorker::EndRun(const std::string& name, EndCause cause) {
  const SimulatedRun run = m_runs.at(name);
  m_runs.erase(name);
  m_highest_ended_run[name] = std::max(m_highest_ended_run[name], run.m_run);
  m_unacknowledged_ends.push_back(
      {++m_end_count, run.m_task, run.m_run, cause, ""});
  if (m_on_end) {
    m_on_end(run, cause);
  }
}

void SimulatedWorker::Advance(TimePoint now) {
  const bool lease_expired = ClockAt(now) > m_lease_end;
  if (lease_expired) {
    m_ends_before_expiry = m_end_count;
  }
  std::vector<std::string> ended;
  for (const auto& entry : m_runs) {
    if (lease_expired || entry.second.m_end_time <= now) {
      ended.push_back(entry.first);
    }
  }
  for (const std::string& name : ended) {
    const SimulatedRun& run = m_runs.at(name);
    const EndCause cause = run.m_stopping         ? EndCause::kStopped
                           : run.m_end_time > now ? EndCause::kLeaseExpired
                           : run.m_behavior.m_will_fail ? EndCause::kFailed
                                                        : EndCause::kDone;
    EndRun(name, cause);
  }
}

StartAnswer SimulatedWorker::Start(const StartOrder& order,
                                   const RunBehavior& behavior,
                                   TimePoint now) {
  Advance(now);
  if (order.m_epoch < m_highest_epoch) {
    return StartAnswer::kFenced;
  }
  m_highest_epoch = order.m_epoch;
  const std::string name = ToString(order.m_task);
  const auto running = m_runs.find(name);
  if (running != m_runs.end() && running->second.m_run == order.m_run) {
    return StartAnswer::kStarted;
  }
  if (ClockAt(now) > order.m_not_after) {
    return StartAnswer::kLate;
  }
  m_lease_end = std::max(m_lease_end,
                         std::min(order.m_not_after, ClockAt(now) + kMaxLease));
  if (order.m_run <= m_highest_ended_run[name] || running != m_runs.end()) {
    return StartAnswer::kOldRun;
  }
  SimulatedRun run{order.m_task, order.m_run, behavior,
                   behavior.m_runs_until_gang_ends ? TimePoint::max()
                                                   : now + behavior.m_run_time,
                   false};
  m_runs.emplace(name, run);
  return StartAnswer::kStarted;
}

Result<void> SimulatedWorker::Stop(const StopOrder& order, TimePoint now) {
  Advance(now);
  if (order.m_epoch < m_highest_epoch) {
    return Fail(ErrorCode::kFenced, "older epoch");
  }
  m_highest_epoch = order.m_epoch;
  const std::string name = ToString(order.m_task);
  const auto it = m_runs.find(name);
  if (it == m_runs.end()) {
    m_highest_ended_run[name] =
        std::max(m_highest_ended_run[name], order.m_run);
  } else if (it->second.m_run <= order.m_run && !it->second.m_stopping) {
    it->second.m_stopping = true;
    it->second.m_end_time = std::min(it->second.m_end_time, now + kStopDelay);
  }
  return Ok();
}

Result<HeartbeatReport> SimulatedWorker::ExchangeHeartbeat(
    const HeartbeatRequest& request,
    TimePoint now) {
  Advance(now);
  if (request.m_epoch < m_highest_epoch) {
    return Fail(ErrorCode::kFenced, "older epoch");
  }
  m_highest_epoch = request.m_epoch;
  if (request.m_extends_lease) {
    m_lease_end = std::max(
        m_lease_end, std::min(request.m_lease_until, ClockAt(now) + kMaxLease));
  }
  while (!m_unacknowledged_ends.empty() &&
         m_unacknowledged_ends.front().m_number <= request.m_acked_up_to) {
    if (m_on_acknowledged &&
        m_unacknowledged_ends.front().m_number > m_ends_before_expiry) {
      m_on_acknowledged(m_unacknowledged_ends.front());
    }
    m_unacknowledged_ends.erase(m_unacknowledged_ends.begin());
  }
  HeartbeatReport report;
  report.m_now = ClockAt(now);
  report.m_incarnation_unix_ms = m_entry.m_incarnation_unix_ms;
  for (const auto& entry : m_runs) {
    RunningRun run;
    run.m_task = entry.second.m_task;
    run.m_run = entry.second.m_run;
    report.m_running.push_back(run);
  }
  report.m_ended = m_unacknowledged_ends;
  return report;
}

void SimulatedWorker::CompleteAt(const std::string& name, TimePoint when) {
  SimulatedRun& run = m_runs.at(name);
  run.m_end_time = std::min(run.m_end_time, when);
}

void SimulatedWorker::Crash() {
  m_up = false;
  m_runs.clear();
  m_unacknowledged_ends.clear();
  m_highest_ended_run.clear();
  m_end_count = 0;
  m_ends_before_expiry = 0;
  m_highest_epoch = 0;
  m_lease_end = WorkerTime();
}

void SimulatedWorker::Restart(TimePoint now) {
  m_up = true;
  m_started_at = now;
  ++m_entry.m_incarnation_unix_ms;
  if (m_latest_clock_start > milliseconds(0)) {
    m_entry.m_incarnation_unix_ms = std::max(m_entry.m_incarnation_unix_ms,
                                             ToMillis(now.time_since_epoch()));
    const std::size_t hash = std::hash<std::string>()(
        m_entry.m_id + "/" + std::to_string(m_entry.m_incarnation_unix_ms));
    m_clock_start = milliseconds(
        hash % static_cast<std::size_t>(m_latest_clock_start.count()));
  }
  m_entry.m_leaving = false;
}

}  // namespace hyssopspar::jobs
