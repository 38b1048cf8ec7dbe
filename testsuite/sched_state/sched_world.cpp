#include "sched_state/sched_world.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace hyssopspar::testsuite {

namespace {

constexpr milliseconds kStep{25};
constexpr milliseconds kReadPeriod{50};
constexpr milliseconds kAppendTimeout{500};
constexpr milliseconds kSyncTimeout{500};
constexpr milliseconds kVmLag{500};
constexpr milliseconds kLocalStart{100000};
constexpr double kClockError = 0.0015;
constexpr std::int64_t kWorkerCpu = 4000;
constexpr std::int64_t kWorkerMemory = 8000;

}  // namespace

SchedWorld::SchedWorld(const WorldSettings& settings)
    : m_settings(settings),
      m_random(settings.m_seed),
      m_now(std::chrono::hours(1)) {
  m_log.m_retention = settings.m_retention;
  std::uniform_real_distribution<double> error(1 - kClockError,
                                               1 + kClockError);
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
      worker.m_capacity = Resources{kWorkerCpu, kWorkerMemory, 0};
      worker.m_boot_time = m_now - std::chrono::seconds(10);
      worker.m_clock_rate = error(m_random);
      Vm vm;
      vm.m_name = worker.m_name;
      vm.m_failure_domain = worker.m_failure_domain;
      vm.m_rack = worker.m_failure_domain + std::to_string(w / 2);
      vm.m_address = worker.m_name;
      vm.m_capacity = worker.m_capacity;
      m_workers.push_back(std::move(worker));
      m_vms.push_back(std::move(vm));
      m_silent.push_back(false);
    }
  }
  AppendConfig(publish);
  for (int i = 0; i < settings.m_schedulers; ++i) {
    Process process;
    process.m_name = "s" + std::to_string(i);
    process.m_failure_domain = DomainName(i % settings.m_domains);
    process.m_clock_rate = error(m_random);
    process.m_clock_offset = Jitter(milliseconds(0), kLocalStart);
    m_processes.push_back(std::move(process));
    Restart(i);
  }
}

std::string SchedWorld::DomainName(int domain) const {
  return "d" + std::to_string(domain);
}

TimePoint SchedWorld::Local(const Process& process) const {
  const std::chrono::duration<double> scaled =
      std::chrono::duration<double>(m_now.time_since_epoch()) *
      process.m_clock_rate;
  return TimePoint(std::chrono::duration_cast<Duration>(scaled)) +
         process.m_clock_offset;
}

Duration SchedWorld::Jitter(Duration least, Duration most) {
  std::uniform_int_distribution<std::int64_t> draw(least.count(), most.count());
  return Duration(draw(m_random));
}

SchedSettings SchedWorld::MakeSettings(const Process& process) const {
  SchedSettings settings;
  settings.m_name = process.m_name;
  settings.m_failure_domain = process.m_failure_domain;
  settings.m_outage_limit = m_settings.m_outage_limit;
  settings.m_snapshot_records = m_settings.m_retention / 4;
  settings.m_quarantine = std::chrono::seconds(5);
  settings.m_retry_max = std::chrono::seconds(4);
  return settings;
}

void SchedWorld::Restart(int index) {
  Process& process = m_processes[index];
  ++process.m_generation;
  process.m_alive = true;
  process.m_leaving = false;
  process.m_frozen_until = TimePoint();
  process.m_next_read.clear();
  process.m_scheduler = std::make_unique<Scheduler>(
      MakeSettings(process), m_random() | 1, m_random() | 1);
}

void SchedWorld::Kill(int index) {
  ++m_processes[index].m_generation;
  m_processes[index].m_alive = false;
}

void SchedWorld::Later(int process,
                       Duration delay,
                       std::function<void()> action) {
  const std::uint64_t generation =
      process < 0 ? 0 : m_processes[process].m_generation;
  m_pending.emplace(m_now + delay,
                    Pending{process, generation, std::move(action)});
}

void SchedWorld::RunPending() {
  std::vector<std::pair<TimePoint, Pending>> held;
  while (!m_pending.empty() && m_pending.begin()->first <= m_now) {
    const TimePoint due = m_pending.begin()->first;
    Pending pending = std::move(m_pending.begin()->second);
    m_pending.erase(m_pending.begin());
    if (pending.m_process >= 0) {
      const Process& process = m_processes[pending.m_process];
      if (process.m_generation != pending.m_generation) {
        continue;
      }
      if (process.m_frozen_until > m_now) {
        held.emplace_back(due, std::move(pending));
        continue;
      }
    }
    pending.m_action();
  }
  for (std::pair<TimePoint, Pending>& entry : held) {
    m_pending.emplace(entry.first, std::move(entry.second));
  }
}

