/// \file
/// State that a cell's owner keeps for one worker.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/jobs/forecast/tail_outlook.h"
#include "hyssopspar/jobs/job.h"
#include "hyssopspar/jobs/pacing.h"
#include "hyssopspar/jobs/tenants/tenant_accounts.h"
#include "hyssopspar/jobs/worker_port.h"
#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Refers to a task of a job within the cell; m_job is null for an unknown job.
struct TaskRef {
  Job* m_job = nullptr;
  std::size_t m_index = 0;

  friend bool operator<(const TaskRef& a, const TaskRef& b) {
    return std::tie(a.m_job->m_number, a.m_index) <
           std::tie(b.m_job->m_number, b.m_index);
  }
};

/// What a worker did when it became unreachable.
enum class LossCircumstance {
  kNoRecentStart,       ///< No run had just been started.
  kRecentStart,         ///< A run had just been started.
  kRecentSuspectStart,  ///< One of a task under which a worker had crashed.
};

/// How a worker became unreachable.
struct WorkerLoss {
  TimePoint m_at;
  ErrorCode m_error = ErrorCode::kTimeout;  ///< Of the heartbeat.
  LossCircumstance m_circumstance = LossCircumstance::kNoRecentStart;
  /// Its process ended then, as far as can be seen: the connection was closed
  /// or refused.
  bool m_is_witnessed = false;
  bool m_is_planned = false;  ///< The worker had announced that it leaves.
};

/// From what it is concluded that a worker has crashed.
enum class CrashSign {
  kRestarted,    ///< It answered as another incarnation.
  kOtherWorker,  ///< Another worker answered at its address.
};

/// What is known of the start of a run: it lies between the two times. An owner
/// that was paused reads a confirmation late.
struct RunStart {
  std::optional<TimePoint> m_sent_at;       ///< nullopt: by an earlier owner.
  std::optional<TimePoint> m_confirmed_at;  ///< nullopt: not confirmed.
};

/// A run that ended with its lease.
struct LapsedRun {
  TaskName m_task;
  std::uint32_t m_run = 0;
  RunStart m_start;
};

/// An ended run that was processed, and the change of its job's progress that
/// has to be stored before it is acknowledged to the worker.
struct UnstoredEnd {
  std::uint64_t m_number = 0;
  std::string m_job;
  std::uint64_t m_change = 0;
};

struct Worker {
  WorkerEntry m_entry;
  bool m_listed = false;  ///< Is in the platform's current list of workers.

  /// Tasks that have resources reserved on the worker; see IsPlaced().
  std::set<TaskRef> m_tasks;
  /// Resources reserved by m_tasks. Best-effort tasks reserve no CPU.
  Resources m_used;
  /// CPU that best-effort tasks would use at full speed.
  std::int64_t m_best_effort_cpu_milli = 0;
  std::int64_t m_serving_cpu_milli = 0;  ///< Reserved by serving tasks.
  /// Resources used by reported runs that are not among m_tasks.
  Resources m_unexpected_run_resources;
  std::vector<TenantRuns> m_unexpected_runs_of_tenants;
  std::vector<TaskName> m_unexpected_runs;  ///< Their tasks.
  /// True when the worker reports runs of jobs that are unknown here, whose
  /// resources are therefore unknown.
  bool m_has_unknown_runs = false;

  /// True once the worker has answered a heartbeat with the epoch that its
  /// orders now bear; it then ignores those of earlier owners, and those meant
  /// for its earlier incarnations.
  bool m_epoch_acknowledged = false;
  /// Part of the epoch of its orders; see OrderEpoch().
  std::uint32_t m_fence = 0;
  TimePoint m_fence_raised_at;
  bool m_reachable = false;  ///< The last heartbeat was answered.
  /// Incarnation of the last report; 0 before the first.
  std::int64_t m_incarnation_unix_ms = 0;
  /// The worker's clock in the last report; read no later than
  /// m_clock_received_at.
  WorkerTime m_reported_clock;
  TimePoint m_clock_received_at;
  TimePoint m_alive_at;  ///< When the request of the last report was sent.
  /// All leases granted by this owner and earlier ones have expired by then.
  TimePoint m_lease_deadline;
  /// Runs whose start may be carried out late are kept until then, after the
  /// lease deadline.
  TimePoint m_late_starts_until;

