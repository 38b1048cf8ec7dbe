// Restarts of workers: orders that may reach a later incarnation than was
// meant, and what the earlier one has acknowledged.

#include <algorithm>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/worker_restart.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

/// Most by which the times of day of two machines differ.
constexpr milliseconds kMaxClockDifference{10000};
/// An incarnation of this age counts as one that has run for long. Entries of
/// workers may tell any time, also one that can't be subtracted.
constexpr std::int64_t kMaxAgeMs = 3600000;

}  // namespace

void Cell::BeginIncarnation(int worker_index, std::int64_t incarnation) {
  Worker& worker = m_workers[static_cast<std::size_t>(worker_index)];
  CellLog()->info("worker-restarted id={} incarnation={} tasks={}",
                  worker.m_entry.m_id, incarnation, worker.m_tasks.size());
  worker.m_received_end_number = 0;
  worker.m_acked_end_number = 0;
  worker.m_unstored_ends.clear();
  worker.m_failed_jobs.clear();
  worker.m_quarantined_until = TimePoint();
  worker.m_backoff_until = TimePoint();
  for (const TaskRef& ref : worker.m_tasks) {
    Task& task = ref.m_job->m_tasks[ref.m_index];
    if (task.m_start_status == StartStatus::kStopAcknowledged) {
      task.m_start_status = StartStatus::kUnacknowledged;
    }
  }
}

void Cell::KeepUnansweredStart(const StartAction& action) {
  Job* const job = FindMutableJob(action.m_order.m_task.m_job);
  if (job == nullptr || !HasTask(*job, action.m_task.m_index)) {
    return;
  }
  Task& task = job->m_tasks[action.m_task.m_index];
  const std::uint32_t run = action.m_order.m_run;
  if (task.m_run == run && task.m_is_confirmed) {
    return;
  }
  AddUnansweredStart(action.m_worker, run,
                     action.m_sent + m_settings.m_order_limits.m_longest_delay,
                     &task);
  MarkDirty(job);
}

void Cell::OnStopAnswer(const StopAction& action,
                        const Result<void>& answer,
                        TimePoint now) {
  if (!answer && answer.error().m_code == ErrorCode::kFenced &&
      !IsOverridden(action.m_worker, action.m_order.m_epoch)) {
    m_is_fenced = true;
    return;
  }
  // A stop of an unexpected run has no task.
  Job* const job = action.m_task.m_job == nullptr
                       ? nullptr
                       : FindMutableJob(action.m_order.m_task.m_job);
  if (job == nullptr || !HasTask(*job, action.m_task.m_index)) {
    return;
  }
  Task& task = job->m_tasks[action.m_task.m_index];
  if (task.m_worker != action.m_worker || task.m_run != action.m_order.m_run ||
      task.m_start_status != StartStatus::kStopSent) {
    return;
  }
  if (!answer) {
    CellLog()->warn("stop-unanswered task={} run={} worker={} error={}",
                    ToString(action.m_order.m_task), task.m_run,
                    action.m_target.m_id, ToString(answer.error()));
  }
  Worker& worker = TouchWorker(action.m_worker);
  const bool is_acknowledged =
      answer && action.m_incarnation_unix_ms == worker.m_incarnation_unix_ms;
  task.m_start_status = is_acknowledged ? StartStatus::kStopAcknowledged
                                        : StartStatus::kUnacknowledged;
  task.m_start_status_since = now;
  worker.m_next_heartbeat = now;
}

void Cell::CheckStartedIncarnation(const StartAction& action,
                                   const StartReply& reply,
                                   TimePoint now) {
  const bool is_other_clock =
      reply.m_now &&
      (*reply.m_now < action.m_clock.m_earliest ||
       *reply.m_now >
           action.m_clock.m_latest +
               std::chrono::duration_cast<milliseconds>(now - action.m_sent));
  const bool is_unknown =
      !reply.m_now && reply.m_answer == StartAnswer::kStarted;
  if (!is_other_clock && !is_unknown) {
    return;
  }
  Worker& worker = TouchWorker(action.m_worker);
  worker.m_lease_deadline =
      std::max(worker.m_lease_deadline,
               LongestLeaseFrom(now, m_settings.m_order_limits));
  if (is_other_clock &&
      !IsOverridden(action.m_worker, action.m_order.m_epoch)) {
    CellLog()->warn("start-reached-restarted-worker id={} task={} run={}",
                    worker.m_entry.m_id, ToString(action.m_order.m_task),
                    action.m_order.m_run);
    RaiseFence(&worker, now);
  }
}

TimePoint Cell::LatestStartOf(std::int64_t incarnation_unix_ms,
                              TimePoint now) const {
  const milliseconds age(std::clamp<std::int64_t>(
      UnixMillis(now) - incarnation_unix_ms, 0, kMaxAgeMs));
  return std::min(now, now - age + kMaxClockDifference);
}

void Cell::ExpectInheritedLease(Worker* worker, TimePoint now) {
  AllowForStaleOrders(m_settings.m_order_limits,
                      LatestStartOf(worker->m_entry.m_incarnation_unix_ms, now),
                      m_settings.m_inherited_orders_until, worker);
}

bool Cell::IsOverridden(int worker_index, std::uint64_t order_epoch) const {
  return order_epoch <
         OrderEpoch(m_settings.m_epoch,
                    m_workers[static_cast<std::size_t>(worker_index)]);
}

TimePoint Cell::LatestEndOf(const Worker& worker, const Task& task) const {
  // Orders to the earlier incarnation take effect until the worker knows the
  // fence, whether this owner has raised it or takes over with a new epoch.
  const bool was_reached = worker.m_incarnation_unix_ms != 0;
  const bool has_restarted =
      !worker.m_epoch_acknowledged &&
      (was_reached ||
       (task.m_worker_incarnation != 0 &&
        task.m_worker_incarnation != worker.m_entry.m_incarnation_unix_ms));
  const bool ran_before = task.m_state == TaskState::kRunning &&
                          task.m_confirmed_at < worker.m_fence_raised_at;
  if (!worker.m_listed || !has_restarted || ran_before) {
    return worker.m_lease_deadline;
  }
  const TimePoint sent_by = was_reached ? worker.m_fence_raised_at
                                        : m_settings.m_inherited_orders_until;
  return std::max(
      worker.m_lease_deadline,
      LongestLeaseFrom(sent_by + m_settings.m_order_limits.m_longest_delay,
                       m_settings.m_order_limits));
}

}  // namespace hyssopspar::jobs
