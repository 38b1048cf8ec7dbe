#include "job_state/fleet_load.h"

#include <algorithm>
#include <utility>

namespace hyssopspar::jobs {

namespace {

constexpr milliseconds kOrderDelay{2};
constexpr milliseconds kStoreDelay{8};
constexpr milliseconds kTickInterval{25};
constexpr milliseconds kStopDelay{100};
constexpr std::int64_t kServingTargetMs = 18;
constexpr int kServingImages = 16;
constexpr int kBestEffortImages = 30;

}  // namespace

struct FleetLoad::FleetWorker {
  struct Run {
    TaskName m_task;
    std::uint32_t m_run = 0;
    bool m_is_serving = false;
    double m_cpu = 0;
  };

  int m_index = 0;
  WorkerEntry m_entry;
  std::map<std::string, Run> m_runs;
  std::vector<EndedRun> m_ended;
  std::uint64_t m_last_end = 0;
  std::optional<HeartbeatAction> m_heartbeat;  ///< Waits for an answer.
  std::uint64_t m_heartbeats = 0;
};

FleetLoad::FleetLoad(const FleetLoadOptions& options)
    : m_options(options),
      m_random(options.m_seed),
      m_now(std::chrono::hours(1)),
      m_end(m_now + options.m_duration) {}

FleetLoad::~FleetLoad() = default;

void FleetLoad::ScheduleAfter(Duration delay, std::function<void()> event) {
  m_events.emplace(m_now + delay, std::move(event));
}

void FleetLoad::ScheduleArrival(std::function<void()> event) {
  m_calls_until = std::max(m_calls_until, m_now) + m_options.m_cost_per_call;
  ScheduleAfter(m_calls_until + kOrderDelay - m_now, std::move(event));
}

std::uint32_t FleetLoad::RandomWidth(double mean) {
  return 1 + std::poisson_distribution<std::uint32_t>(mean - 1)(m_random);
}

Submission FleetLoad::MakeSubmission(const char* queue, std::int64_t priority) {
  Submission job;
  // Hexadecimal digits without order, as callers choose them.
  job.m_id = std::to_string(m_random() % 90000000 + 10000000) +
             std::to_string(++m_jobs);
  job.m_accepted_unix_ms = ToMillis(m_now.time_since_epoch());
  job.m_queue.m_name = queue;
  job.m_queue.m_service = "pool";
  job.m_queue.m_priority = priority;
  job.m_queue.m_max_attempts = 3;
  job.m_queue.m_stretch = 2;
  job.m_queue.m_latency_target = milliseconds(250);
  return job;
}

Submission FleetLoad::ShortJob() {
  Submission job = MakeSubmission(kShortQueue, 0);
  const std::uint32_t steps = 1 + m_random() % 2;
  for (std::uint32_t i = 0; i < steps; ++i) {
    StepPlan step;
    step.m_tasks = RandomWidth(9);
    step.m_size = {12000, 24000, 0};
    step.m_image = "short";
    if (i > 0) {
      step.m_depends_on = {i - 1};
    }
    job.m_plan.m_steps.push_back(step);
  }
  return job;
}

Submission FleetLoad::BestEffortJob() {
  Submission job = MakeSubmission(kBestEffortQueue, 2);
  for (std::uint32_t i = 0; i < 2; ++i) {
    StepPlan step;
    step.m_tasks = RandomWidth(39);
    step.m_size = {7000, 13000, 0};
    step.m_is_best_effort = true;
    step.m_supports_checkpoints = true;
    step.m_image = "batch-" + std::to_string(m_random() % kBestEffortImages);
    if (i > 0) {
      step.m_depends_on = {i - 1};
    }
    job.m_plan.m_steps.push_back(step);
  }
  return job;
}

Submission FleetLoad::LongRunningJob() {
  Submission job = MakeSubmission(kLongRunningQueue, 0);
  StepPlan step;
  step.m_tasks = RandomWidth(24);
  step.m_size = {13000, 26000, 0};
  step.m_long_running = true;
  step.m_tail_latency_target = milliseconds(kServingTargetMs);
  step.m_image = "serving-" + std::to_string(m_random() % kServingImages);
  job.m_plan.m_steps.push_back(step);
  return job;
}

Submission FleetLoad::LargeJob() {
  Submission job = MakeSubmission(kLargeQueue, 1);
  StepPlan step;
  step.m_size = {32000, 48000, 0};
  step.m_estimate = milliseconds(1600);  // Twice the mean run time.
  step.m_image = "large";
  job.m_plan.m_steps.push_back(step);
  return job;
}

void FleetLoad::ScheduleArrivals(double jobs_per_second,
                                 const std::function<Submission()>& make) {
  const double seconds =
      std::exponential_distribution<double>(jobs_per_second)(m_random);
  const Duration delay = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  ScheduleAfter(delay, [this, jobs_per_second, make] {
    m_cell->OnJob(make(), m_now);
    Decide();
    ScheduleArrivals(jobs_per_second, make);
  });
}

void FleetLoad::Decide() {
  const std::function<void()> round = [this] {
    m_cell->SetViewTimes(m_now, m_now);
    m_cell->SetUnixTime(
        std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()),
        m_now);
    m_cell->Tick(m_now);
  };
  ++m_rounds;
  const std::uint64_t visits_before = m_cell->Work().m_worker_visits;
  if (m_on_round) {
    m_on_round(round);
  } else {
    round();
  }
  m_now += m_options.m_cost_per_worker_visit *
           (m_cell->Work().m_worker_visits - visits_before);
  m_busy_until = m_now;
  for (const Action& action : m_cell->TakeActions()) {
    std::visit(
        [this](const auto& typed) {
          using T = std::decay_t<decltype(typed)>;
          if constexpr (std::is_same_v<T, StartAction> ||
                        std::is_same_v<T, StopAction> ||
                        std::is_same_v<T, HeartbeatAction> ||
                        std::is_same_v<T, StoreAction>) {
            Execute(typed);
          }
        },
        action);
  }
  for (const auto& queue : m_cell->TakeStageTimes()) {
    for (std::size_t i = 0; i < kStageCount; ++i) {
      StageTime& total = m_stages[queue.first][i];
      total.m_count += queue.second[i].m_count;
      total.m_total += queue.second[i].m_total;
      total.m_longest = std::max(total.m_longest, queue.second[i].m_longest);
    }
  }
}