  bool m_heartbeat_in_flight = false;
  TimePoint m_next_heartbeat;
  std::uint32_t m_consecutive_heartbeat_errors = 0;

  /// Highest number among the ended runs that were processed.
  std::uint64_t m_received_end_number = 0;
  /// Highest number whose effects are stored; acknowledged to the worker.
  std::uint64_t m_acked_end_number = 0;
  /// Number of the first ended run in the last report, the lowest; 0 without.
  std::uint64_t m_lowest_listed_end = 0;
  /// Processed ends that are not acknowledged, by number.
  std::deque<UnstoredEnd> m_unstored_ends;

  /// Jobs with a failed run here since the last successful one.
  std::set<std::string> m_failed_jobs;
  /// Runs whose lease here expired while the worker was unreachable. Whether
  /// it had crashed shows when its address answers again.
  std::vector<LapsedRun> m_lapsed_runs;
  WorkerLoss m_loss;  ///< The last one.
  TimePoint m_quarantined_until;
  /// No placement here before this, because the worker refused a start or the
  /// order could not be sent.
  TimePoint m_backoff_until;

  /// Highest tail latency of each serving image in the last report.
  std::vector<ServingTailLatency> m_reported_tails;
  TailOutlook m_outlook;
  /// Those of m_outlook plus the expected effect of best-effort tasks that the
  /// report does not cover yet.
  std::vector<ServingTailLatency> m_expected_tails;
  TimePoint m_throttle_evaluated_at;
  /// Since when some tail latency has been above its target; max() while none
  /// is.
  TimePoint m_tail_over_target_since = TimePoint::max();
  /// When a task that m_expected_tails adds becomes part of the reported tails.
  TimePoint m_expected_tails_until = TimePoint::max();
  /// True while m_expected_tails has to be computed anew.
  bool m_expected_tails_outdated = true;
  /// Number of the last change that may let the worker take a task that it
  /// could not take before; increases over all workers of the cell.
  std::uint64_t m_last_change = 0;
  /// Number of placed tasks with a tail target, by image.
  std::map<std::string, std::uint32_t> m_serving_images;
};

/// Time after its confirmed start from which a run is fully reflected in the
/// figures that its worker reports.
inline constexpr milliseconds kFullyReportedAge{1000};

/// Limits the validity of the worker's expected tails: at \p reported_at a run
/// that they add is part of the reported ones.
void LimitExpectedTails(TimePoint reported_at, Worker* worker);

/// Which kinds of tasks are placed on a worker.
struct TaskMix {
  bool m_has_serving = false;
  bool m_has_best_effort = false;
};

/// CPU capacity of the worker in thousandths of a processor, at least 1.
double CpuCapacityOf(const Worker& worker);

/// Fraction of the worker's CPU capacity that a task of the step requests.
double CpuShareOf(const StepPlan& step, const Worker& worker);

/// True when the entry describes the incarnation that answers heartbeats.
/// Another incarnation may have other labels, another capacity or service.
bool HasCurrentEntry(const Worker& worker);

/// True when the worker is able to take new tasks and its failure domain is not
/// in \p excluded_domains.
bool IsUsable(const Worker& worker,
              const std::set<std::string>& excluded_domains);

/// True when the worker is to get a heartbeat at m_next_heartbeat.
bool NeedsHeartbeat(const Worker& worker);

/// Estimates the worker's clock at \p at from its last report.
WorkerTime WorkerTimeAt(const Worker& worker, TimePoint at);

}  // namespace hyssopspar::jobs
