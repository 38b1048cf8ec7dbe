#include "sched_state/sched_world.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace hyssopspar::testsuite {

namespace {

constexpr milliseconds kTimeStep{25};
/// Period of the reads of one stream by one scheduler.
constexpr milliseconds kReadPeriod{50};
constexpr milliseconds kAppendTimeout{500};
constexpr milliseconds kSyncTimeout{500};
/// Age of a VM list when it reaches a scheduler.
constexpr milliseconds kVmListLag{500};
/// Bounds of the random offset and rate error of local clocks.
constexpr milliseconds kMaxClockOffset{100000};
constexpr double kMaxClockRateError = 0.0015;
constexpr std::int64_t kWorkerCpuMilli = 4000;
constexpr std::int64_t kWorkerMemoryMib = 8000;

}  // namespace

SchedSimulation::SchedSimulation(const SimulationSettings& settings)
    : m_settings(settings),
      m_random(settings.m_seed),
      m_now(std::chrono::hours(1)) {
  m_log.m_max_stream_records = settings.m_max_stream_records;
  std::uniform_real_distribution<double> clock_rate(1 - kMaxClockRateError,
                                                    1 + kMaxClockRateError);
  ConfigPublish publish;
  publish.m_doc.m_tenants = {TenantConfig{"a", 1, 0.5},
                             TenantConfig{"b", 1, 0.5}};
  for (int d = 0; d < settings.m_domains; ++d) {
    publish.m_doc.m_failure_domains.push_back(
        FailureDomainConfig{DomainName(d), 1});
    for (int w = 0; w < settings.m_workers; ++w) {
      standin::WorkerModel worker;
      worker.m_name = "w" + std::to_string(d) + "-" + std::to_string(w);
      worker.m_failure_domain = DomainName(d);
      worker.m_capacity = Resources{kWorkerCpuMilli, kWorkerMemoryMib, 0};
      worker.m_boot_time = m_now - std::chrono::seconds(10);
      worker.m_clock_rate = clock_rate(m_random);
      Vm vm;
      vm.m_name = worker.m_name;
      vm.m_failure_domain = worker.m_failure_domain;
      vm.m_rack = worker.m_failure_domain + std::to_string(w / 2);
      vm.m_address = worker.m_name;
      vm.m_capacity = worker.m_capacity;
      m_workers.push_back(std::move(worker));
      m_vms.push_back(std::move(vm));
      m_unresponsive.push_back(false);
    }
  }
  AppendConfigRecord(publish);
  for (int i = 0; i < settings.m_schedulers; ++i) {
    SchedulerProcess process;
    process.m_name = "s" + std::to_string(i);
    process.m_failure_domain = DomainName(i % settings.m_domains);
    process.m_clock_rate = clock_rate(m_random);
    process.m_clock_offset = RandomDuration(milliseconds(0), kMaxClockOffset);
    m_processes.push_back(std::move(process));
    Restart(i);
  }
}

std::string SchedSimulation::DomainName(int domain) const {
  return "d" + std::to_string(domain);
}

TimePoint SchedSimulation::LocalTime(const SchedulerProcess& process) const {
  const std::chrono::duration<double> scaled =
      std::chrono::duration<double>(m_now.time_since_epoch()) *
      process.m_clock_rate;
  return TimePoint(std::chrono::duration_cast<Duration>(scaled)) +
         process.m_clock_offset;
}

Duration SchedSimulation::RandomDuration(Duration min, Duration max) {
  std::uniform_int_distribution<std::int64_t> draw(min.count(), max.count());
  return Duration(draw(m_random));
}

SchedSettings SchedSimulation::MakeSettings(
    const SchedulerProcess& process) const {
  SchedSettings settings;
  settings.m_name = process.m_name;
  settings.m_failure_domain = process.m_failure_domain;
  settings.m_outage_limit = m_settings.m_outage_limit;
  settings.m_records_per_snapshot = m_settings.m_max_stream_records / 4;
  settings.m_quarantine_period = std::chrono::seconds(5);
  settings.m_max_retry_delay = std::chrono::seconds(4);
  return settings;
}

void SchedSimulation::Restart(int index) {
  SchedulerProcess& process = m_processes[index];
  ++process.m_generation;
  process.m_alive = true;
  process.m_leaving = false;
  process.m_frozen_until = TimePoint();
  process.m_next_read.clear();
  // The lowest bit is set because writer ids and incarnations are never 0.
  process.m_scheduler = std::make_unique<Scheduler>(
      MakeSettings(process), m_random() | 1, m_random() | 1);
}

void SchedSimulation::Kill(int index) {
  ++m_processes[index].m_generation;
  m_processes[index].m_alive = false;
}

void SchedSimulation::Schedule(int process,
                               Duration delay,
                               std::function<void()> action) {
  const std::uint64_t generation =
      process < 0 ? 0 : m_processes[process].m_generation;
  m_scheduled_actions.emplace(
      m_now + delay, ScheduledAction{process, generation, std::move(action)});
}

