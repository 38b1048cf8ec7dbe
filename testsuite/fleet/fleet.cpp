#include "fleet/fleet.h"

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>

namespace fleet {

namespace {

constexpr milliseconds kStep{5};
/// Longest time for which Settle waits for tasks that crash workers.
constexpr milliseconds kLongestSettling{60000};
constexpr milliseconds kGraceTime{8000};

bool IsOnStore(DisruptionKind kind) {
  return kind == DisruptionKind::kSilenceStore ||
         kind == DisruptionKind::kResetStore ||
         kind == DisruptionKind::kRefuseWrites;
}

bool IsOnNodes(DisruptionKind kind) {
  return kind == DisruptionKind::kFreezeNode ||
         kind == DisruptionKind::kKillNode || kind == DisruptionKind::kEndNode;
}

}  // namespace

Fleet::Fleet(const FleetOptions& options)
    : m_options(options),
      m_schedule(MakeSchedule(options)),
      m_site(options),
      m_clients(&m_site, m_schedule.m_jobs, options.m_nodes),
      m_nodes(static_cast<std::size_t>(options.m_nodes)),
      m_workers(static_cast<std::size_t>(options.m_workers)),
      m_least_attempts(options.m_max_attempts) {}

std::vector<std::string> Fleet::Run() {
  if (!m_site.Start()) {
    m_site.Stop();
    return {"the nodes did not get ready"};
  }
  m_started_at = m_site.Now();
  m_clients.Start(m_options.m_seed);
  Play();
  std::vector<std::string> violations;
  Settle(&violations);
  m_clients.Stop();
  Evidence evidence;
  for (const std::string& id :
       m_clients.AskForAll(m_site.Now() + kFinishTime)) {
    violations.push_back("LOST: no node tells the state of job " + id);
  }
  evidence.m_jobs = m_clients.Jobs();
  evidence.m_objections = m_clients.Objections();
  evidence.m_runs = m_site.Runs();
  evidence.m_disrupted = m_disrupted;
  evidence.m_least_attempts = m_least_attempts;
  for (std::string& text : FindViolations(evidence)) {
    violations.push_back(std::move(text));
  }
  for (const std::string& text : violations) {
    m_site.Note("violation " + text);
  }
  m_site.Stop();
  return violations;
}

void Fleet::Play() {
  for (const Disruption& disruption : m_schedule.m_disruptions) {
    After(disruption.m_at, [this, disruption] {
      if (disruption.m_at_start) {
        m_at_starts.push_back(disruption);
      } else {
        Begin(disruption);
      }
    });
  }
  const milliseconds end = m_started_at + m_options.m_duration;
  while (!m_actions.empty() || m_site.Now() < end) {
    Step();
    if (m_site.Now() >= end) {
      m_at_starts.clear();
    }
  }
}

void Fleet::Settle(std::vector<std::string>* violations) {
  const milliseconds began = m_site.Now();
  m_site.Note("settle");
  milliseconds deadline = began + kFinishTime;
  std::vector<std::string> incomplete;
  do {
    Step();
    const std::vector<RunSeen> runs = m_site.Runs();
    for (const RunSeen& run : runs) {
      if (run.m_how == "crashed") {
        deadline = std::max(deadline, std::min(run.m_ended + kFinishTime,
                                               began + kLongestSettling));
      }
    }
    incomplete = FindIncompleteLasting(m_clients.Jobs(), runs);
    std::this_thread::sleep_for(kStep * 10);
  } while (m_site.Now() < deadline &&
           (!incomplete.empty() || m_site.Now() < began + kCalmTime));
  for (const std::string& id : incomplete) {
    violations->push_back("LOST: lasting job " + id + " does not run whole");
  }
}

void Fleet::Step() {
  std::this_thread::sleep_for(kStep);
  m_site.Tick();
  while (!m_actions.empty() && m_actions.begin()->first <= m_site.Now()) {
    const Action action = std::move(m_actions.begin()->second);
    m_actions.erase(m_actions.begin());
    action();
  }
  StepStarts();
}

void Fleet::StepStarts() {
  const std::vector<RunSeen> runs = m_site.Runs(m_runs_seen);
  m_runs_seen += runs.size();
  for (const RunSeen& run : runs) {
    if (IsOfLastingJob(run)) {
      MeetStart(run);
    }
  }
}

void Fleet::MeetStart(const RunSeen& run) {
  const auto matches = [this, &run](const Disruption& disruption) {
    const auto bound = m_series_tasks.find(disruption.m_series);
    return bound == m_series_tasks.end() || bound->second == run.m_task;
  };
  const auto it = std::find_if(m_at_starts.begin(), m_at_starts.end(), matches);
  const int worker = m_site.FindWorker(run.m_worker);
  if (it == m_at_starts.end() || worker < 0) {
    return;
  }
  Disruption disruption = *it;
  m_at_starts.erase(it);
  m_series_tasks[disruption.m_series] = run.m_task;
  disruption.m_target = worker;
  const bool is_crash = disruption.m_kind == DisruptionKind::kCrashWorker ||
                        disruption.m_kind == DisruptionKind::kReplaceWorker;
  After(milliseconds(is_crash ? disruption.m_value : 0),
        [this, disruption] { Begin(disruption); });
}

bool Fleet::IsOfLastingJob(const RunSeen& run) const {
  return std::any_of(m_schedule.m_jobs.begin(), m_schedule.m_jobs.end(),
                     [&run](const JobPlan& job) {
                       return job.m_kind == JobKind::kLasting &&
                              run.IsOf(job.m_id);
                     });
}

int Fleet::FindBusyWorker() {
  for (const RunSeen& run : m_site.Runs()) {
    if (run.IsRunning() && IsOfLastingJob(run)) {
      return m_site.FindWorker(run.m_worker);
    }
  }
  return -1;
}

void Fleet::After(milliseconds delay, Action action) {
  m_actions.emplace(m_site.Now() + delay, std::move(action));
}

void Fleet::Begin(const Disruption& disruption) {
  m_site.Note("disruption " + NameOf(disruption.m_kind) +
              " target=" + std::to_string(disruption.m_target) +
              " ms=" + std::to_string(disruption.m_duration.count()) +
              " value=" + std::to_string(disruption.m_value));
  if (disruption.m_kind == DisruptionKind::kChangeAttempts) {
    m_least_attempts = std::min(m_least_attempts, disruption.m_value);
    m_site.SetMaxAttempts(disruption.m_value);
  } else if (disruption.m_kind == DisruptionKind::kSilenceEveryBeat) {
    SilenceBeats(disruption.m_duration);
  } else if (IsOnStore(disruption.m_kind)) {
    BeginOnStore(disruption);
  } else if (IsOnNodes(disruption.m_kind)) {
    BeginOnNodes(disruption);
  } else {
    BeginOnWorker(disruption);
  }
}

void Fleet::BeginOnWorker(const Disruption& disruption) {
  const int worker = disruption.m_target == kBusyWorker ? FindBusyWorker()
                                                        : disruption.m_target;
  if (worker < 0) {
    m_site.Note("no worker to disrupt");
    return;
  }
  const milliseconds time = disruption.m_duration;
  if (disruption.m_kind == DisruptionKind::kCutWorker) {
    CutWorker(worker, time);
  } else if (disruption.m_kind == DisruptionKind::kSlowWorker) {
    SlowWorker(worker, milliseconds(disruption.m_value), time);
  } else if (disruption.m_kind == DisruptionKind::kUpdateWorker) {
    UpdateWorker(worker, time);
  } else if (disruption.m_kind == DisruptionKind::kCrashUnseen) {
    CrashUnseen(worker, time);
  } else {
    CrashWorker(worker, time,
                disruption.m_kind == DisruptionKind::kReplaceWorker);
  }
}

void Fleet::BeginOnNodes(const Disruption& disruption) {
  for (int node = 0; node < m_options.m_nodes; ++node) {
    if (disruption.m_target != kEveryNode && disruption.m_target != node) {
      continue;
    }
    if (disruption.m_kind == DisruptionKind::kFreezeNode) {
      FreezeNode(node, disruption.m_duration);
    } else {
      StopNode(
          node,
          disruption.m_kind == DisruptionKind::kKillNode ? SIGKILL : SIGTERM,
          disruption.m_duration);
    }
  }
}

void Fleet::BeginOnStore(const Disruption& disruption) {
  StoreFault fault;
  fault.m_node = disruption.m_target;
  fault.m_status = disruption.m_value;
  if (disruption.m_kind == DisruptionKind::kResetStore) {
    fault.m_kind = StoreFaultKind::kReset;
  } else if (disruption.m_kind == DisruptionKind::kRefuseWrites) {
    fault.m_kind = StoreFaultKind::kRefusesWrites;
  }
  const int number = m_site.AddStoreFault(fault);
  AddPlannedSpan(disruption.m_target, disruption.m_duration);
  After(disruption.m_duration, [this, number] {
    m_site.EndStoreFault(number);
    m_site.Note("store-fault-ended number=" + std::to_string(number));
  });
}

void Fleet::CrashWorker(int worker, milliseconds down, bool replace) {
  WorkerState& state = m_workers[static_cast<std::size_t>(worker)];
  if (state.m_down) {
    return;
  }
  state.m_down = true;
  m_site.CrashWorker(worker);
  const std::string id =
      replace ? "i-" + std::to_string(9000 + m_replacements++) : "";
  After(down, [this, worker, id, &state] {
    m_site.StartWorker(worker, id);
    state.m_down = false;
  });
}

void Fleet::UpdateWorker(int worker, milliseconds left) {
  WorkerState& state = m_workers[static_cast<std::size_t>(worker)];
  if (state.m_down) {
    return;
  }
  state.m_down = true;
  m_site.DrainWorker(worker, left);
  After(left, [this, worker, &state] {
    m_site.CrashWorker(worker);
    m_site.StartWorker(worker, "");
    state.m_down = false;
  });
}

void Fleet::CrashUnseen(int worker, milliseconds frozen) {
  for (int node = 0; node < m_options.m_nodes; ++node) {
    FreezeNode(node, frozen);
  }
  After(frozen * 2 / 3,
        [this, worker] { CrashWorker(worker, milliseconds(0), false); });
}

void Fleet::CutWorker(int worker, milliseconds time) {
  WorkerState& state = m_workers[static_cast<std::size_t>(worker)];
  if (++state.m_cuts == 1) {
    m_site.SetWorkerCut(worker, true);
    m_site.SetBeatsSilent(worker, true);
  }
  After(time, [this, worker, &state] {
    if (--state.m_cuts == 0) {
      m_site.SetWorkerCut(worker, false);
      m_site.SetBeatsSilent(worker, false);
    }
  });
}

void Fleet::SlowWorker(int worker, milliseconds delay, milliseconds time) {
  m_site.SlowWorker(worker, delay);
  After(time, [this, worker] { m_site.SlowWorker(worker, milliseconds(0)); });
}

void Fleet::SilenceBeats(milliseconds time) {
  for (int worker = 0; worker < m_options.m_workers; ++worker) {
    m_site.SetBeatsSilent(worker, true);
  }
  After(time, [this] {
    for (int worker = 0; worker < m_options.m_workers; ++worker) {
      m_site.SetBeatsSilent(
          worker, m_workers[static_cast<std::size_t>(worker)].m_cuts > 0);
    }
  });
}

void Fleet::FreezeNode(int node, milliseconds time) {
  NodeState& state = m_nodes[static_cast<std::size_t>(node)];
  if (state.m_down) {
    return;
  }
  const milliseconds from = m_site.Now();
  AddPlannedSpan(node, time);
  if (++state.m_freezes == 1) {
    m_site.SignalNode(node, SIGSTOP);
  }
  After(time, [this, node, from, &state] {
    if (--state.m_freezes == 0 && !state.m_down) {
      m_site.SignalNode(node, SIGCONT);
    }
    AddSpan(node, from);
  });
}

void Fleet::StopNode(int node, int signal, milliseconds down) {
  NodeState& state = m_nodes[static_cast<std::size_t>(node)];
  if (state.m_down) {
    return;
  }
  const milliseconds from = m_site.Now();
  state.m_down = true;
  AddPlannedSpan(node, kGraceTime + down);
  if (state.m_freezes > 0 && signal == SIGTERM) {
    m_site.SignalNode(node, SIGCONT);
  }
  m_site.SignalNode(node, signal);
  After(signal == SIGTERM ? kGraceTime + down : down, [this, node, from] {
    if (!m_site.HasNodeEnded(node)) {
      m_site.SignalNode(node, SIGKILL);
    }
    StartNode(node, from);
  });
}

void Fleet::StartNode(int node, milliseconds stopped_at) {
  m_site.StartNode(node);
  m_nodes[static_cast<std::size_t>(node)].m_down = false;
  AddSpan(node, stopped_at);
}

void Fleet::AddSpan(int node, milliseconds from) {
  m_disrupted.push_back({node, from, m_site.Now()});
}

void Fleet::AddPlannedSpan(int node, milliseconds time) {
  const milliseconds now = m_site.Now();
  for (int i = 0; i < m_options.m_nodes; ++i) {
    if (node == kEveryNode || node == i) {
      m_disrupted.push_back({i, now, now + time});
    }
  }
}

}  // namespace fleet
