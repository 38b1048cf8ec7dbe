// Logs the load of the cell once a second: CPU in whole processors, and numbers
// of tasks as placed+ready. The key `filling` stands for best-effort tasks.

#include <array>
#include <utility>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/placement.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

constexpr milliseconds kReportInterval{1000};

/// Numbers of tasks of one kind.
struct TaskCounts {
  std::size_t m_ready = 0;  ///< Pending, and its step is ready to run.
  std::size_t m_placed = 0;
  std::size_t m_paused = 0;
};

enum TaskKind : std::size_t { kServing, kBestEffort, kOther, kKindCount };

TaskKind KindOf(const StepPlan& step) {
  if (step.m_is_best_effort) {
    return kBestEffort;
  }
  return step.m_tail_latency_target > milliseconds(0) ? kServing : kOther;
}

void AddTaskCounts(const Job& job, std::array<TaskCounts, kKindCount>* load) {
  for (std::size_t i = job.m_tasks.First(); i < job.m_tasks.size(); ++i) {
    const Task& task = job.m_tasks[i];
    TaskCounts& counts = (*load)[KindOf(StepOf(job, i))];
    const TaskName name = NameOfTask(job, i);
    if (IsPlaced(task)) {
      ++counts.m_placed;
      counts.m_paused += task.m_throttle_percent == 0 ? 1 : 0;
    } else if (task.m_state == TaskState::kPending &&
               IsStepReady(job, name.m_occurrence, name.m_step)) {
      ++counts.m_ready;
    }
  }
}

}  // namespace

void Cell::ReportLoad(TimePoint now) {
  if (now < m_next_load_report) {
    return;
  }
  m_next_load_report = now + kReportInterval;
  std::array<TaskCounts, kKindCount> load;
  for (const Job* const job : m_open_jobs) {
    AddTaskCounts(*job, &load);
  }
  std::int64_t capacity = 0;
  std::int64_t reserved = 0;
  std::int64_t best_effort = 0;
  std::size_t reachable = 0;
  for (const Worker& worker : m_workers) {
    if (worker.m_listed && worker.m_reachable) {
      ++reachable;
      capacity += worker.m_entry.m_capacity.m_cpu_milli;
      reserved += worker.m_used.m_cpu_milli;
      best_effort += worker.m_best_effort_cpu_milli;
    }
  }
  const WaitQuantiles largest =
      LargestTenth(std::exchange(m_look_ahead.m_waits, {}));
  CellLog()->info(
      "load workers={} cpu={} reserved={} filling={} jobs={} serving={}+{} "
      "filling={}+{} paused={} other={}+{} headroom={} held_back={} "
      "start_window={} starts_in_progress={} largest_placed={} "
      "largest_wait_p50_ms={} largest_wait_p95_ms={} stranded_cpu={}",
      reachable, capacity / 1000, reserved / 1000, best_effort / 1000,
      m_open_jobs.size(), load[kServing].m_placed, load[kServing].m_ready,
      load[kBestEffort].m_placed, load[kBestEffort].m_ready,
      load[kBestEffort].m_paused, load[kOther].m_placed, load[kOther].m_ready,
      m_headroom_cpu_milli / 1000, m_held_back_tasks, m_start_window.m_limit,
      m_starts_in_progress, largest.m_tasks, ToMillis(largest.m_median),
      ToMillis(largest.m_p95),
      StrandedCpuMilli(m_workers, LargeTaskCpuMilli(m_workers)) / 1000);
  ReportReservations(now);
}

}  // namespace hyssopspar::jobs
