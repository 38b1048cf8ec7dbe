#include "hyssopspar/worker_view.h"

namespace hyssopspar {

WorkerTime ToWorkerTime(const WorkerView& view, TimePoint at) {
  // The worker read its clock before its report arrived here, so the result is
  // not later than the worker's clock at `at`.
  return view.m_report_worker_time +
         std::chrono::floor<milliseconds>(at - view.m_report_time);
}

void ApplyWorkerReport(WorkerView* view,
                       const WorkerReport& report,
                       TimePoint now) {
  view->m_has_report = true;
  view->m_boot_id = report.m_boot_id;
  view->m_report_worker_time = report.m_now;
  view->m_report_time = now;
  view->m_consecutive_errors = 0;
  view->m_tasks.clear();
  for (const TaskReport& task : report.m_tasks) {
    view->m_tasks[task.m_id] = task;
    const std::map<AttemptId, SentStart>::iterator sent =
        view->m_starts.find(task.m_id);
    if (sent != view->m_starts.end()) {
      sent->second.m_seen = true;
    }
  }
}

}  // namespace hyssopspar
