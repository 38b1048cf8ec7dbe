// A line a second on what the cell carries.

#include <array>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/placement.h"
#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

namespace {

constexpr milliseconds kReportInterval{1000};

struct KindLoad {
  std::size_t m_ready = 0;  ///< Pending tasks whose turn has come.
  std::size_t m_placed = 0;
  std::size_t m_paused = 0;
};

enum TaskKind : std::size_t { kServing, kFilling, kOther, kKinds };

TaskKind KindOf(const StepPlan& step) {
  if (step.m_fills_idle) {
    return kFilling;
  }
  return step.m_tail_target > milliseconds(0) ? kServing : kOther;
}

void AddJob(const Job& job, std::array<KindLoad, kKinds>* load) {
  for (std::size_t i = 0; i < job.m_tasks.size(); ++i) {
    const Task& task = job.m_tasks[i];
    KindLoad& kind = (*load)[KindOf(StepOf(job, i))];
    const TaskName name = NameOfTask(job, i);
    if (IsPlaced(task)) {
      ++kind.m_placed;
      kind.m_paused += task.m_pace == 0 ? 1 : 0;
    } else if (task.m_state == TaskState::kPending &&
               IsStepReady(job, name.m_occurrence, name.m_step)) {
      ++kind.m_ready;
    }
  }
}

}  // namespace

void Cell::ReportLoad(TimePoint now) {
  if (now < m_next_report) {
    return;
  }
  m_next_report = now + kReportInterval;
  std::array<KindLoad, kKinds> load;
  for (const Job* const job : m_open) {
    AddJob(*job, &load);
  }
  std::int64_t capacity = 0;
  std::int64_t reserved = 0;
  std::int64_t filling = 0;
  std::size_t usable = 0;
  for (const Worker& worker : m_workers) {
    if (worker.m_listed && worker.m_reachable) {
      ++usable;
      capacity += worker.m_entry.m_capacity.m_cpu_milli;
      reserved += worker.m_used.m_cpu_milli;
      filling += worker.m_fill_cpu_milli;
    }
  }
  CellLog()->info(
      "load workers={} cpu={} reserved={} filling={} jobs={} serving={}+{} "
      "filling={}+{} paused={} other={}+{}",
      usable, capacity / 1000, reserved / 1000, filling / 1000, m_open.size(),
      load[kServing].m_placed, load[kServing].m_ready, load[kFilling].m_placed,
      load[kFilling].m_ready, load[kFilling].m_paused, load[kOther].m_placed,
      load[kOther].m_ready);
}

}  // namespace hyssopspar::jobs
