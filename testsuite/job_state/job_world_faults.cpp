// Faults of the simulated workers, owners and store.

#include <algorithm>

#include "job_state/job_world_internal.h"

namespace hyssopspar::jobs {

namespace {

/// One worker in this many crashes in a crash of a group.
constexpr int kGroupDivisor = 7;
constexpr milliseconds kGroupDowntime{1000};

}  // namespace

void JobSimulation::CrashWorker(int worker, Duration downtime) {
  SimulatedWorker* const crashed =
      m_workers[static_cast<std::size_t>(worker)].get();
  if (!crashed->IsUp() && !m_options.m_misobserved.IsOff()) {
    return;
  }
  crashed->Advance(m_now);
  for (const auto& run : crashed->Runs()) {
    ++m_crashes[run.first];
  }
  crashed->Crash();
  ScheduleAfter(downtime, [this, worker, crashed] {
    crashed->Restart(m_now);
    m_silent_workers.erase(worker);
    // Half of the workers of each kind stay as they are.
    if (m_options.m_workers_change_kind && worker % 4 < 2) {
      crashed->SetLabels({kKinds[m_random() % 2]});
    }
  });
}

void JobSimulation::ScheduleCapacityChanges() {
  for (const std::unique_ptr<SimulatedWorker>& worker : m_workers) {
    const Resources full = worker->Entry().m_capacity;
    for (int i = 0; i < 4; ++i) {
      const Duration when = milliseconds(m_random() % kFaultPeriod.count());
      const auto percent = static_cast<std::int64_t>(20 + m_random() % 60);
      const Resources shrunk{full.m_cpu_milli * percent / 100,
                             full.m_memory_mib * percent / 100, 0};
      ScheduleAfter(when, [this, target = worker.get(), shrunk] {
        target->SetCapacity(shrunk, m_now);
      });
      ScheduleAfter(when + milliseconds(1000 + m_random() % 8000),
                    [this, target = worker.get(), full] {
                      target->SetCapacity(full, m_now);
                    });
    }
  }
}

void JobSimulation::ScheduleFaults() {
  for (int i = 0; i < m_options.m_fault_count; ++i) {
    const Duration when = milliseconds(1000 + m_random() % 36000);
    const int worker = static_cast<int>(m_random() % m_workers.size());
    const Duration duration = milliseconds(500 + m_random() % 7000);
    switch (m_random() % 5) {
      case 0:
        ScheduleAfter(when, [this, worker, duration] {
          // Half of the lost machines reset no connections.
          if (RandomBool(0.5)) {
            m_silent_workers.insert(worker);
          }
          CrashWorker(worker, duration);
        });
        break;
      case 1:
        ScheduleAfter(when, [this, worker, duration] {
          m_unreachable_until[worker] = m_now + duration;
        });
        break;
      case 2:
        ScheduleAfter(
            when, [this, duration] { m_store_down_until = m_now + duration; });
        break;
      case 3:  // The owner is killed and replaced.
        ScheduleAfter(when, [this] {
          m_current_owner->m_active = false;
          StartNewOwner();
        });
        break;
      default:  // The owner loses the store and is replaced while still active.
        ScheduleAfter(when, [this, duration] {
          m_current_owner->m_store_unreachable_until = m_now + duration;
          m_current_owner->m_cell->SetOwnershipLeaseDeadline(m_now +
                                                             kOwnershipLease);
          StartNewOwner();
          PartitionWorkersFromNewOwner(duration);
        });
        break;
    }
  }
}

void JobSimulation::ScheduleStoreRefusals() {
  for (int i = 0; i < m_options.m_store_refusals; ++i) {
    ScheduleAfter(kFaultPeriod * i / m_options.m_store_refusals, [this] {
      m_store_refuses_until =
          m_now + milliseconds(500 + static_cast<int>(m_random() % 4500));
    });
  }
}

void JobSimulation::ScheduleGroupCrashes() {
  for (int i = 0; i < m_options.m_group_crashes; ++i) {
    ScheduleAfter(kFaultPeriod * i / m_options.m_group_crashes, [this] {
      for (int n = 0; n < m_options.m_workers / kGroupDivisor; ++n) {
        const int worker = static_cast<int>(
            m_random() % static_cast<std::uint64_t>(m_options.m_workers));
        if (m_workers[static_cast<std::size_t>(worker)]->IsUp()) {
          CrashWorker(worker, kGroupDowntime);
        }
      }
    });
  }
}

/// In half of the cases, the partition that separates the old owner from the
/// store also separates every other worker from the store and the new owner,
/// while the old owner still reaches them.
void JobSimulation::PartitionWorkersFromNewOwner(Duration duration) {
  if (RandomBool(0.5)) {
    return;
  }
  m_current_owner->m_partition_end = m_now + duration;
  for (std::size_t i = 0; i < m_workers.size(); i += 2) {
    m_current_owner->m_partitioned_workers.insert(static_cast<int>(i));
  }
}

bool JobSimulation::IsSilent(int worker) const {
  return m_silent_workers.count(worker) > 0;
}

bool JobSimulation::IsUnreachable(const Owner& owner, int worker) const {
  if (IsCut(worker)) {
    return true;
  }
  const auto partition = m_unreachable_until.find(worker);
  const bool partitioned_from_all =
      partition != m_unreachable_until.end() && m_now < partition->second;
  return partitioned_from_all ||
         (m_now < owner.m_partition_end &&
          owner.m_partitioned_workers.count(worker) > 0);
}

}  // namespace hyssopspar::jobs
