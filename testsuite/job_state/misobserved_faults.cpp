// Faults under which an owner observes the ends of workers late, wrongly or not
// at all.

#include <algorithm>

#include "hyssopspar/jobs/records.h"
#include "job_state/job_world_internal.h"

namespace hyssopspar::jobs {

namespace {

constexpr milliseconds kFirstFault{1000};
constexpr milliseconds kLastFault{37000};
constexpr milliseconds kMinPause{500};
constexpr milliseconds kMaxPause{6000};
/// Longest time since an owner last renewed its ownership lease.
constexpr milliseconds kMaxRenewalAge{4000};
constexpr milliseconds kMinSlowPeriod{2000};
constexpr milliseconds kMaxSlowPeriod{6000};
constexpr milliseconds kMinOutage{2000};
constexpr milliseconds kMaxOutage{8000};
constexpr milliseconds kMinCut{1000};
constexpr milliseconds kMaxCut{6000};
constexpr int kMaxWorkersPerCut = 3;
constexpr double kResetCutShare = 0.4;
constexpr double kStoreCutShare = 0.5;
/// Share of cut workers that restart meanwhile.
constexpr double kRestartShare = 0.3;
constexpr milliseconds kMinDowntime{300};
constexpr milliseconds kMaxDowntime{1500};
/// Time between the first and the last sight of losses that are one event.
constexpr milliseconds kMaxLossSpread{2000};
constexpr milliseconds kMinLossDowntime{2500};
constexpr milliseconds kMaxLossDowntime{5000};
constexpr std::size_t kMinLostWorkers = 4;
constexpr std::size_t kLostWorkersDivisor = 5;
/// Time from a worker's report that it will leave to its exit.
constexpr milliseconds kDrainTime{2000};
constexpr milliseconds kMinUpdateTime{500};
constexpr milliseconds kMaxUpdateTime{3000};
constexpr milliseconds kMaxEntryDelay{1500};
/// Time between a worker's writes of its entry, and how many may be missing.
constexpr milliseconds kBeatInterval{1000};
constexpr int kMaxMissingBeats = 3;
constexpr milliseconds kMaxEntryReturn{2000};
constexpr milliseconds kEntryCheckInterval{250};
/// Lasting jobs arrive in this time.
constexpr milliseconds kLastingArrival{5000};
constexpr std::uint32_t kMaxLastingTasks = 14;

}  // namespace

Duration JobSimulation::FaultDuration(milliseconds min, milliseconds max) {
  const auto range = static_cast<std::uint64_t>((max - min).count()) + 1;
  return min + milliseconds(m_fault_random() % range);
}

bool JobSimulation::FaultBool(double probability) {
  return std::uniform_real_distribution<double>()(m_fault_random) < probability;
}

int JobSimulation::RandomWorker() {
  return static_cast<int>(m_fault_random() % m_workers.size());
}

void JobSimulation::ScheduleAtRandom(int count,
                                     const std::function<void()>& event) {
  for (int i = 0; i < count; ++i) {
    ScheduleAfter(FaultDuration(kFirstFault, kLastFault), event);
  }
}

void JobSimulation::ScheduleMisobservedFaults() {
  const MisobservedFaults& faults = m_options.m_misobserved;
  ScheduleLastingJobs();
  ScheduleAtRandom(faults.m_owner_pauses, [this] { PauseOwner(); });
  ScheduleAtRandom(faults.m_slow_periods, [this] {
    m_slow_answers_until =
        m_now + FaultDuration(kMinSlowPeriod, kMaxSlowPeriod);
  });
  ScheduleAtRandom(faults.m_store_outages, [this] {
    m_store_down_until = std::max(
        m_store_down_until, m_now + FaultDuration(kMinOutage, kMaxOutage));
  });
  ScheduleAtRandom(faults.m_cuts, [this] { CutSomeWorkers(); });
  ScheduleAtRandom(faults.m_spread_losses, [this] { LoseWorkersAtOnce(); });
  ScheduleAtRandom(faults.m_silent_losses, [this] { LoseWorkerSilently(); });
  for (int lane = 0; lane < faults.m_update_lanes; ++lane) {
    ScheduleAfter(FaultDuration(kFirstFault, 2 * kFirstFault),
                  [this, lane, lanes = faults.m_update_lanes] {
                    UpdateWorkers(lane, lanes);
                  });
  }
  if (faults.m_entries_expire) {
    ScheduleAfter(kEntryCheckInterval, [this] { ExpireEntries(); });
  }
}

void JobSimulation::ScheduleLastingJobs() {
  for (int i = 0; i < m_options.m_misobserved.m_lasting_jobs; ++i) {
    Submission job;
    job.m_id = "lasting" + std::to_string(i);
    job.m_accepted_unix_ms = i;
    job.m_queue.m_name = "services";
    job.m_queue.m_service = "pool";
    job.m_queue.m_max_attempts = kMaxAttempts;
    StepPlan step;
    step.m_long_running = true;
    step.m_tasks =
        1 + static_cast<std::uint32_t>(m_fault_random() % kMaxLastingTasks);
    step.m_size = {500 + static_cast<std::int64_t>(m_fault_random() % 1500),
                   500 + static_cast<std::int64_t>(m_fault_random() % 1500), 0};
    job.m_plan.m_steps.push_back(step);
    if (i < m_options.m_misobserved.m_crashing_lasting_jobs) {
      m_crashing_lasting_tasks.insert(ToString(TaskName{job.m_id, 0, 0, 0}));
    }
    ScheduleAfter(FaultDuration(milliseconds(0), kLastingArrival), [this, job] {
      m_jobs[job.m_id] = job;
      m_job_records.push_back({job.m_id, EncodeSubmission(job)});
    });
  }
}

void JobSimulation::PauseOwner() {
  Owner* const owner = m_current_owner;
  if (!owner->m_active || !owner->m_loaded || m_now < owner->m_paused_until) {
    return;
  }
  owner->m_paused_until = m_now + FaultDuration(kMinPause, kMaxPause);
  const TimePoint lease_end =
      m_now + kOwnershipLease - FaultDuration(milliseconds(0), kMaxRenewalAge);
  owner->m_cell->SetOwnershipLeaseDeadline(lease_end);
  if (lease_end < owner->m_paused_until) {
    ScheduleAfter(lease_end - m_now, [this, owner] {
      if (owner == m_current_owner) {
        StartNewOwner();
      }
    });
  }
  // Scheduled before all answers that arrive during the pause: the timers come
  // first in half of the cases.
  ScheduleAfter(owner->m_paused_until - m_now,
                [this, owner, timers_first = FaultBool(0.5)] {
                  if (owner == m_current_owner) {
                    owner->m_cell->SetOwnershipLeaseDeadline(TimePoint::max());
                  }
                  if (timers_first) {
                    DispatchActions(owner);
                  }
                });
}

void JobSimulation::CutSomeWorkers() {
  const int count =
      1 + static_cast<int>(m_fault_random() % std::uint64_t{kMaxWorkersPerCut});
  for (int i = 0; i < count; ++i) {
    const int worker = RandomWorker();
    const Duration duration = FaultDuration(kMinCut, kMaxCut);
    WorkerContact& contact = m_contacts[static_cast<std::size_t>(worker)];
    contact.m_cut_until = std::max(contact.m_cut_until, m_now + duration);
    contact.m_cut_resets = FaultBool(kResetCutShare);
    contact.m_cut_from_store = FaultBool(kStoreCutShare);
    if (FaultBool(kRestartShare)) {
      ScheduleAfter(duration / 2, [this, worker] {
        CrashWorker(worker, FaultDuration(kMinDowntime, kMaxDowntime));
      });
    }
  }
}

void JobSimulation::LoseWorkersAtOnce() {
  const std::size_t count =
      std::max(kMinLostWorkers, m_workers.size() / kLostWorkersDivisor);
  std::set<int> lost;
  while (lost.size() < std::min(count, m_workers.size())) {
    lost.insert(RandomWorker());
  }
  for (const int worker : lost) {
    if (m_workers[static_cast<std::size_t>(worker)]->IsUp()) {
      m_contacts[static_cast<std::size_t>(worker)].m_loss_seen_at =
          m_now + FaultDuration(milliseconds(0), kMaxLossSpread);
      CrashWorker(worker, FaultDuration(kMinLossDowntime, kMaxLossDowntime));
    }
  }
}

void JobSimulation::LoseWorkerSilently() {
  const int worker = RandomWorker();
  if (m_workers[static_cast<std::size_t>(worker)]->IsUp()) {
    const Duration downtime = FaultDuration(kMinDowntime, kMaxLossDowntime);
    m_contacts[static_cast<std::size_t>(worker)].m_loss_seen_at =
        m_now + downtime;
    CrashWorker(worker, downtime);
  }
}

void JobSimulation::UpdateWorkers(int worker, int lanes) {
  if (static_cast<std::size_t>(worker) >= m_workers.size() ||
      m_now >= m_faults_end) {
    return;
  }
  SimulatedWorker* const updated =
      m_workers[static_cast<std::size_t>(worker)].get();
  if (!updated->IsUp()) {
    ScheduleAfter(kMinUpdateTime,
                  [this, worker, lanes] { UpdateWorkers(worker, lanes); });
    return;
  }
  updated->SetLeaving();
  const std::int64_t incarnation = updated->Entry().m_incarnation_unix_ms;
  ScheduleAfter(kDrainTime, [this, worker, lanes, updated, incarnation] {
    if (updated->IsUp() &&
        updated->Entry().m_incarnation_unix_ms == incarnation) {
      ExitForUpdate(worker, lanes);
    } else {  // It crashed meanwhile.
      UpdateWorkers(worker + lanes, lanes);
    }
  });
}

void JobSimulation::ExitForUpdate(int worker, int lanes) {
  SimulatedWorker* const updated =
      m_workers[static_cast<std::size_t>(worker)].get();
  updated->Advance(m_now);
  updated->Crash();
  // The removal of the entry may come after the entry of the new incarnation.
  m_contacts[static_cast<std::size_t>(worker)].m_entry_expired = FaultBool(0.5);
  ScheduleAfter(
      FaultDuration(kMinUpdateTime, kMaxUpdateTime),
      [this, worker, lanes, updated] {
        updated->Restart(m_now);
        m_silent_workers.erase(worker);
        WorkerContact& contact = m_contacts[static_cast<std::size_t>(worker)];
        contact.m_entry_expired = false;
        contact.m_last_beat = m_now;
        contact.m_entry_hidden_until =
            FaultBool(0.5)
                ? m_now
                : m_now + FaultDuration(milliseconds(0), kMaxEntryDelay);
        UpdateWorkers(worker + lanes, lanes);
      });
}

void JobSimulation::ExpireEntries() {
  const bool store_is_up = m_now >= m_store_down_until;
  if (!store_is_up && m_outage_end != m_store_down_until) {
    m_outage_end = m_store_down_until;
    m_outage_expires_entries = FaultBool(0.5);
  }
  for (std::size_t i = 0; i < m_workers.size(); ++i) {
    UpdateEntry(static_cast<int>(i), store_is_up);
  }
  ScheduleAfter(kEntryCheckInterval, [this] { ExpireEntries(); });
}

void JobSimulation::UpdateEntry(int worker, bool store_is_up) {
  const auto index = static_cast<std::size_t>(worker);
  WorkerContact& contact = m_contacts[index];
  const auto partition = m_unreachable_until.find(worker);
  const bool cut =
      (IsCut(worker) && contact.m_cut_from_store) ||
      (partition != m_unreachable_until.end() && m_now < partition->second);
  if (!m_workers[index]->IsUp() || cut || !store_is_up) {
    const bool silent = m_now - contact.m_last_beat >
                        Duration(kMaxMissingBeats * kBeatInterval);
    contact.m_entry_expired =
        contact.m_entry_expired ||
        (silent && (store_is_up || m_outage_expires_entries));
    contact.m_entry_back_at = TimePoint::max();
    return;
  }
  contact.m_last_beat = m_now;
  if (contact.m_entry_expired && contact.m_entry_back_at == TimePoint::max()) {
    contact.m_entry_back_at =
        m_now + FaultDuration(milliseconds(0), kMaxEntryReturn);
  }
  if (m_now >= contact.m_entry_back_at) {
    contact.m_entry_expired = false;
    contact.m_entry_back_at = TimePoint::max();
  }
}

bool JobSimulation::IsCut(int worker) const {
  return m_now < m_contacts[static_cast<std::size_t>(worker)].m_cut_until;
}

TimePoint JobSimulation::LossSeenAt(int worker) const {
  const WorkerContact& contact = m_contacts[static_cast<std::size_t>(worker)];
  return contact.m_cut_resets
             ? contact.m_loss_seen_at
             : std::max(contact.m_loss_seen_at, contact.m_cut_until);
}

}  // namespace hyssopspar::jobs