void SchedSimulation::RunDueActions() {
  std::vector<std::pair<TimePoint, ScheduledAction>> deferred;
  while (!m_scheduled_actions.empty() &&
         m_scheduled_actions.begin()->first <= m_now) {
    const TimePoint due = m_scheduled_actions.begin()->first;
    ScheduledAction scheduled = std::move(m_scheduled_actions.begin()->second);
    m_scheduled_actions.erase(m_scheduled_actions.begin());
    if (scheduled.m_process >= 0) {
      const SchedulerProcess& process = m_processes[scheduled.m_process];
      if (process.m_generation != scheduled.m_generation) {
        continue;
      }
      if (process.m_frozen_until > m_now) {
        deferred.emplace_back(due, std::move(scheduled));
        continue;
      }
    }
    scheduled.m_action();
  }
  for (std::pair<TimePoint, ScheduledAction>& entry : deferred) {
    m_scheduled_actions.emplace(entry.first, std::move(entry.second));
  }
}

void SchedSimulation::SendRead(int index,
                               const std::string& stream,
                               Offset from) {
  SchedulerProcess& process = m_processes[index];
  const TimePoint sent = LocalTime(process);
  const bool reachable = !m_log_down && !process.m_log_unreachable;
  Result<LogSlice> slice = Fail(ErrorCode::kUnavailable, "log down");
  if (reachable) {
    slice = standin::ReadRecords(m_log, stream, from, 200);
  }
  Schedule(index, RandomDuration(milliseconds(1), milliseconds(20)),
           [this, index, stream, slice, sent] {
             SchedulerProcess& reader = m_processes[index];
             reader.m_scheduler->OnRead(stream, slice, sent, LocalTime(reader));
           });
}

void SchedSimulation::SendAppend(
    int index,
    const std::string& stream,
    const std::string& payload,
    const std::function<void(Scheduler*, bool, TimePoint)>& answer) {
  const auto reply = [this, index, answer](Duration delay, bool succeeded) {
    Schedule(index, delay, [this, index, answer, succeeded] {
      SchedulerProcess& process = m_processes[index];
      answer(process.m_scheduler.get(), succeeded, LocalTime(process));
    });
  };
  // The send is a separate action, so that the process may freeze between the
  // decision and the send.
  Schedule(
      index, RandomDuration(milliseconds(0), milliseconds(5)),
      [this, index, stream, payload, reply] {
        if (m_log_down || m_processes[index].m_log_unreachable) {
          reply(kAppendTimeout, false);
          return;
        }
        const Duration append_delay =
            m_append_delay + RandomDuration(milliseconds(0), milliseconds(10));
        std::bernoulli_distribution draw_lost(m_answer_loss_rate);
        const bool lost = draw_lost(m_random) || append_delay > kAppendTimeout;
        // The log appends the record even if the process is killed meanwhile.
        Schedule(-1, append_delay,
                 [this, stream, payload] { AppendToLog(stream, payload); });
        reply(lost ? Duration(kAppendTimeout) : append_delay, !lost);
      });
}

void SchedSimulation::SendSync(int index, const SchedulerOutput::Sync& sync) {
  const auto reply = [this, index, sync](Duration delay,
                                         const Result<WorkerReport>& report) {
    Schedule(index, delay, [this, index, sync, report] {
      SchedulerProcess& process = m_processes[index];
      process.m_scheduler->OnReport(sync.m_cell, sync.m_order.m_worker, report,
                                    LocalTime(process));
    });
  };
  Schedule(
      index, RandomDuration(milliseconds(0), milliseconds(10)),
      [this, sync, reply] {
        int worker = 0;
        while (m_workers[worker].m_name != sync.m_order.m_worker) {
          ++worker;
        }
        std::bernoulli_distribution draw_delayed(0.02);
        const bool unresponsive = m_unresponsive[worker];
        const bool delayed = draw_delayed(m_random);
        if (unresponsive && !delayed) {
          reply(kSyncTimeout, Fail(ErrorCode::kTimeout, "worker unresponsive"));
          return;
        }
        // A delayed message arrives long after its sender has timed out.
        const Duration network_delay =
            delayed ? RandomDuration(kSyncTimeout, std::chrono::seconds(12))
                    : RandomDuration(milliseconds(1), milliseconds(10));
        Schedule(-1, network_delay, [this, worker, sync, reply, delayed] {
          const WorkerReport report =
              standin::SyncWorker(&m_workers[worker], sync.m_order.m_sync,
                                  standin::RandomizedRunTime, m_now);
          for (const StartCommand& start : sync.m_order.m_sync.m_start) {
            Trace("start " + FormatTaskId(start.m_id.m_task) + " attempt " +
                  std::to_string(start.m_id.m_attempt) + " on " +
                  m_workers[worker].m_name +
                  (report.m_accepted ? " accepted" : " refused") +
                  (delayed ? " delayed" : ""));
          }
          if (!delayed) {
            reply(milliseconds(2), report);
          }
        });
        if (delayed) {
          reply(kSyncTimeout, Fail(ErrorCode::kTimeout, "answer delayed"));
        }
      });
}