void FleetLoad::Execute(const StartAction& action) {
  ScheduleArrival([this, action] {
    FleetWorker* const worker =
        m_workers[static_cast<std::size_t>(action.m_worker)].get();
    const StepPlan& step = StepOf(*action.m_task.m_job, action.m_task.m_index);
    FleetWorker::Run run;
    run.m_task = action.m_order.m_task;
    run.m_run = action.m_order.m_run;
    run.m_is_serving = step.m_tail_latency_target > milliseconds(0);
    run.m_cpu = static_cast<double>(step.m_size.m_cpu_milli);
    worker->m_runs[ToString(run.m_task)] = run;
    if (!step.m_long_running) {
      const milliseconds mean(step.m_is_best_effort ? 1700 : 800);
      ScheduleAfter(mean / 2 + mean * static_cast<int>(m_random() % 100) / 100,
                    [this, worker, task = run.m_task] {
                      EndRun(worker, task, EndCause::kDone);
                    });
    }
    m_cell->OnStartAnswer(
        action, StartReply{StartAnswer::kStarted, action.m_clock.m_earliest},
        m_now);
    Decide();
  });
}

void FleetLoad::Execute(const StopAction& action) {
  ScheduleArrival([this, action] {
    FleetWorker* const worker =
        m_workers[static_cast<std::size_t>(action.m_worker)].get();
    ScheduleAfter(kStopDelay, [this, worker, task = action.m_order.m_task] {
      EndRun(worker, task, EndCause::kStopped);
    });
    m_cell->OnStopAnswer(action, Ok(), m_now);
    Decide();
  });
}

void FleetLoad::Execute(const HeartbeatAction& action) {
  ScheduleArrival([this, action] {
    FleetWorker* const worker =
        m_workers[static_cast<std::size_t>(action.m_worker)].get();
    worker->m_ended.erase(
        std::remove_if(worker->m_ended.begin(), worker->m_ended.end(),
                       [&action](const EndedRun& run) {
                         return run.m_number <= action.m_order.m_acked_up_to;
                       }),
        worker->m_ended.end());
    worker->m_heartbeat = action;
    const std::uint64_t heartbeat = ++worker->m_heartbeats;
    const bool answer_now =
        !worker->m_ended.empty() || action.m_order.m_wait.count() == 0;
    ScheduleAfter(
        answer_now ? milliseconds(0) : action.m_order.m_wait,
        [this, worker, heartbeat] {
          if (worker->m_heartbeat && worker->m_heartbeats == heartbeat) {
            AnswerHeartbeat(worker);
          }
        });
  });
}

