#include "job_state/job_world.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/jobs/cell_loader.h"
#include "hyssopspar/jobs/records.h"

namespace hyssopspar::jobs {

namespace {

constexpr milliseconds kRunTime{40000};
constexpr milliseconds kSettleTime{60000};
constexpr milliseconds kOrderLimit{1000};
constexpr milliseconds kStoreLimit{1500};
constexpr milliseconds kAuthority{6000};
/// Without faults, no task of a job starts later than this after its
/// cancellation.
constexpr milliseconds kCancelLimit{3000};
constexpr std::uint32_t kAttempts = 4;
/// Time that members of a gang wait for the others, and time they work.
constexpr milliseconds kGangWait{3000};
constexpr milliseconds kGangWork{800};
constexpr milliseconds kTicketValidity{900};
/// Time the adviser takes, and share of its answers that are lost.
constexpr milliseconds kAdviceTime{60};
constexpr double kAdviceLost = 0.1;

}  // namespace

struct JobWorld::Owner {
  std::unique_ptr<Cell> m_cell;
  std::uint64_t m_epoch = 0;
  CellLoader m_loader;
  std::size_t m_fed = 0;  ///< Job records passed on.
  bool m_alive = true;
  bool m_loaded = false;  ///< Has what earlier owners stored.
  TimePoint m_store_cut_until;
  /// Workers that this owner alone doesn't reach, and that aren't listed.
  std::set<int> m_cut_workers;
  TimePoint m_workers_cut_until;
};

JobWorld::JobWorld(const JobWorldOptions& options)
    : m_options(options),
      m_random(options.m_seed),
      m_now(std::chrono::hours(1)),
      m_faults_end(m_now + kRunTime),
      m_adviser(kTicketValidity) {}

JobWorld::~JobWorld() = default;

void JobWorld::At(Duration delay, std::function<void()> event) {
  m_events.emplace(m_now + delay, std::move(event));
}

Duration JobWorld::Trip() {
  return microseconds(500 + m_random() % 6000);
}

bool JobWorld::Chance(double share) {
  return std::uniform_real_distribution<double>()(m_random) < share;
}

void JobWorld::Violate(const std::string& what) {
  m_violations.push_back(std::to_string(ToMillis(m_now.time_since_epoch())) +
                         " ms: " + what);
}

void JobWorld::AddWorkers() {
  for (int i = 0; i < m_options.m_workers; ++i) {
    WorkerEntry entry;
    entry.m_id = "w" + std::to_string(i);
    entry.m_address = entry.m_id;
    entry.m_service = "pool";
    entry.m_failure_domain = i % 2 == 0 ? "east" : "west";
    entry.m_capacity = {16000, 32000, 0};
    entry.m_born_unix_ms = 1;
    const double rate = 0.98 + 0.02 * static_cast<double>(i % 3) / 2;
    m_workers.push_back(std::make_unique<WorkerSim>(entry, rate, m_now));
    WorkerSim* const worker = m_workers.back().get();
    worker->m_on_end = [this](const SimRun& run, EndCause cause) {
      if (cause == EndCause::kDone) {
        m_done.insert(ToString(run.m_task));
      }
    };
    worker->m_on_acked = [this](const EndedRow& row) {
      if (row.m_cause == EndCause::kDone) {
        m_noted_done.insert(ToString(row.m_task));
      } else if (row.m_cause == EndCause::kFailed) {
        ++m_noted_failures[ToString(row.m_task)];
      }
    };
  }
}

Submission JobWorld::RandomJob(int number) {
  Submission job;
  job.m_id = "job" + std::to_string(number);
  job.m_accepted_unix_ms = number;
  job.m_queue.m_name = "queue";
  job.m_queue.m_service = "pool";
  job.m_queue.m_max_attempts = kAttempts;
  job.m_queue.m_ticket_validity =
      m_options.m_advised ? kTicketValidity : milliseconds(0);
  const std::size_t steps = 1 + m_random() % 3;
  for (std::size_t s = 0; s < steps; ++s) {
    StepPlan step;
    step.m_tasks = 1 + static_cast<std::uint32_t>(m_random() % 6);
    step.m_size = {1000 + static_cast<std::int64_t>(m_random() % 6000),
                   1000 + static_cast<std::int64_t>(m_random() % 8000), 0};
    step.m_fills_idle = Chance(0.3);
    step.m_per_worker = Chance(0.2) ? 2 : 0;
    if (m_options.m_gangs && Chance(0.4)) {
      step.m_gang = true;
      step.m_fills_idle = false;
      step.m_per_worker = 0;
    }
    if (s > 0 && Chance(0.8)) {
      step.m_after.push_back(static_cast<std::uint32_t>(s - 1));
    }
    job.m_plan.m_steps.push_back(step);
  }
  return job;
}

RunPlan JobWorld::PlanOf(const TaskName& task) {
  const StepPlan& step = m_jobs.at(task.m_job).m_plan.m_steps[task.m_step];
  RunPlan plan;
  plan.m_room = RoomOf(step);
  plan.m_work = milliseconds(100 + m_random() % 2500);
  plan.m_fails = Chance(0.05) && !step.m_gang;
  plan.m_lasts = step.m_gang;
  return plan;
}

void JobWorld::AddJobs() {
  for (int i = 0; i < m_options.m_jobs; ++i) {
    const Submission job = RandomJob(i);
    const Duration when = milliseconds(m_random() % kRunTime.count());
    At(when, [this, job] {
      m_jobs[job.m_id] = job;
      m_job_records.push_back({job.m_id, EncodeSubmission(job)});
    });
    if (Chance(0.15)) {
      At(when + milliseconds(m_random() % 4000), [this, job] {
        m_cancelled[job.m_id] = m_now;
        m_job_records.push_back({CancelKey(job.m_id), "1"});
      });
    }
  }
}

void JobWorld::CrashWorker(int worker, Duration down) {
  m_workers[static_cast<std::size_t>(worker)]->Crash();
  At(down, [this, worker] {
    m_workers[static_cast<std::size_t>(worker)]->Restart(m_now);
  });
}

void JobWorld::AddFaults() {
  for (int i = 0; i < 12; ++i) {
    const Duration when = milliseconds(1000 + m_random() % 36000);
    const int worker = static_cast<int>(m_random() % m_workers.size());
    const Duration span = milliseconds(500 + m_random() % 7000);
    switch (m_random() % 5) {
      case 0:
        At(when, [this, worker, span] { CrashWorker(worker, span); });
        break;
      case 1:
        At(when, [this, worker, span] { m_cut_until[worker] = m_now + span; });
        break;
      case 2:
        At(when, [this, span] { m_store_down_until = m_now + span; });
        break;
      case 3:  // Killed, and replaced.
        At(when, [this] {
          m_current->m_alive = false;
          BeginOwner();
        });
        break;
      default:  // Cut off from the store, and replaced while it acts on.
        At(when, [this, span] {
          m_current->m_store_cut_until = m_now + span;
          m_current->m_cell->SetAuthority(m_now + kAuthority);
          BeginOwner();
          CutFromNewOwner(span);
        });
        break;
    }
  }
}

/// What cut off the old owner may cut workers off from the store and the new
/// owner, while the old one still reaches them.
void JobWorld::CutFromNewOwner(Duration span) {
  if (Chance(0.5)) {
    return;
  }
  m_current->m_workers_cut_until = m_now + span;
  for (std::size_t i = 0; i < m_workers.size(); i += 2) {
    m_current->m_cut_workers.insert(static_cast<int>(i));
  }
}

bool JobWorld::IsCut(const Owner& owner, int worker) const {
  const auto cut = m_cut_until.find(worker);
  const bool from_all = cut != m_cut_until.end() && m_now < cut->second;
  return from_all || (m_now < owner.m_workers_cut_until &&
                      owner.m_cut_workers.count(worker) > 0);
}

void JobWorld::BeginOwner() {
  m_owners.push_back(std::make_unique<Owner>());
  Owner* const owner = m_owners.back().get();
  m_current = owner;
  owner->m_epoch = m_owners.size();
  CellSettings settings;
  settings.m_epoch = owner->m_epoch;
  settings.m_inherited_lease_deadline =
      m_now + kAuthority + settings.m_lease * 100 / 98;
  owner->m_cell = std::make_unique<Cell>(settings, m_now);
  At(Trip(), [this, owner] { LoadOwner(owner); });
}

void JobWorld::LoadOwner(Owner* owner) {
  if (!owner->m_alive || owner != m_current) {
    return;
  }
  if (m_now < m_store_down_until) {
    At(milliseconds(150), [this, owner] { LoadOwner(owner); });
    return;
  }
  m_store_epoch = owner->m_epoch;
  m_store_sequence = 0;
  for (const auto& entry : m_progress) {
    owner->m_loader.EnterProgress({entry.first, entry.second});
  }
  FeedOwner(owner);
  owner->m_loaded = true;
  owner->m_loader.Finish(owner->m_cell.get(), m_now);
  owner->m_cell->Activate(m_now);
  Pump(owner);
}

void JobWorld::FeedOwner(Owner* owner) {
  for (; owner->m_fed < m_job_records.size(); ++owner->m_fed) {
    owner->m_loader.EnterJob(m_job_records[owner->m_fed], owner->m_cell.get(),
                             m_now);
  }
  for (std::size_t i = 0; i < m_workers.size(); ++i) {
    const WorkerSim& worker = *m_workers[i];
    if (m_now < owner->m_workers_cut_until &&
        owner->m_cut_workers.count(static_cast<int>(i)) > 0) {
      owner->m_cell->RemoveWorker(worker.Entry().m_id);
    } else if (worker.IsUp()) {
      owner->m_cell->SetWorker(worker.Entry(), m_now);
    }
  }
}

void JobWorld::Pump(Owner* owner) {
  if (!owner->m_alive || owner->m_cell->IsFenced()) {
    owner->m_alive = false;
    return;
  }
  const bool store_reached =
      m_now >= m_store_down_until && m_now >= owner->m_store_cut_until;
  if (store_reached) {
    if (owner == m_current && owner->m_loaded) {
      FeedOwner(owner);
    }
    owner->m_cell->SetViewTimes(m_now, m_now);
  }
  owner->m_cell->Tick(m_now);
  for (const Action& action : owner->m_cell->TakeActions()) {
    std::visit([this, owner](const auto& a) { Perform(owner, a); }, action);
  }
}

template <class Answer>
void JobWorld::Carry(Owner* owner,
                     int worker,
                     std::function<Answer()> deliver,
                     std::function<void(const Result<Answer>&)> answered) {
  const auto lost = [this, owner, answered] {
    At(kOrderLimit, [this, owner, answered] {
      if (owner->m_alive) {
        answered(Fail(ErrorCode::kTimeout, "no answer"));
        Pump(owner);
      }
    });
  };
  WorkerSim* const sim = m_workers[static_cast<std::size_t>(worker)].get();
  const bool faulty = m_options.m_faults && m_now < m_faults_end;
  if (faulty && Chance(m_options.m_late_share)) {
    const std::int64_t life = sim->Entry().m_born_unix_ms;
    At(milliseconds(2000 + m_random() % 10000), [sim, life, deliver] {
      if (sim->IsUp() && sim->Entry().m_born_unix_ms == life) {
        deliver();
      }
    });
    lost();
    return;
  }
  At(Trip(), [this, owner, worker, sim, deliver, answered, lost] {
    if (!sim->IsUp() || IsCut(*owner, worker)) {
      lost();
      return;
    }
    const Answer answer = deliver();
    At(Trip(), [this, owner, answered, answer] {
      if (owner->m_alive) {
        answered(answer);
        Pump(owner);
      }
    });
  });
}

std::map<std::string, WorkerSim*> JobWorld::GangOf(const StartOrder& order) {
  std::map<std::string, WorkerSim*> members;
  TaskName name = order.m_task;
  const StepPlan& step = m_jobs.at(name.m_job).m_plan.m_steps[name.m_step];
  for (name.m_index = 0; name.m_index < step.m_tasks; ++name.m_index) {
    for (const std::unique_ptr<WorkerSim>& worker : m_workers) {
      const auto run = worker->Runs().find(ToString(name));
      if (run != worker->Runs().end() && run->second.m_run == order.m_run) {
        members[run->first] = worker.get();
      }
    }
  }
  return members;
}

void JobWorld::JoinGang(const StartOrder& order) {
  TaskName gang = order.m_task;
  gang.m_index = 0;
  const std::string name = ToString(gang) + "/" + std::to_string(order.m_run);
  const StepPlan& step = m_jobs.at(gang.m_job).m_plan.m_steps[gang.m_step];
  const std::map<std::string, WorkerSim*> members = GangOf(order);
  if (members.size() == step.m_tasks) {
    m_gangs_met.insert(name);
    for (const auto& member : members) {
      member.second->FinishAt(member.first, m_now + kGangWork);
    }
  } else if (members.size() == 1) {
    At(kGangWait, [this, job = gang.m_job, name] {
      if (m_gangs_met.count(name) == 0 && m_cancelled.count(job) == 0) {
        Violate("gang waited in vain: " + name);
      }
    });
  }
}

void JobWorld::Perform(Owner* owner, const StartAction& action) {
  if (m_options.m_not_sent_share > 0 && Chance(m_options.m_not_sent_share)) {
    At(kOrderLimit, [this, owner, action] {
      owner->m_cell->OnStartAnswer(
          action, Fail(ErrorCode::kNotSent, "no connection"), m_now);
      Pump(owner);
    });
    return;
  }
  WorkerSim* const sim = m_workers[static_cast<std::size_t>(std::stoi(
                                       action.m_target.m_id.substr(1)))]
                             .get();
  Carry<StartAnswer>(
      owner, std::stoi(action.m_target.m_id.substr(1)),
      [this, sim, order = action.m_order] {
        const std::string name = ToString(order.m_task);
        sim->Advance(m_now);
        if (m_options.m_advised &&
            !m_adviser.Admits(order, sim->Entry(), m_now)) {
          return StartAnswer::kNoTicket;
        }
        const bool there = sim->Runs().count(name) > 0;
        const StartAnswer answer =
            sim->Start(order, PlanOf(order.m_task), m_now);
        if (!there && sim->Runs().count(name) > 0) {
          CheckStart(sim, order);
          const Submission& job = m_jobs.at(order.m_task.m_job);
          if (job.m_plan.m_steps[order.m_task.m_step].m_gang) {
            JoinGang(order);
          }
        }
        return answer;
      },
      [this, owner, action](const Result<StartAnswer>& answer) {
        owner->m_cell->OnStartAnswer(action, answer, m_now);
      });
}

void JobWorld::Perform(Owner* owner, const AdviseAction& action) {
  std::vector<WorkerEntry> workers;
  for (const AdviceCandidate& candidate : action.m_candidates) {
    const std::size_t index =
        static_cast<std::size_t>(std::stoi(candidate.m_id.substr(1)));
    workers.push_back(m_workers[index]->Entry());
  }
  const bool lost = m_now < m_faults_end && Chance(kAdviceLost);
  const AdvisedWorkers advised = m_adviser.Ask(action.m_step, workers, m_now);
  At(kAdviceTime + Trip(), [this, owner, action, lost, advised] {
    if (!owner->m_alive) {
      return;
    }
    if (lost) {
      owner->m_cell->OnAdvice(action, Fail(ErrorCode::kTimeout, "lost"), m_now);
    } else {
      owner->m_cell->OnAdvice(action, advised, m_now);
    }
    Pump(owner);
  });
}

void JobWorld::Perform(Owner* owner, const StopAction& action) {
  const int worker = std::stoi(action.m_target.m_id.substr(1));
  WorkerSim* const sim = m_workers[static_cast<std::size_t>(worker)].get();
  Carry<ErrorCode>(
      owner, worker,
      [this, sim, order = action.m_order] {
        const Result<void> stopped = sim->Stop(order, m_now);
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

void JobWorld::Perform(Owner* /*owner*/, const PaceAction& /*action*/) {}

void JobWorld::Perform(Owner* owner, const HoldAction& action) {
  const int worker = std::stoi(action.m_target.m_id.substr(1));
  WorkerSim* const sim = m_workers[static_cast<std::size_t>(worker)].get();
  // A worker that waits for an end answers, at the latest, after m_wait.
  const milliseconds wait = action.m_order.m_wait / 5;
  Carry<std::shared_ptr<Result<HoldReport>>>(
      owner, worker,
      [this, sim, order = action.m_order] {
        return std::make_shared<Result<HoldReport>>(sim->Hold(order, m_now));
      },
      [this, owner, action,
       wait](const Result<std::shared_ptr<Result<HoldReport>>>& answer) {
        const Result<HoldReport> report =
            answer ? *answer.value() : Result<HoldReport>(answer.error());
        At(wait, [this, owner, action, report] {
          if (owner->m_alive) {
            owner->m_cell->OnHoldAnswer(action, report, m_now);
            Pump(owner);
          }
        });
      });
}

void JobWorld::Perform(Owner* owner, const StoreAction& action) {
  const auto answer = [this, owner, batch = action.m_batch](
                          Duration after, const Result<Offset>& result) {
    At(after, [this, owner, batch, result] {
      if (owner->m_alive) {
        owner->m_cell->OnStored(batch, result, m_now);
        Pump(owner);
      }
    });
  };
  At(Trip(), [this, owner, action, answer] {
    if (m_now < m_store_down_until || m_now < owner->m_store_cut_until) {
      answer(kStoreLimit, Fail(ErrorCode::kTimeout, "store away"));
      return;
    }
    if (owner->m_epoch < m_store_epoch) {
      answer(Trip(), Fail(ErrorCode::kFenced, "older epoch"));
      return;
    }
    if (action.m_batch == m_store_sequence + 1) {
      m_store_sequence = action.m_batch;
      for (const KeyedRecord& record : action.m_records) {
        m_progress[record.m_key] = record.m_value.value_or("");
      }
    }
    const bool lost =
        m_options.m_faults && m_now < m_faults_end && Chance(0.03);
    if (lost) {
      answer(kStoreLimit, Fail(ErrorCode::kTimeout, "answer lost"));
    } else {
      answer(Trip(), Offset{0});
    }
  });
}

/// The newest record of each key is kept, so earlier ones may go.
void JobWorld::Perform(Owner* /*owner*/, const RetireAction& action) {
  for (const std::string& id : action.m_jobs) {
    for (KeyedRecord& record : m_job_records) {
      if (record.m_key == id) {
        record.m_value = kRetiredMarker;
      }
    }
  }
}

void JobWorld::Perform(Owner* /*owner*/, const ForgetAction& /*action*/) {}

void JobWorld::CheckStart(WorkerSim* worker, const StartOrder& order) {
  ++m_starts;
  const std::string name = ToString(order.m_task);
  CheckRoom(*worker);
  for (const std::unique_ptr<WorkerSim>& other : m_workers) {
    other->Advance(m_now);
    if (other.get() != worker && other->IsUp() &&
        other->Runs().count(name) > 0) {
      Violate("task runs twice: " + name);
    }
  }
  if (m_noted_done.count(name) > 0) {
    Violate("task started after its end was noted: " + name);
  }
  if (m_noted_failures[name] >= kAttempts) {
    Violate("task started without attempts left: " + name);
  }
  const Submission& job = m_jobs.at(order.m_task.m_job);
  for (const std::uint32_t after :
       job.m_plan.m_steps[order.m_task.m_step].m_after) {
    for (std::uint32_t i = 0; i < job.m_plan.m_steps[after].m_tasks; ++i) {
      if (m_done.count(ToString(TaskName{job.m_id, 0, after, i})) == 0) {
        Violate("task started before its turn: " + name);
      }
    }
  }
  const auto cancelled = m_cancelled.find(job.m_id);
  if (!m_options.m_faults && cancelled != m_cancelled.end() &&
      m_now > cancelled->second + kCancelLimit) {
    Violate("task of a cancelled job started: " + name);
  }
}

void JobWorld::CheckRoom(const WorkerSim& worker) {
  Resources used;
  std::map<std::string, std::uint32_t> step_tasks;
  for (const auto& entry : worker.Runs()) {
    used += entry.second.m_plan.m_room;
    const TaskName& task = entry.second.m_task;
    const StepPlan& step = m_jobs.at(task.m_job).m_plan.m_steps[task.m_step];
    const std::uint32_t count =
        ++step_tasks[task.m_job + "." + std::to_string(task.m_step)];
    if (step.m_per_worker > 0 && count > step.m_per_worker) {
      Violate("too many tasks of a step on " + worker.Entry().m_id);
    }
  }
  if (!Fits(used, worker.Entry().m_capacity)) {
    Violate("overcommitted: " + worker.Entry().m_id);
  }
}

std::size_t JobWorld::Completed() const {
  std::size_t completed = 0;
  for (const auto& entry : m_jobs) {
    completed +=
        m_current->m_cell->StateOf(entry.first) == JobState::kCompleted ? 1 : 0;
  }
  return completed;
}

void JobWorld::CheckEnd() {
  for (const auto& entry : m_jobs) {
    const std::optional<JobState> state =
        m_current->m_cell->StateOf(entry.first);
    if (!state || !IsTerminal(*state)) {
      Violate("job has not ended: " + entry.first);
      continue;
    }
    if (m_cancelled.count(entry.first) == 0 && *state == JobState::kCancelled) {
      Violate("job cancelled by nobody: " + entry.first);
    }
    if (*state != JobState::kCompleted) {
      continue;
    }
    const std::vector<StepPlan>& steps = entry.second.m_plan.m_steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      for (std::uint32_t i = 0; i < steps[s].m_tasks; ++i) {
        const std::string name = ToString(TaskName{entry.first, 0, s, i});
        if (m_done.count(name) == 0) {
          Violate("job completed without " + name);
        }
      }
    }
  }
}

void JobWorld::Run() {
  AddWorkers();
  BeginOwner();
  AddJobs();
  if (m_options.m_faults) {
    AddFaults();
  }
  const TimePoint end = m_now + kRunTime + kSettleTime;
  std::function<void()> beat = [this, &beat, end] {
    for (const std::unique_ptr<Owner>& owner : m_owners) {
      Pump(owner.get());
    }
    if (!m_current->m_alive) {
      BeginOwner();
    }
    if (m_now < end) {
      At(milliseconds(50), beat);
    }
  };
  At(milliseconds(50), beat);
  while (!m_events.empty() && m_events.begin()->first <= end) {
    const auto first = m_events.begin();
    m_now = first->first;
    const std::function<void()> event = std::move(first->second);
    m_events.erase(first);
    event();
  }
  CheckEnd();
}

}  // namespace hyssopspar::jobs