void SchedWorld::Read(int index, const std::string& stream, Offset from) {
  Process& process = m_processes[index];
  const TimePoint sent = Local(process);
  const bool reachable = !m_log_down && !process.m_cut;
  Result<LogSlice> slice = Fail(ErrorCode::kUnavailable, "log down");
  if (reachable) {
    slice = standin::ReadFrom(m_log, stream, from, 200);
  }
  Later(index, Jitter(milliseconds(1), milliseconds(20)),
        [this, index, stream, slice, sent] {
          Process& reader = m_processes[index];
          reader.m_scheduler->OnRead(stream, slice, sent, Local(reader));
        });
}

void SchedWorld::Append(
    int index,
    const std::string& stream,
    const std::string& payload,
    const std::function<void(Scheduler*, bool, TimePoint)>& answer) {
  const auto reply = [this, index, answer](Duration delay, bool succeeded) {
    Later(index, delay, [this, index, answer, succeeded] {
      Process& process = m_processes[index];
      answer(process.m_scheduler.get(), succeeded, Local(process));
    });
  };
  // Sending is an act of its own, so a freeze may come before it.
  Later(index, Jitter(milliseconds(0), milliseconds(5)),
        [this, index, stream, payload, reply] {
          if (m_log_down || m_processes[index].m_cut) {
            reply(kAppendTimeout, false);
            return;
          }
          const Duration effect =
              m_append_delay + Jitter(milliseconds(0), milliseconds(10));
          std::bernoulli_distribution lose(m_lose_answers);
          const bool lost = lose(m_random) || effect > kAppendTimeout;
          // The effect is the log's own doing, whatever becomes of the process.
          Later(-1, effect,
                [this, stream, payload] { AppendNow(stream, payload); });
          reply(lost ? Duration(kAppendTimeout) : effect, !lost);
        });
}

void SchedWorld::Sync(int index, const SchedulerOutput::Sync& sync) {
  const auto reply = [this, index, sync](Duration delay,
                                         const Result<WorkerReport>& report) {
    Later(index, delay, [this, index, sync, report] {
      Process& process = m_processes[index];
      process.m_scheduler->OnReport(sync.m_cell, sync.m_order.m_worker, report,
                                    Local(process));
    });
  };
  Later(index, Jitter(milliseconds(0), milliseconds(10)), [this, sync, reply] {
    int worker = 0;
    while (m_workers[worker].m_name != sync.m_order.m_worker) {
      ++worker;
    }
    std::bernoulli_distribution straggle(0.02);
    const bool silent = m_silent[worker];
    const bool late = straggle(m_random);
    if (silent && !late) {
      reply(kSyncTimeout, Fail(ErrorCode::kTimeout, "worker silent"));
      return;
    }
    // A straggler arrives long after its sender has given up on it.
    const Duration way = late ? Jitter(kSyncTimeout, std::chrono::seconds(12))
                              : Jitter(milliseconds(1), milliseconds(10));
    Later(-1, way, [this, worker, sync, reply, late] {
      const WorkerReport report = standin::SyncWorker(
          &m_workers[worker], sync.m_order.m_sync, standin::SpreadWork, m_now);
      for (const StartCommand& start : sync.m_order.m_sync.m_start) {
        Trace("start " + TaskName(start.m_id.m_task) + " attempt " +
              std::to_string(start.m_id.m_attempt) + " on " +
              m_workers[worker].m_name +
              (report.m_accepted ? " taken" : " refused") +
              (late ? " late" : ""));
      }
      if (!late) {
        reply(milliseconds(2), report);
      }
    });
    if (late) {
      reply(kSyncTimeout, Fail(ErrorCode::kTimeout, "answer late"));
    }
  });
}

void SchedWorld::AppendNow(const std::string& stream,
                           const std::string& payload) {
  const Offset offset = standin::AppendTo(&m_log, stream, payload);
  const std::string prefix = CellStream("");
  if (stream.compare(0, prefix.size(), prefix) != 0) {
    return;
  }
  const Result<Batch> batch = DecodeBatch(payload);
  CellState& state = m_true_cells[stream.substr(prefix.size())];
  const std::vector<Verdict> verdicts = Apply(&state, offset, batch.value());
  for (std::size_t i = 0; i < verdicts.size(); ++i) {
    if (verdicts[i] == Verdict::kApplied) {
      NoteDecision(batch.value().m_decisions[i]);
    }
  }
}

