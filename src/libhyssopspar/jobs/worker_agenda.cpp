#include "hyssopspar/jobs/worker_agenda.h"

#include <algorithm>

namespace hyssopspar::jobs {

namespace {

/// Moves \p index from \p current to \p wanted in \p times; max() stands for no
/// entry.
void Move(std::set<std::pair<TimePoint, int>>* times,
          int index,
          TimePoint wanted,
          TimePoint* current) {
  if (*current == wanted) {
    return;
  }
  if (*current != TimePoint::max()) {
    times->erase({*current, index});
  }
  if (wanted != TimePoint::max()) {
    times->emplace(wanted, index);
  }
  *current = wanted;
}

void SetMember(std::set<int>* members, int index, bool is_member) {
  if (is_member) {
    members->insert(index);
  } else {
    members->erase(index);
  }
}

/// Earliest end after \p now of a period without placements; max() if there is
/// none.
TimePoint NextResumption(const Worker& worker, TimePoint now) {
  TimePoint next = TimePoint::max();
  for (const TimePoint until :
       {worker.m_quarantined_until, worker.m_backoff_until}) {
    if (until > now) {
      next = std::min(next, until);
    }
  }
  return next;
}

}  // namespace

void UpdateAgenda(WorkerAgenda* agenda,
                  int index,
                  const Worker& worker,
                  TimePoint now) {
  const std::size_t i = static_cast<std::size_t>(index);
  if (agenda->m_entries.size() <= i) {
    agenda->m_entries.resize(i + 1);
  }
  WorkerAgenda::Entry& entry = agenda->m_entries[i];
  Move(&agenda->m_heartbeats, index,
       NeedsHeartbeat(worker) ? worker.m_next_heartbeat : TimePoint::max(),
       &entry.m_heartbeat);
  Move(&agenda->m_resumptions, index, NextResumption(worker, now),
       &entry.m_resumption);
  Move(&agenda->m_tail_changes, index,
       worker.m_expected_tails_outdated ? TimePoint::max()
                                        : worker.m_expected_tails_until,
       &entry.m_tail_change);
  Move(&agenda->m_lease_expiries, index,
       !worker.m_reachable && !worker.m_tasks.empty()
           ? std::max(worker.m_lease_deadline, worker.m_late_starts_until)
           : TimePoint::max(),
       &entry.m_lease_expiry);
  SetMember(&agenda->m_with_unacknowledged_ends, index,
            worker.m_acked_end_number < worker.m_received_end_number);
}

}  // namespace hyssopspar::jobs