void FleetLoad::Execute(const StoreAction& action) {
  ScheduleAfter(kStoreDelay, [this, batch = action.m_batch] {
    m_cell->OnStored(batch, Offset{0}, m_now);
    Decide();
  });
}

void FleetLoad::EndRun(FleetWorker* worker,
                       const TaskName& task,
                       EndCause cause) {
  const auto it = worker->m_runs.find(ToString(task));
  if (it == worker->m_runs.end()) {
    return;
  }
  worker->m_ended.push_back(
      {++worker->m_last_end, task, it->second.m_run, cause, ""});
  worker->m_runs.erase(it);
  if (worker->m_heartbeat) {
    AnswerHeartbeat(worker);
  }
}

void FleetLoad::AnswerHeartbeat(FleetWorker* worker) {
  const HeartbeatAction action = std::move(*worker->m_heartbeat);
  worker->m_heartbeat.reset();
  HeartbeatReport report;
  report.m_now = WorkerTime(
      std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()));
  report.m_incarnation_unix_ms = 1;
  for (const auto& entry : worker->m_runs) {
    RunningRun run;
    run.m_task = entry.second.m_task;
    run.m_run = entry.second.m_run;
    run.m_usage = entry.second.m_is_serving
                      ? static_cast<double>(4 + m_random() % 6)
                      : entry.second.m_cpu;
    report.m_running.push_back(run);
  }
  report.m_ended = worker->m_ended;
  m_cell->OnHeartbeatAnswer(action, report, m_now);
  Decide();
}

void FleetLoad::Run(
    const std::function<void(const std::function<void()>&)>& on_round) {
  m_on_round = on_round;
  CellSettings settings;
  settings.m_inherited_lease_deadline = m_now;
  settings.m_look_ahead = m_options.m_look_ahead;
  m_cell = std::make_unique<Cell>(settings, m_now);
  m_cell->SetUnixTime(
      std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()),
      m_now);
  for (int i = 0; i < m_options.m_workers; ++i) {
    m_workers.push_back(std::make_unique<FleetWorker>());
    FleetWorker& worker = *m_workers.back();
    worker.m_index = i;
    worker.m_entry.m_id = "worker-" + std::to_string(i);
    worker.m_entry.m_address = worker.m_entry.m_id;
    worker.m_entry.m_service = "pool";
    worker.m_entry.m_failure_domain = "domain-" + std::to_string(i % 6);
    worker.m_entry.m_rack = "rack-" + std::to_string(i / 8);
    worker.m_entry.m_labels = {"a", worker.m_entry.m_rack};
    worker.m_entry.m_capacity = {i % 3 == 2 ? 96000 : 64000, 256000, 0};
    worker.m_entry.m_incarnation_unix_ms = 1;
    m_cell->SetWorker(worker.m_entry, m_now);
  }
  const double workers = m_options.m_workers;
  const int initial = static_cast<int>(
      m_options.m_initial_long_running_jobs_per_worker * workers);
  for (int i = 0; i < initial; ++i) {
    m_cell->OnJob(LongRunningJob(), m_now);
  }
  m_cell->Activate(m_now);
  ScheduleArrivals(m_options.m_short_jobs_per_worker * workers,
                   [this] { return ShortJob(); });
  ScheduleArrivals(m_options.m_best_effort_jobs_per_worker * workers,
                   [this] { return BestEffortJob(); });
  ScheduleArrivals(m_options.m_long_running_jobs_per_worker * workers,
                   [this] { return LongRunningJob(); });
  if (m_options.m_large_jobs_per_worker > 0) {
    ScheduleArrivals(m_options.m_large_jobs_per_worker * workers,
                     [this] { return LargeJob(); });
  }
  std::function<void()> tick = [this, &tick] {
    Decide();
    ScheduleAfter(kTickInterval, tick);
  };
  tick();
  while (!m_events.empty() && m_events.begin()->first <= m_end) {
    const auto next = m_events.begin();
    m_now = std::max(next->first, m_busy_until);
    const std::function<void()> event = std::move(next->second);
    m_events.erase(next);
    event();
  }
}

}  // namespace hyssopspar::jobs
