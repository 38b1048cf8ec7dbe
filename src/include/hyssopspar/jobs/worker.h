/// \file
/// One worker, as its cell's owner sees it.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "hyssopspar/jobs/job.h"
#include "hyssopspar/jobs/pacing.h"
#include "hyssopspar/jobs/worker_port.h"
#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Names a task of a job within the cell.
struct TaskRef {
  Job* m_job = nullptr;
  std::size_t m_index = 0;

  friend bool operator<(const TaskRef& a, const TaskRef& b) {
    return std::tie(a.m_job->m_number, a.m_index) <
           std::tie(b.m_job->m_number, b.m_index);
  }
};

struct Worker {
  WorkerEntry m_entry;
  bool m_listed = false;  ///< In the platform's list now.

  std::set<TaskRef> m_tasks;  ///< Placed here, in any state with room.
  Resources m_used;           ///< By m_tasks, idle-filling processor left out.
  std::int64_t m_fill_cpu_milli = 0;   ///< Wanted by idle-filling tasks.
  std::int64_t m_serve_cpu_milli = 0;  ///< Reserved by tasks that serve.
  Resources m_foreign;          ///< Of listed runs that are not among m_tasks.
  bool m_unknown_runs = false;  ///< Listed runs of unknown size.

  bool m_fenced = false;            ///< It has answered a hold of our epoch.
  bool m_reachable = false;         ///< The last hold was answered.
  std::int64_t m_born_unix_ms = 0;  ///< Life that our beliefs are about.
  WorkerTime m_clock;  ///< Its clock, read no later than m_clock_at.
  TimePoint m_clock_at;
  /// By then all leases granted, by us or earlier owners, have lapsed.
  TimePoint m_lease_deadline;

  bool m_hold_in_flight = false;
  TimePoint m_next_hold;
  std::uint32_t m_hold_errors = 0;  ///< In a row.

  std::uint64_t m_seen_end = 0;   ///< Highest end that was entered.
  std::uint64_t m_acked_end = 0;  ///< Highest end that is stored.

  std::set<std::string>
      m_failed_jobs;  ///< Since the last task that ended well.
  TimePoint m_quarantined_until;
  TimePoint m_backoff_until;  ///< It refused a start.

  std::vector<ServedTail> m_tails;  ///< From the last report.
  /// With the tasks added that the report did not yet show.
  std::vector<ServedTail> m_expected_tails;
  TimePoint m_paced_at;
  /// Since when some tail has been above its target without a break.
  TimePoint m_over_since = TimePoint::max();
  /// Tasks of each image with a tail target.
  std::map<std::string, std::uint32_t> m_serving_images;
};

/// Kinds of tasks on a worker.
struct WorkerMix {
  bool m_serves = false;
  bool m_fills = false;
};

/// Share of the worker's processors that a task of the step asks for.
double ShareOf(const StepPlan& step, const Worker& worker);

/// True when starts may go to the worker at all.
bool IsUsable(const Worker& worker, const std::set<std::string>& domains_out);

/// True when a hold should go to the worker at m_next_hold.
bool WantsHold(const Worker& worker);

/// Its clock at \p at, by our reckoning.
WorkerTime WorkerTimeAt(const Worker& worker, TimePoint at);

}  // namespace hyssopspar::jobs