void SchedSimulation::AppendToLog(const std::string& stream,
                                  const std::string& payload) {
  const Offset offset = standin::AppendRecord(&m_log, stream, payload);
  const std::string prefix = CellStream("");
  if (stream.compare(0, prefix.size(), prefix) != 0) {
    return;
  }
  const Result<Batch> batch = DecodeBatch(payload);
  CellState& state = m_reference_cells[stream.substr(prefix.size())];
  const std::vector<Verdict> verdicts = Apply(&state, offset, batch.value());
  for (std::size_t i = 0; i < verdicts.size(); ++i) {
    if (verdicts[i] == Verdict::kApplied) {
      RecordDecision(batch.value().m_decisions[i]);
    }
  }
}

void SchedSimulation::Trace(const std::string& line) const {
  if (m_settings.m_trace) {
    const double seconds =
        std::chrono::duration<double>(m_now.time_since_epoch()).count() - 3600;
    std::cout << seconds << " " << line << "\n";
  }
}

void SchedSimulation::RecordDecision(const Decision& decision) {
  if (const TaskCommit* commit = std::get_if<TaskCommit>(&decision)) {
    Trace("commit " + FormatTaskId(commit->m_task) + " attempt " +
          std::to_string(commit->m_attempt) + " worker " +
          std::to_string(commit->m_worker));
    m_attempts[AttemptId{commit->m_task, commit->m_attempt}].m_committed =
        m_now;
  } else if (const TaskStop* stop = std::get_if<TaskStop>(&decision)) {
    Trace("stop " + FormatTaskId(stop->m_task) + " attempt " +
          std::to_string(stop->m_attempt) + " reason " +
          std::to_string(static_cast<int>(stop->m_reason)));
    m_attempts[AttemptId{stop->m_task, stop->m_attempt}].m_stopped =
        stop->m_reason;
  } else if (const TaskFinish* finish = std::get_if<TaskFinish>(&decision)) {
    Trace("finish " + FormatTaskId(finish->m_task) + " attempt " +
          std::to_string(finish->m_attempt));
    m_attempts[AttemptId{finish->m_task, finish->m_attempt}].m_finished = true;
  } else if (const OwnerClaim* claim = std::get_if<OwnerClaim>(&decision)) {
    Trace("claim by " + claim->m_owner);
  } else if (const OwnerRelease* release =
                 std::get_if<OwnerRelease>(&decision)) {
    Trace("release by " + release->m_owner);
  }
}

void SchedSimulation::TickProcess(int index) {
  SchedulerProcess& process = m_processes[index];
  const TimePoint now = LocalTime(process);
  for (const std::pair<const std::string, Offset>& stream :
       process.m_scheduler->Streams()) {
    TimePoint& next = process.m_next_read[stream.first];
    if (m_now >= next) {
      next = m_now + kReadPeriod;
      SendRead(index, stream.first, stream.second);
    }
  }
  SchedulerOutput output = process.m_scheduler->Tick(now);
  for (const SchedulerOutput::Append& append : output.m_appends) {
    const std::string stream = append.m_stream;
    SendAppend(index, stream, append.m_payload,
               [stream](Scheduler* scheduler, bool succeeded, TimePoint at) {
                 scheduler->OnAppend(stream, succeeded, at);
               });
  }
  for (const SchedulerOutput::Append& unretried : output.m_unretried_appends) {
    SendAppend(index, unretried.m_stream, unretried.m_payload,
               [](Scheduler*, bool, TimePoint) {});
  }
  for (const SchedulerOutput::Transfer& transfer : output.m_transfers) {
    SendAppend(index, CellStream(transfer.m_order.m_target),
               transfer.m_order.m_payload,
               [transfer](Scheduler* scheduler, bool succeeded, TimePoint) {
                 scheduler->OnTransfer(transfer.m_cell, transfer.m_order,
                                       succeeded);
               });
  }
  for (const SchedulerOutput::Sync& sync : output.m_syncs) {
    SendSync(index, sync);
  }
}

void SchedSimulation::SendVmLists() {
  for (int i = 0; i < Schedulers(); ++i) {
    if (!m_processes[i].m_alive) {
      continue;
    }
    const std::vector<Vm> list = m_vms;
    Schedule(i, kVmListLag,
             [this, i, list] { m_processes[i].m_scheduler->OnVms(list); });
  }
}

void SchedSimulation::RunTimeStep() {
  m_now += kTimeStep;
  RunDueActions();
  if (m_now.time_since_epoch() % milliseconds(500) == Duration::zero()) {
    SendVmLists();
  }
  for (int i = 0; i < Schedulers(); ++i) {
    const SchedulerProcess& process = m_processes[i];
    if (process.m_alive && process.m_frozen_until <= m_now) {
      TickProcess(i);
    }
  }
}

void SchedSimulation::Advance(Duration span) {
  const TimePoint end = m_now + span;
  while (m_now < end) {
    RunTimeStep();
  }
}

std::uint64_t SchedSimulation::StartCount() const {
  std::uint64_t starts = 0;
  for (const standin::WorkerModel& worker : m_workers) {
    starts += worker.m_runs.size();
  }
  return starts;
}

}  // namespace hyssopspar::testsuite