void SchedWorld::Trace(const std::string& line) const {
  if (m_settings.m_trace) {
    const double seconds =
        std::chrono::duration<double>(m_now.time_since_epoch()).count() - 3600;
    std::cout << seconds << " " << line << "\n";
  }
}

void SchedWorld::NoteDecision(const Decision& decision) {
  if (const TaskCommit* commit = std::get_if<TaskCommit>(&decision)) {
    Trace("commit " + TaskName(commit->m_task) + " attempt " +
          std::to_string(commit->m_attempt) + " worker " +
          std::to_string(commit->m_worker));
    m_attempts[AttemptId{commit->m_task, commit->m_attempt}].m_committed =
        m_now;
  } else if (const TaskStop* stop = std::get_if<TaskStop>(&decision)) {
    Trace("stop " + TaskName(stop->m_task) + " attempt " +
          std::to_string(stop->m_attempt) + " reason " +
          std::to_string(static_cast<int>(stop->m_reason)));
    m_attempts[AttemptId{stop->m_task, stop->m_attempt}].m_stopped =
        stop->m_reason;
  } else if (const TaskFinish* finish = std::get_if<TaskFinish>(&decision)) {
    Trace("finish " + TaskName(finish->m_task) + " attempt " +
          std::to_string(finish->m_attempt));
    m_attempts[AttemptId{finish->m_task, finish->m_attempt}].m_finished = true;
  } else if (const OwnerClaim* claim = std::get_if<OwnerClaim>(&decision)) {
    Trace("claim by " + claim->m_owner);
  } else if (const OwnerRelease* release =
                 std::get_if<OwnerRelease>(&decision)) {
    Trace("release by " + release->m_owner);
  }
}

void SchedWorld::TickProcess(int index) {
  Process& process = m_processes[index];
  const TimePoint now = Local(process);
  for (const std::pair<const std::string, Offset>& stream :
       process.m_scheduler->Streams()) {
    TimePoint& next = process.m_next_read[stream.first];
    if (m_now >= next) {
      next = m_now + kReadPeriod;
      Read(index, stream.first, stream.second);
    }
  }
  SchedulerOutput output = process.m_scheduler->Tick(now);
  for (const SchedulerOutput::Append& append : output.m_appends) {
    const std::string stream = append.m_stream;
    Append(index, stream, append.m_payload,
           [stream](Scheduler* scheduler, bool succeeded, TimePoint at) {
             scheduler->OnAppend(stream, succeeded, at);
           });
  }
  for (const SchedulerOutput::Append& beat : output.m_beats) {
    Append(index, beat.m_stream, beat.m_payload,
           [](Scheduler*, bool, TimePoint) {});
  }
  for (const SchedulerOutput::Transfer& transfer : output.m_transfers) {
    Append(index, CellStream(transfer.m_order.m_target),
           transfer.m_order.m_payload,
           [transfer](Scheduler* scheduler, bool succeeded, TimePoint) {
             scheduler->OnTransfer(transfer.m_cell, transfer.m_order,
                                   succeeded);
           });
  }
  for (const SchedulerOutput::Sync& sync : output.m_syncs) {
    Sync(index, sync);
  }
}

void SchedWorld::ListVms() {
  for (int i = 0; i < Schedulers(); ++i) {
    if (!m_processes[i].m_alive) {
      continue;
    }
    const std::vector<Vm> list = m_vms;
    Later(i, kVmLag,
          [this, i, list] { m_processes[i].m_scheduler->OnVms(list); });
  }
}

void SchedWorld::Step() {
  m_now += kStep;
  RunPending();
  if (m_now.time_since_epoch() % milliseconds(500) == Duration::zero()) {
    ListVms();
  }
  for (int i = 0; i < Schedulers(); ++i) {
    const Process& process = m_processes[i];
    if (process.m_alive && process.m_frozen_until <= m_now) {
      TickProcess(i);
    }
  }
}

void SchedWorld::Advance(Duration span) {
  const TimePoint end = m_now + span;
  while (m_now < end) {
    Step();
  }
}

std::uint64_t SchedWorld::Starts() const {
  std::uint64_t starts = 0;
  for (const standin::WorkerModel& worker : m_workers) {
    starts += worker.m_runs.size();
  }
  return starts;
}

}  // namespace hyssopspar::testsuite
