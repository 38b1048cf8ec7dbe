#include "job_state/job_world.h"

#include <algorithm>
#include <array>
#include <utility>

#include "hyssopspar/jobs/cell_loader.h"
#include "hyssopspar/jobs/records.h"

namespace hyssopspar::jobs {

namespace {

/// Period in which jobs arrive and faults are injected.
constexpr milliseconds kFaultPeriod{40000};
/// Time without faults afterwards, in which all jobs must end.
constexpr milliseconds kSettleTime{60000};
/// Time after which an order without an answer fails at its owner.
constexpr milliseconds kOrderTimeout{1000};
/// One worker in this many crashes in a crash of a group.
constexpr int kGroupDivisor = 7;
constexpr milliseconds kGroupDowntime{1000};
/// Run time of a task that crashes its worker.
constexpr milliseconds kCrashingRunTime{10000};
/// Time within which an owner notices that a worker's process has ended.
constexpr milliseconds kConnectionCheck{20};
/// Time between reads of the store by an owner that decides at deadlines.
constexpr milliseconds kStorePollInterval{400};
/// Time after which an append without an answer fails.
constexpr milliseconds kStoreTimeout{1500};
/// Time for which an owner that has lost the store may still send starts and
/// heartbeats.
constexpr milliseconds kOwnershipLease{6000};
/// Without faults, no task of a job may start later than this after the job was
/// cancelled.
constexpr milliseconds kMaxStartAfterCancel{3000};
constexpr std::uint32_t kMaxAttempts = 4;
/// Time after which a shrunk capacity counts for new runs.
constexpr milliseconds kShrinkNotice{3000};
/// A task under which this many workers have crashed may be given up.
constexpr std::uint32_t kCrashesToGiveUp = 2;
/// A task that has crashed this many workers must not be started as often as
/// kMaxStartsAfterLimit again.
constexpr std::uint32_t kCrashesBeforeLimit = 3;
constexpr std::uint32_t kMaxStartsAfterLimit = 3;

bool IsSameEntry(const WorkerEntry& a, const WorkerEntry& b) {
  return a.m_incarnation_unix_ms == b.m_incarnation_unix_ms &&
         a.m_capacity.m_cpu_milli == b.m_capacity.m_cpu_milli &&
         a.m_capacity.m_memory_mib == b.m_capacity.m_memory_mib;
}

const StepPlan& StepOfTask(const Submission& job, const TaskName& task) {
  return job.m_plan.m_steps[task.m_step];
}

bool HasLongRunningStep(const Submission& job) {
  return std::any_of(job.m_plan.m_steps.begin(), job.m_plan.m_steps.end(),
                     [](const StepPlan& step) { return step.m_long_running; });
}

bool IsTaskOf(const std::string& task, const std::string& job_id) {
  return task.compare(0, job_id.size() + 1, job_id + ".") == 0;
}
/// Labels of workers that may change when they restart.
constexpr std::array<const char*, 2> kKinds = {"a", "b"};
/// Time within which all members of a gang must run.
constexpr milliseconds kGangFormationTimeout{3000};
/// Time for which a complete gang runs.
constexpr milliseconds kGangWorkTime{800};
constexpr milliseconds kTicketValidity{900};
/// Processing time of the adviser.
constexpr milliseconds kAdviserDelay{60};
/// Share of the adviser's answers that are lost during the fault period.
constexpr double kLostAdviceShare = 0.1;

}  // namespace

struct JobSimulation::Owner {
  std::unique_ptr<Cell> m_cell;
  std::uint64_t m_epoch = 0;
  CellLoader m_loader;
  std::size_t m_job_records_applied = 0;  ///< Number of m_job_records.
  bool m_active = true;                   ///< False once killed or fenced.
  bool m_loaded = false;                  ///< Stored progress has been applied.
  TimePoint m_store_unreachable_until;
  /// Workers that only this owner cannot reach, and that its worker list lacks,
  /// until m_partition_end.
  std::set<int> m_partitioned_workers;
  TimePoint m_partition_end;
  TimePoint m_views_current_at;
  TimePoint m_decide_at = TimePoint::max();  ///< Next scheduled decision.
  /// Entry of each worker that the owner was last given; none while the list
  /// lacks the worker.
  std::map<int, WorkerEntry> m_listed;
};

JobSimulation::JobSimulation(const JobSimulationOptions& options)
    : m_options(options),
      m_random(options.m_seed),
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
    SimulatedWorker* const worker = m_workers.back().get();
    worker->m_on_end = [this](const SimulatedRun& run, EndCause cause) {
      if (StepOfTask(m_jobs.at(run.m_task.m_job), run.m_task).m_long_running) {
        return;
      }
      if (cause == EndCause::kDone) {
        m_succeeded_tasks.insert(ToString(run.m_task));
      } else if (cause == EndCause::kFailed) {
        ++m_failures[ToString(run.m_task)];
      }
    };
    worker->m_on_acknowledged = [this](const EndedRun& run) {
      if (StepOfTask(m_jobs.at(run.m_task.m_job), run.m_task).m_long_running) {
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
  if (step.m_long_running) {
    behavior.m_will_fail = RandomBool(0.5);
    behavior.m_run_time = m_now < m_faults_end
                              ? milliseconds(100 + m_random() % 10000)
                              : kFaultPeriod + kSettleTime;
  }
  behavior.m_runs_until_gang_ends = step.m_gang;
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

bool JobSimulation::IsCrashing(const std::string& task) const {
  const std::size_t hash =
      std::hash<std::string>()(task + "/" + std::to_string(m_options.m_seed));
  return static_cast<double>(hash % 10000) <
         10000 * m_options.m_crashing_task_share;
}

void JobSimulation::CrashUnder(SimulatedWorker* worker,
                               const StartOrder& order) {
  const std::string name = ToString(order.m_task);
  const std::uint32_t crashes = m_crashes[name];
  if (crashes >= kCrashesBeforeLimit &&
      ++m_starts_after_third_crash[name] >= kMaxStartsAfterLimit) {
    ReportViolation("task started again after it crashed three workers: " +
                    name);
  }
  ScheduleAfter(milliseconds(m_random() % 300),
                [this, worker, name, run = order.m_run] {
                  worker->Advance(m_now);
                  const auto it = worker->Runs().find(name);
                  if (it == worker->Runs().end() || it->second.m_run != run) {
                    return;
                  }
                  CrashWorker(std::stoi(worker->Entry().m_id.substr(1)),
                              milliseconds(500 + m_random() % 4000));
                });
}

bool JobSimulation::HasUsedAllAttempts(const std::string& job_id) const {
  return std::any_of(
      m_failures.begin(), m_failures.end(), [&](const auto& entry) {
        return IsTaskOf(entry.first, job_id) && entry.second >= kMaxAttempts;
      });
}

bool JobSimulation::MayHaveFailed(const std::string& job_id) const {
  return HasUsedAllAttempts(job_id) ||
         std::any_of(m_crashes.begin(), m_crashes.end(),
                     [&](const auto& entry) {
                       return IsTaskOf(entry.first, job_id) &&
                              entry.second >= kCrashesToGiveUp;
                     });
}

std::size_t JobSimulation::FailedWithoutCrashingTask() const {
  return static_cast<std::size_t>(
      std::count_if(m_jobs.begin(), m_jobs.end(), [this](const auto& job) {
        const bool has_crashing_task = std::any_of(
            m_crashes.begin(), m_crashes.end(), [&](const auto& entry) {
              return IsTaskOf(entry.first, job.first) &&
                     IsCrashing(entry.first);
            });
        return m_current_owner->m_cell->StateOf(job.first) ==
                   JobState::kFailed &&
               !has_crashing_task && !HasUsedAllAttempts(job.first);
      }));
}

void JobSimulation::CrashWorker(int worker, Duration downtime) {
  SimulatedWorker* const crashed =
      m_workers[static_cast<std::size_t>(worker)].get();
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
  const auto partition = m_unreachable_until.find(worker);
  const bool partitioned_from_all =
      partition != m_unreachable_until.end() && m_now < partition->second;
  return partitioned_from_all ||
         (m_now < owner.m_partition_end &&
          owner.m_partitioned_workers.count(worker) > 0);
}

void JobSimulation::StartNewOwner() {
  m_owners.push_back(std::make_unique<Owner>());
  Owner* const owner = m_owners.back().get();
  m_current_owner = owner;
  owner->m_epoch = m_owners.size();
  CellSettings settings;
  settings.m_epoch = owner->m_epoch;
  // 98 percent of real time is the lowest rate of a worker's clock.
  settings.m_inherited_lease_deadline =
      m_now + kOwnershipLease + settings.m_lease * 100 / 98;
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
    } else if (m_workers[i]->IsUp() && (listed == owner->m_listed.end() ||
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
  return owner == m_current_owner && owner->m_loaded &&
         UpdateOwnerInputs(owner);
}

void JobSimulation::PollStore(Owner* owner) {
  if (!owner->m_active) {
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
      DispatchActions(owner);
    }
  });
}

void JobSimulation::DispatchActions(Owner* owner) {
  if (!owner->m_active || owner->m_cell->IsFenced()) {
    owner->m_active = false;
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

template <class Answer>
void JobSimulation::DeliverOrder(
    Owner* owner,
    int worker,
    std::function<Answer()> deliver,
    std::function<void(const Result<Answer>&)> answered) {
  const auto fail_with_timeout = [this, owner, answered] {
    ScheduleAfter(kOrderTimeout, [this, owner, answered] {
      if (owner->m_active) {
        answered(Fail(ErrorCode::kTimeout, "no answer"));
        DispatchActions(owner);
      }
    });
  };
  SimulatedWorker* const target =
      m_workers[static_cast<std::size_t>(worker)].get();
  const bool faulty = m_options.m_faults && m_now < m_faults_end;
  if (faulty && RandomBool(m_options.m_delayed_order_share)) {
    const std::int64_t incarnation = target->Entry().m_incarnation_unix_ms;
    ScheduleAfter(milliseconds(2000 + m_random() % 10000),
                  [target, incarnation, deliver] {
                    if (target->IsUp() &&
                        target->Entry().m_incarnation_unix_ms == incarnation) {
                      deliver();
                    }
                  });
    fail_with_timeout();
    return;
  }
  ScheduleAfter(RandomNetworkDelay(), [this, owner, worker, target, deliver,
                                       answered, fail_with_timeout] {
    if (IsUnreachable(*owner, worker) || IsSilent(worker)) {
      fail_with_timeout();
      return;
    }
    if (!target->IsUp()) {
      ScheduleAfter(RandomNetworkDelay(), [this, owner, answered] {
        if (owner->m_active) {
          answered(Fail(ErrorCode::kConnectionLost, "connection reset"));
          DispatchActions(owner);
        }
      });
      return;
    }
    const Answer answer = deliver();
    ScheduleAfter(RandomNetworkDelay(), [this, owner, answered, answer] {
      if (owner->m_active) {
        answered(answer);
        DispatchActions(owner);
      }
    });
  });
}

std::map<std::string, SimulatedWorker*> JobSimulation::RunningGangMembers(
    const StartOrder& order) {
  std::map<std::string, SimulatedWorker*> members;
  TaskName name = order.m_task;
  const StepPlan& step = m_jobs.at(name.m_job).m_plan.m_steps[name.m_step];
  for (name.m_index = 0; name.m_index < step.m_tasks; ++name.m_index) {
    for (const std::unique_ptr<SimulatedWorker>& worker : m_workers) {
      const auto run = worker->Runs().find(ToString(name));
      if (run != worker->Runs().end() && run->second.m_run == order.m_run) {
        members[run->first] = worker.get();
      }
    }
  }
  return members;
}

void JobSimulation::OnGangMemberStarted(const StartOrder& order) {
  TaskName gang = order.m_task;
  gang.m_index = 0;
  const std::string name = ToString(gang) + "/" + std::to_string(order.m_run);
  const StepPlan& step = m_jobs.at(gang.m_job).m_plan.m_steps[gang.m_step];
  const std::map<std::string, SimulatedWorker*> members =
      RunningGangMembers(order);
  if (members.size() == step.m_tasks) {
    m_complete_gangs.insert(name);
    const Duration work_time = step.m_long_running && m_now >= m_faults_end
                                   ? Duration(kFaultPeriod + kSettleTime)
                                   : Duration(kGangWorkTime);
    for (const auto& member : members) {
      member.second->CompleteAt(member.first, m_now + work_time);
    }
  } else if (members.size() == 1) {
    ScheduleAfter(kGangFormationTimeout, [this, job = gang.m_job, name] {
      if (m_complete_gangs.count(name) == 0 && m_cancel_times.count(job) == 0) {
        ReportViolation("gang not complete in time: " + name);
      }
    });
  }
}

void JobSimulation::Execute(Owner* owner, const StartAction& action) {
  if (m_options.m_unsent_start_share > 0 &&
      RandomBool(m_options.m_unsent_start_share)) {
    ScheduleAfter(kOrderTimeout, [this, owner, action] {
      owner->m_cell->OnStartAnswer(
          action, Fail(ErrorCode::kNotSent, "no connection"), m_now);
      DispatchActions(owner);
    });
    return;
  }
  SimulatedWorker* const target =
      m_workers[static_cast<std::size_t>(
                    std::stoi(action.m_target.m_id.substr(1)))]
          .get();
  CheckLabel(*owner, action, *target);
  DeliverOrder<StartAnswer>(
      owner, std::stoi(action.m_target.m_id.substr(1)),
      [this, target, order = action.m_order] {
        const std::string name = ToString(order.m_task);
        target->Advance(m_now);
        if (m_options.m_tickets_required &&
            !m_adviser.AcceptsTicket(order, target->Entry(), m_now)) {
          return StartAnswer::kNoTicket;
        }
        const bool already_running = target->Runs().count(name) > 0;
        const StartAnswer answer =
            target->Start(order, BehaviorOf(order.m_task), m_now);
        if (!already_running && target->Runs().count(name) > 0) {
          CheckNewRun(target, order);
          const Submission& job = m_jobs.at(order.m_task.m_job);
          if (job.m_plan.m_steps[order.m_task.m_step].m_gang) {
            OnGangMemberStarted(order);
          }
        }
        return answer;
      },
      [this, owner, action](const Result<StartAnswer>& answer) {
        owner->m_cell->OnStartAnswer(action, answer, m_now);
      });
}

void JobSimulation::Execute(Owner* owner, const AdviseAction& action) {
  std::vector<WorkerEntry> workers;
  for (const AdviceCandidate& candidate : action.m_candidates) {
    const std::size_t index =
        static_cast<std::size_t>(std::stoi(candidate.m_id.substr(1)));
    workers.push_back(m_workers[index]->Entry());
  }
  const bool lost = m_now < m_faults_end && RandomBool(kLostAdviceShare);
  const TicketsByWorker advised =
      m_adviser.IssueTickets(action.m_step, workers, m_now);
  ScheduleAfter(kAdviserDelay + RandomNetworkDelay(), [this, owner, action,
                                                       lost, advised] {
    if (!owner->m_active) {
      return;
    }
    if (lost) {
      owner->m_cell->OnAdvice(action, Fail(ErrorCode::kTimeout, "answer lost"),
                              m_now);
    } else {
      owner->m_cell->OnAdvice(action, advised, m_now);
    }
    DispatchActions(owner);
  });
}

void JobSimulation::Execute(Owner* owner, const StopAction& action) {
  const int worker = std::stoi(action.m_target.m_id.substr(1));
  SimulatedWorker* const target =
      m_workers[static_cast<std::size_t>(worker)].get();
  DeliverOrder<ErrorCode>(
      owner, worker,
      [this, target, order = action.m_order] {
        const Result<void> stopped = target->Stop(order, m_now);
        return stopped ? ErrorCode::kInvalidArgument : stopped.error().m_code;
      },
      [this, owner, action](const Result<ErrorCode>& code) {
        Result<void> answer = Ok();
        if (!code) {
          answer = code.error();
        } else if (code.value() == ErrorCode::kFenced) {
          answer = Fail(ErrorCode::kFenced, "older epoch");
        }
        owner->m_cell->OnStopAnswer(action, answer, m_now);
      });
}

void JobSimulation::Execute(Owner* /*owner*/,
                            const ThrottleAction& /*action*/) {}

void JobSimulation::Execute(Owner* owner, const HeartbeatAction& action) {
  const int worker = std::stoi(action.m_target.m_id.substr(1));
  SimulatedWorker* const target =
      m_workers[static_cast<std::size_t>(worker)].get();
  // A worker that waits for a run to end answers within m_wait; this simulation
  // answers after a fifth of it.
  const milliseconds wait = action.m_order.m_wait / 5;
  DeliverOrder<std::shared_ptr<Result<HeartbeatReport>>>(
      owner, worker,
      [this, target, order = action.m_order] {
        return std::make_shared<Result<HeartbeatReport>>(
            target->ExchangeHeartbeat(order, m_now));
      },
      [this, owner, action,
       wait](const Result<std::shared_ptr<Result<HeartbeatReport>>>& answer) {
        const Result<HeartbeatReport> report =
            answer ? *answer.value() : Result<HeartbeatReport>(answer.error());
        AnswerHeartbeat(owner, action, report, m_now + wait);
      });
}

void JobSimulation::AnswerHeartbeat(Owner* owner,
                                    const HeartbeatAction& action,
                                    const Result<HeartbeatReport>& report,
                                    TimePoint at) {
  const int worker = std::stoi(action.m_target.m_id.substr(1));
  ScheduleAfter(std::min<Duration>(kConnectionCheck, at - m_now), [=] {
    if (!owner->m_active) {
      return;
    }
    const bool lost = report &&
                      !m_workers[static_cast<std::size_t>(worker)]->IsUp() &&
                      !IsSilent(worker);
    if (!lost && m_now < at) {
      AnswerHeartbeat(owner, action, report, at);
      return;
    }
    owner->m_cell->OnHeartbeatAnswer(
        action,
        lost ? Result<HeartbeatReport>(
                   Fail(ErrorCode::kConnectionLost, "connection reset"))
             : report,
        m_now);
    DispatchActions(owner);
  });
}

void JobSimulation::Execute(Owner* owner, const StoreAction& action) {
  const auto answer = [this, owner, batch = action.m_batch](
                          Duration delay, const Result<Offset>& result) {
    ScheduleAfter(delay, [this, owner, batch, result] {
      if (owner->m_active) {
        owner->m_cell->OnStored(batch, result, m_now);
        DispatchActions(owner);
      }
    });
  };
  ScheduleAfter(RandomNetworkDelay(), [this, owner, action, answer] {
    if (m_now < m_store_down_until ||
        m_now < owner->m_store_unreachable_until) {
      answer(kStoreTimeout, Fail(ErrorCode::kTimeout, "store unreachable"));
      return;
    }
    if (owner->m_epoch < m_store_epoch) {
      answer(RandomNetworkDelay(), Fail(ErrorCode::kFenced, "older epoch"));
      return;
    }
    if (m_now < m_store_refuses_until) {
      answer(RandomNetworkDelay(),
             Fail(ErrorCode::kInvalidArgument, "refused for a while"));
      return;
    }
    if (action.m_batch == m_store_sequence + 1) {
      m_store_sequence = action.m_batch;
      for (const KeyedRecord& record : action.m_records) {
        m_progress[record.m_key] = record.m_value.value_or("");
      }
    }
    const bool lost =
        m_options.m_faults && m_now < m_faults_end && RandomBool(0.03);
    if (lost) {
      answer(kStoreTimeout, Fail(ErrorCode::kTimeout, "answer lost"));
    } else {
      answer(RandomNetworkDelay(), Offset{0});
    }
  });
}

/// Replaces the records in place, which is equivalent to an append because the
/// store keeps only the newest record of each key.
void JobSimulation::Execute(Owner* /*owner*/,
                            const TombstoneJobsAction& action) {
  for (const std::string& id : action.m_jobs) {
    for (KeyedRecord& record : m_job_records) {
      if (record.m_key == id) {
        record.m_value = kTombstoneValue;
      }
    }
  }
}

void JobSimulation::Execute(Owner* /*owner*/,
                            const DropJobsAction& /*action*/) {}

void JobSimulation::CheckNewRun(SimulatedWorker* worker,
                                const StartOrder& order) {
  ++m_starts;
  const std::string name = ToString(order.m_task);
  if (IsCrashing(name)) {
    CrashUnder(worker, order);
  }
  CheckCapacity(*worker);
  for (const std::unique_ptr<SimulatedWorker>& other : m_workers) {
    other->Advance(m_now);
    if (other.get() != worker && other->IsUp() &&
        other->Runs().count(name) > 0) {
      ReportViolation("task runs on two workers at once: " + name);
    }
  }
  if (m_acknowledged_successes.count(name) > 0) {
    ReportViolation("task started after its completion was acknowledged: " +
                    name);
  }
  if (m_acknowledged_failures[name] >= kMaxAttempts) {
    ReportViolation("task started after its last attempt failed: " + name);
  }
  const Submission& job = m_jobs.at(order.m_task.m_job);
  for (const std::uint32_t dependency :
       job.m_plan.m_steps[order.m_task.m_step].m_depends_on) {
    for (std::uint32_t i = 0; i < job.m_plan.m_steps[dependency].m_tasks; ++i) {
      if (m_succeeded_tasks.count(
              ToString(TaskName{job.m_id, 0, dependency, i})) == 0) {
        ReportViolation(
            "task started before the steps it depends on completed: " + name);
      }
    }
  }
  const auto cancelled = m_cancel_times.find(job.m_id);
  if (!m_options.m_faults && cancelled != m_cancel_times.end() &&
      m_now > cancelled->second + kMaxStartAfterCancel) {
    ReportViolation("task of a cancelled job started: " + name);
  }
}

void JobSimulation::CheckLabel(const Owner& owner,
                               const StartAction& action,
                               const SimulatedWorker& worker) {
  const TaskName& task = action.m_order.m_task;
  const std::string& label =
      m_jobs.at(task.m_job).m_plan.m_steps[task.m_step].m_label;
  const WorkerEntry& entry = worker.Entry();
  const Worker& known =
      owner.m_cell->Workers()[static_cast<std::size_t>(action.m_worker)];
  if (!label.empty() &&
      known.m_incarnation_unix_ms == entry.m_incarnation_unix_ms &&
      std::find(entry.m_labels.begin(), entry.m_labels.end(), label) ==
          entry.m_labels.end()) {
    ReportViolation("start sent to a worker without its label: " +
                    ToString(task));
  }
}

void JobSimulation::CheckCapacity(const SimulatedWorker& worker) {
  Resources used;
  std::map<std::string, std::uint32_t> step_tasks;
  for (const auto& entry : worker.Runs()) {
    used += entry.second.m_behavior.m_resources;
    const TaskName& task = entry.second.m_task;
    const StepPlan& step = m_jobs.at(task.m_job).m_plan.m_steps[task.m_step];
    const std::uint32_t count =
        ++step_tasks[task.m_job + "." + std::to_string(task.m_step)];
    if (step.m_max_tasks_per_worker > 0 &&
        count > step.m_max_tasks_per_worker) {
      ReportViolation("per-worker limit of a step exceeded on " +
                      worker.Entry().m_id);
    }
  }
  if (!Fits(used, worker.HighestCapacitySince(m_now - kShrinkNotice))) {
    ReportViolation("capacity exceeded on " + worker.Entry().m_id);
  }
}

std::size_t JobSimulation::Completed() const {
  std::size_t completed = 0;
  for (const auto& entry : m_jobs) {
    completed +=
        m_current_owner->m_cell->StateOf(entry.first) == JobState::kCompleted
            ? 1
            : 0;
  }
  return completed;
}

void JobSimulation::CheckLongRunningJob(const Submission& job) {
  const std::optional<JobState> state =
      m_current_owner->m_cell->StateOf(job.m_id);
  if (state == JobState::kFailed && HasUsedAllAttempts(job.m_id)) {
    return;
  }
  if (state != JobState::kRunning) {
    ReportViolation("job that lasts is not running: " + job.m_id);
    return;
  }
  const std::vector<StepPlan>& steps = job.m_plan.m_steps;
  for (std::uint32_t s = 0; s < steps.size(); ++s) {
    for (std::uint32_t i = 0; steps[s].m_long_running && i < steps[s].m_tasks;
         ++i) {
      const std::string name = ToString(TaskName{job.m_id, 0, s, i});
      const bool runs =
          std::any_of(m_workers.begin(), m_workers.end(),
                      [&name](const std::unique_ptr<SimulatedWorker>& worker) {
                        return worker->Runs().count(name) > 0;
                      });
      if (!runs) {
        ReportViolation("task that lasts does not run: " + name);
      }
    }
  }
}

void JobSimulation::CheckFinalStates() {
  for (const auto& entry : m_jobs) {
    if (HasLongRunningStep(entry.second) &&
        m_cancel_times.count(entry.first) == 0) {
      CheckLongRunningJob(entry.second);
      continue;
    }
    const std::optional<JobState> state =
        m_current_owner->m_cell->StateOf(entry.first);
    if (!state || !IsTerminal(*state)) {
      ReportViolation("job not in a terminal state: " + entry.first);
      continue;
    }
    if (m_cancel_times.count(entry.first) == 0 &&
        *state == JobState::kCancelled) {
      ReportViolation("job cancelled without a request: " + entry.first);
    }
    if (*state == JobState::kFailed && !MayHaveFailed(entry.first)) {
      ReportViolation("job failed without a cause: " + entry.first);
    }
    if (*state != JobState::kCompleted) {
      continue;
    }
    const std::vector<StepPlan>& steps = entry.second.m_plan.m_steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      for (std::uint32_t i = 0; i < steps[s].m_tasks; ++i) {
        const std::string name = ToString(TaskName{entry.first, 0, s, i});
        if (m_succeeded_tasks.count(name) == 0) {
          ReportViolation("job completed without a successful run of " + name);
        }
      }
    }
  }
}

void JobSimulation::Run() {
  AddWorkers();
  StartNewOwner();
  ScheduleJobs();
  if (m_options.m_faults) {
    ScheduleFaults();
  }
  ScheduleStoreRefusals();
  ScheduleGroupCrashes();
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
