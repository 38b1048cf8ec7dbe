#include "hyssopspar/worker_view.h"

namespace hyssopspar {

WorkerTime ToWorkerTime(const WorkerView& view, TimePoint at) {
  // The worker read its clock before its report arrived here, so the result is
  // not later than the worker's clock at `at`.
  return view.m_worker_now +
         std::chrono::floor<milliseconds>(at - view.m_received);
}

void NoteReport(WorkerView* view, const WorkerReport& report, TimePoint now) {
  view->m_contacted = true;
  view->m_boot = report.m_boot;
  view->m_worker_now = report.m_now;
  view->m_received = now;
  view->m_errors = 0;
  view->m_tasks.clear();
  for (const TaskReport& task : report.m_tasks) {
    view->m_tasks[task.m_id] = task;
    const std::map<AttemptId, StartTrack>::iterator sent =
        view->m_starts.find(task.m_id);
    if (sent != view->m_starts.end()) {
      sent->second.m_seen = true;
    }
  }
}

}  // namespace hyssopspar
