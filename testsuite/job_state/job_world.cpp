#include "job_state/job_world.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/jobs/records.h"
#include "job_state/job_world_internal.h"

namespace hyssopspar::jobs {

namespace {

/// Time without faults afterwards, in which all jobs must end.
/// Run time of a task that crashes its worker.
constexpr milliseconds kCrashingRunTime{10000};
/// Time between reads of the store by an owner that decides at deadlines.
constexpr milliseconds kStorePollInterval{400};

bool IsSameEntry(const WorkerEntry& a, const WorkerEntry& b) {
  return a.m_incarnation_unix_ms == b.m_incarnation_unix_ms &&
         a.m_capacity.m_cpu_milli == b.m_capacity.m_cpu_milli &&
         a.m_capacity.m_memory_mib == b.m_capacity.m_memory_mib &&
         a.m_leaving == b.m_leaving;
}

/// Separates the two generators of random numbers.
constexpr std::uint64_t kFaultSeed = 0x9e3779b97f4a7c15;

bool IsLongRunning(const Submission& job, const TaskName& task) {
  return job.m_plan.m_steps[task.m_step].m_long_running;
}

}  // namespace

JobSimulation::JobSimulation(const JobSimulationOptions& options)
    : m_options(options),
      m_random(options.m_seed),
      m_fault_random(options.m_seed ^ kFaultSeed),
      m_now(std::chrono::hours(1)),
      m_faults_end(m_now + kFaultPeriod),
      m_adviser(kTicketValidity) {}

JobSimulation::~JobSimulation() = default;

void JobSimulation::ScheduleAfter(Duration delay, std::function<void()> event) {
  m_events.emplace(m_now + delay, std::move(event));
}

Duration JobSimulation::RandomNetworkDelay() {
  return microseconds(500 + m_random() % 6000);
}

bool JobSimulation::RandomBool(double probability) {
  return std::uniform_real_distribution<double>()(m_random) < probability;
}

void JobSimulation::ReportViolation(const std::string& what) {
  m_violations.push_back(std::to_string(ToMillis(m_now.time_since_epoch())) +
                         " ms: " + what);
}

void JobSimulation::AddWorkers() {
  for (int i = 0; i < m_options.m_workers; ++i) {
    WorkerEntry entry;
    entry.m_id = "w" + std::to_string(i);
    entry.m_address = entry.m_id;
    entry.m_service = "pool";
    entry.m_failure_domain = i % 2 == 0 ? "east" : "west";
    entry.m_capacity = {16000, 32000, 0};
    entry.m_incarnation_unix_ms = 1;
    if (m_options.m_workers_change_kind) {
      entry.m_labels = {kKinds[i % 2]};
    }
    const double rate = 0.98 + 0.02 * static_cast<double>(i % 3) / 2;
    m_workers.push_back(std::make_unique<SimulatedWorker>(entry, rate, m_now));
    m_contacts.emplace_back();
    m_contacts.back().m_last_beat = m_now;
    SimulatedWorker* const worker = m_workers.back().get();
    if (m_options.m_delayed_orders_outlive_workers) {
      worker->SetLatestClockStart(std::chrono::hours(2));
    }
    worker->m_on_end = [this](const SimulatedRun& run, EndCause cause) {
      if (IsLongRunning(m_jobs.at(run.m_task.m_job), run.m_task)) {
        return;
      }
      if (cause == EndCause::kDone) {
        m_succeeded_tasks.insert(ToString(run.m_task));
      } else if (cause == EndCause::kFailed) {
        ++m_failures[ToString(run.m_task)];
      }
    };
    worker->m_on_acknowledged = [this](const EndedRun& run) {
      if (IsLongRunning(m_jobs.at(run.m_task.m_job), run.m_task)) {
        return;
      }
      if (run.m_cause == EndCause::kDone) {
        m_acknowledged_successes.insert(ToString(run.m_task));
      } else if (run.m_cause == EndCause::kFailed) {
        ++m_acknowledged_failures[ToString(run.m_task)];
      }
    };
  }
}

Submission JobSimulation::RandomJob(int number) {
  Submission job;
  job.m_id = "job" + std::to_string(number);
  job.m_accepted_unix_ms = number;
  job.m_queue.m_name = "queue";
  job.m_queue.m_service = "pool";
  if (!m_tenants.empty()) {
    const std::size_t sender = static_cast<std::size_t>(number);
    job.m_tenant =
        m_tenants[sender % 2 == 0 ? 0 : sender / 2 % m_tenants.size()].m_name;
  }
  job.m_queue.m_max_attempts = kMaxAttempts;
  job.m_queue.m_ticket_validity =
      m_options.m_tickets_required ? kTicketValidity : milliseconds(0);
  const std::size_t steps = 1 + m_random() % 3;
  for (std::size_t s = 0; s < steps; ++s) {
    StepPlan step;
    step.m_tasks = 1 + static_cast<std::uint32_t>(m_random() % 6);
    step.m_size = {1000 + static_cast<std::int64_t>(m_random() % 6000),
                   1000 + static_cast<std::int64_t>(m_random() % 8000), 0};
    step.m_is_best_effort = RandomBool(0.3);
    if (m_options.m_workers_change_kind) {
      step.m_label = RandomBool(0.5) ? kKinds[m_random() % 2] : "";
    }
    step.m_max_tasks_per_worker = RandomBool(0.2) ? 2 : 0;
    if (m_options.m_gangs && RandomBool(0.4)) {
      step.m_gang = true;
      step.m_is_best_effort = false;
      step.m_max_tasks_per_worker = 0;
    }
    if (m_options.m_long_running_share > 0 && s + 1 == steps &&
        RandomBool(m_options.m_long_running_share)) {
      step.m_long_running = true;
      step.m_is_best_effort = false;
      step.m_size.m_cpu_milli = 1000;
      step.m_size.m_memory_mib = 1000;
    }
    if (s > 0 && RandomBool(0.8)) {
      step.m_depends_on.push_back(static_cast<std::uint32_t>(s - 1));
    }
    job.m_plan.m_steps.push_back(step);
  }
  return job;
}

RunBehavior JobSimulation::BehaviorOf(const TaskName& task) {
  const StepPlan& step = m_jobs.at(task.m_job).m_plan.m_steps[task.m_step];
  RunBehavior behavior;
  behavior.m_resources = ReservedResourcesOf(step);
  behavior.m_run_time = milliseconds(100 + m_random() % 2500);
  behavior.m_will_fail = RandomBool(0.05) && !step.m_gang;
  if (IsCrashing(ToString(task))) {
    // It crashes its worker before it ends.
    behavior.m_run_time = kCrashingRunTime;
    behavior.m_will_fail = false;
  }
  const bool ends_at_times =
      step.m_long_running && m_options.m_long_running_share > 0;
  if (ends_at_times) {
    behavior.m_will_fail = RandomBool(0.5);
    behavior.m_run_time = m_now < m_faults_end
                              ? milliseconds(100 + m_random() % 10000)
                              : kFaultPeriod + kSettleTime;
  }
  behavior.m_runs_until_gang_ends =
      step.m_gang || (step.m_long_running && !ends_at_times);
  return behavior;
}

void JobSimulation::ScheduleJobs() {
  for (int i = 0; i < m_options.m_jobs; ++i) {
    const Submission job = RandomJob(i);
    const Duration when = milliseconds(m_random() % kFaultPeriod.count());
    ScheduleAfter(when, [this, job] {
      m_jobs[job.m_id] = job;
      m_job_records.push_back({job.m_id, EncodeSubmission(job)});
    });
    if (RandomBool(0.15)) {
      ScheduleAfter(when + milliseconds(m_random() % 4000), [this, job] {
        m_cancel_times[job.m_id] = m_now;
        m_job_records.push_back({CancelKey(job.m_id), "1"});
      });
    }
  }
}

void JobSimulation::StartNewOwner() {
  m_owners.push_back(std::make_unique<Owner>());
  Owner* const owner = m_owners.back().get();
  m_current_owner = owner;
  owner->m_epoch = m_owners.size();
  CellSettings settings;
  settings.m_epoch = owner->m_epoch;
  settings.m_look_ahead = m_options.m_look_ahead;
  // 98 percent of real time is the lowest rate of a worker's clock.
  settings.m_inherited_lease_deadline =
      m_now + kOwnershipLease + settings.m_lease * 100 / 98;
  settings.m_inherited_orders_until = m_now + kOwnershipLease;
  owner->m_cell = std::make_unique<Cell>(settings, m_now);
  ScheduleAfter(RandomNetworkDelay(),
                [this, owner] { LoadStoredState(owner); });
  if (m_options.m_decide_at_deadlines) {
    ScheduleAfter(kStorePollInterval, [this, owner] { PollStore(owner); });
  }
}

void JobSimulation::LoadStoredState(Owner* owner) {
  if (!owner->m_active || owner != m_current_owner) {
    return;
  }
  if (m_now < m_store_down_until) {
    ScheduleAfter(milliseconds(150), [this, owner] { LoadStoredState(owner); });
    return;
  }
  m_store_epoch = owner->m_epoch;
  m_store_sequence = 0;
  for (const auto& entry : m_progress) {
    owner->m_loader.ApplyProgressRecord({entry.first, entry.second});
  }
  UpdateTenants(owner);
  UpdateOwnerInputs(owner);
  owner->m_loaded = true;
  owner->m_loader.Finish(owner->m_cell.get(), m_now);
  owner->m_cell->Activate(m_now);
  DispatchActions(owner);
}

bool JobSimulation::UpdateOwnerInputs(Owner* owner) {
  bool changed = owner->m_job_records_applied < m_job_records.size();
  for (; owner->m_job_records_applied < m_job_records.size();
       ++owner->m_job_records_applied) {
    owner->m_loader.ApplyJobRecord(m_job_records[owner->m_job_records_applied],
                                   owner->m_cell.get(), m_now);
  }
  for (std::size_t i = 0; i < m_workers.size(); ++i) {
    const WorkerEntry& entry = m_workers[i]->Entry();
    const int index = static_cast<int>(i);
    const auto listed = owner->m_listed.find(index);
    if (m_now < owner->m_partition_end &&
        owner->m_partitioned_workers.count(index) > 0) {
      changed = owner->m_listed.erase(index) > 0 || changed;
      owner->m_cell->RemoveWorker(entry.m_id);
    } else if (m_contacts[i].m_entry_expired) {
      if (listed != owner->m_listed.end()) {
        changed = true;
        owner->m_listed.erase(listed);
        owner->m_cell->RemoveWorker(entry.m_id);
      }
    } else if (m_workers[i]->IsUp() &&
               m_now >= m_contacts[i].m_entry_hidden_until &&
               (listed == owner->m_listed.end() ||
                !IsSameEntry(listed->second, entry))) {
      changed = true;
      owner->m_listed[index] = entry;
      owner->m_cell->SetWorker(entry, m_now);
    }
  }
  return changed;
}

bool JobSimulation::ReadStore(Owner* owner) {
  if (m_now < m_store_down_until || m_now < owner->m_store_unreachable_until) {
    return false;
  }
  owner->m_views_current_at = m_now;
  const bool quotas_changed = UpdateTenants(owner);
  const bool inputs_changed =
      owner == m_current_owner && owner->m_loaded && UpdateOwnerInputs(owner);
  return quotas_changed || inputs_changed;
}

void JobSimulation::PollStore(Owner* owner) {
  if (!owner->m_active) {
    return;
  }
  if (m_now < owner->m_paused_until) {
    ScheduleAfter(owner->m_paused_until - m_now,
                  [this, owner] { PollStore(owner); });
    return;
  }
  if (ReadStore(owner)) {
    DispatchActions(owner);
  }
  ScheduleAfter(kStorePollInterval, [this, owner] { PollStore(owner); });
}

void JobSimulation::ScheduleDecision(Owner* owner) {
  const TimePoint at = std::max(owner->m_cell->NextDeadline(),
                                m_now + Duration(milliseconds(1)));
  if (at == TimePoint::max() ||
      (owner->m_decide_at > m_now && owner->m_decide_at <= at)) {
    return;
  }
  owner->m_decide_at = at;
  ScheduleAfter(at - m_now, [this, owner, at] {
    if (owner->m_decide_at == at) {
      RunAtOwner(owner, [] {});
    }
  });
}

void JobSimulation::DispatchActions(Owner* owner) {
  if (!owner->m_active || owner->m_cell->IsFenced()) {
    owner->m_active = false;
    return;
  }
  if (m_now < owner->m_paused_until) {
    return;
  }
  if (!m_options.m_decide_at_deadlines) {
    ReadStore(owner);
  }
  owner->m_cell->SetViewTimes(owner->m_views_current_at,
                              owner->m_views_current_at);
  owner->m_cell->Tick(m_now);
  for (const Action& action : owner->m_cell->TakeActions()) {
    std::visit([this, owner](const auto& a) { Execute(owner, a); }, action);
  }
  if (m_options.m_decide_at_deadlines) {
    ScheduleDecision(owner);
  }
}

void JobSimulation::RunAtOwner(Owner* owner,
                               const std::function<void()>& event) {
  if (m_now < owner->m_paused_until) {
    ScheduleAfter(owner->m_paused_until - m_now,
                  [this, owner, event] { RunAtOwner(owner, event); });
  } else if (owner->m_active) {
    event();
    DispatchActions(owner);
  }
}

void JobSimulation::Run() {
  AddWorkers();
  AddTenants();
  StartNewOwner();
  ScheduleJobs();
  if (m_options.m_faults) {
    ScheduleFaults();
  }
  ScheduleStoreRefusals();
  ScheduleGroupCrashes();
  ScheduleMisobservedFaults();
  if (m_options.m_capacities_change) {
    ScheduleCapacityChanges();
  }
  const TimePoint end = m_now + kFaultPeriod + kSettleTime;
  std::function<void()> tick = [this, &tick, end] {
    for (const std::unique_ptr<Owner>& owner : m_owners) {
      if (!m_options.m_decide_at_deadlines) {
        DispatchActions(owner.get());
      }
    }
    if (!m_current_owner->m_active) {
      StartNewOwner();
    }
    if (m_now < end) {
      ScheduleAfter(milliseconds(50), tick);
    }
  };
  ScheduleAfter(milliseconds(50), tick);
  while (!m_events.empty() && m_events.begin()->first <= end) {
    const auto next_event = m_events.begin();
    m_now = next_event->first;
    const std::function<void()> event = std::move(next_event->second);
    m_events.erase(next_event);
    event();
  }
  CheckFinalStates();
}

}  // namespace hyssopspar::jobs
