#include "platform/standin/fleet_site.h"

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

using review::Json;
using review::Minion;
using review::SeenRun;

constexpr milliseconds kEntryLifetime{4500};  // Three silent beats.
constexpr milliseconds kWorkerDown{1000};

review::CaseArguments ToArguments(const FleetOptions& options) {
  review::CaseArguments arguments;
  arguments.m_program = options.m_program;
  arguments.m_record = options.m_log_dir + "/record.txt";
  arguments.m_folder = options.m_log_dir;
  return arguments;
}

std::string SpecOf(const JobPlan& job) {
  const std::string work = std::to_string(job.m_work.count());
  switch (job.m_kind) {
    case JobKind::kLasting:
      return "work=0";
    case JobKind::kShort:
      return "work=" + work;
    case JobKind::kFailing:
      return "work=" + work + " failrun=1";
    case JobKind::kDeadly:
      return "work=60000 deadly=" + work;
    case JobKind::kDeadlyLasting:
      return "work=0 deadly=" + work;
  }
  return "";
}

Json ToJson(const JobPlan& job) {
  Json step = {{"count", job.m_tasks},
               {"cpu", 4000},
               {"memMb", 1000},
               {"estimateMs", std::max<std::int64_t>(job.m_work.count(), 500)}};
  if (Lasts(job.m_kind)) {
    step["longRunning"] = true;
  }
  if (!job.m_label.empty()) {
    step["requirements"] = job.m_label;
  }
  return {{"spec", SpecOf(job)}, {"steps", Json::array({step})}};
}

}  // namespace

FleetSite::FleetSite(const FleetOptions& options)
    : m_options(options), m_site(ToArguments(options)) {
  m_site.GetStore().SetFaults([this](const review::Request& request, bool) {
    return FindFault(request);
  });
}

bool FleetSite::Start() {
  m_site.SeparateCallers(m_options.m_nodes);
  m_site.WriteConfig(m_options.m_max_attempts, m_config_version);
  for (int i = 0; i < m_options.m_workers; ++i) {
    review::MinionSettings settings;
    settings.m_id = "i-" + std::to_string(1000 + i);
    settings.m_rack = "r1-" + std::to_string(1 + i / 8);
    settings.m_tick = milliseconds(10);
    m_site.AddMinion(settings);
  }
  m_listed.assign(static_cast<std::size_t>(m_options.m_workers), true);
  return m_site.StartNodes(m_options.m_nodes);
}

void FleetSite::Stop() {
  m_site.Stop();
}

void FleetSite::Tick() {
  for (std::size_t i = 0; i < m_listed.size(); ++i) {
    Minion& worker = *m_site.Minions()[i];
    if (worker.WantsCrash()) {
      worker.Crash();
    }
    if (worker.IsDown() && worker.DownFor() >= kWorkerDown &&
        worker.WantsCrash()) {
      StartWorker(static_cast<int>(i), "");
    }
    const bool listed = worker.Silence() < kEntryLifetime;
    if (m_listed[i] && !listed) {
      Note("entry-expired id=" + worker.Id());
      m_site.GetStore().Put("keyed.servers", worker.Id(), "");
    }
    m_listed[i] = listed;
  }
}

void FleetSite::CrashWorker(int worker) {
  m_site.Minions().at(static_cast<std::size_t>(worker))->Crash();
}

void FleetSite::StartWorker(int worker, const std::string& id) {
  Minion& life = *m_site.Minions().at(static_cast<std::size_t>(worker));
  if (!life.IsDown()) {
    return;
  }
  if (!id.empty()) {
    m_site.GetStore().Put("keyed.servers", life.Id(), "");
    life.SetId(id);
  }
  // Another connection may use the port for a moment.
  if (!review::WaitFor(2000, [&life] { return life.Begin(); })) {
    Note("worker-not-started id=" + life.Id());
  }
}

void FleetSite::SetWorkerCut(int worker, bool cut) {
  m_site.Minions().at(static_cast<std::size_t>(worker))->SetCut(cut);
}

void FleetSite::SetBeatsSilent(int worker, bool silent) {
  m_site.Minions().at(static_cast<std::size_t>(worker))->SetMute(silent);
}

void FleetSite::SlowWorker(int worker, milliseconds delay) {
  m_site.Minions().at(static_cast<std::size_t>(worker))->SetSlow(delay);
}

void FleetSite::DrainWorker(int worker, milliseconds left) {
  m_site.Minions().at(static_cast<std::size_t>(worker))->Drain(left);
}

std::string FleetSite::IdOfWorker(int worker) {
  return m_site.Minions().at(static_cast<std::size_t>(worker))->Id();
}

int FleetSite::FindWorker(const std::string& id) {
  for (std::size_t i = 0; i < m_site.Minions().size(); ++i) {
    if (m_site.Minions()[i]->Id() == id) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

int FleetSite::AddStoreFault(const StoreFault& fault) {
  const int number = [&] {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_faults[m_next_fault] = fault;
    return m_next_fault++;
  }();
  if (fault.m_kind == StoreFaultKind::kReset) {
    for (int node = 0; node < m_options.m_nodes; ++node) {
      if (fault.m_node < 0 || fault.m_node == node) {
        m_site.GetStore().CloseConnectionsOf(node);
      }
    }
  }
  return number;
}

void FleetSite::EndStoreFault(int number) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_faults.erase(number);
}

review::Store::Fault FleetSite::FindFault(const review::Request& request) {
  review::Store::Fault found;
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& entry : m_faults) {
    const StoreFault& fault = entry.second;
    if (fault.m_node >= 0 && fault.m_node != request.m_caller) {
      continue;
    }
    if (fault.m_kind == StoreFaultKind::kSilent) {
      found.m_delivery = review::Delivery::kSilent;
    } else if (fault.m_kind == StoreFaultKind::kReset) {
      found.m_delivery = review::Delivery::kReset;
    } else if (request.m_path == "/api/log-append") {
      found.m_status = fault.m_status;
    }
  }
  return found;
}

void FleetSite::SetMaxAttempts(int max_attempts) {
  m_site.WriteConfig(max_attempts, ++m_config_version);
}

int FleetSite::Submit(int node, const JobPlan& job, milliseconds timeout) {
  return m_site
      .Client(node, "POST", job.m_id, ToJson(job).dump(), timeout.count())
      .m_status;
}

int FleetSite::Cancel(int node, const std::string& id, milliseconds timeout) {
  return m_site.Client(node, "DELETE", id, "", timeout.count()).m_status;
}

std::string FleetSite::State(int node,
                             const std::string& id,
                             milliseconds timeout) {
  const review::Answer answer =
      m_site.Client(node, "GET", id, "", timeout.count());
  if (answer.m_status == 410) {
    return "unknown";
  }
  const Json body = Json::parse(answer.m_body, nullptr, false);
  return answer.m_status == 200 && body.is_object()
             ? body.value("state", std::string())
             : "";
}

std::vector<RunSeen> FleetSite::Runs(std::size_t first) {
  std::vector<RunSeen> runs;
  for (const SeenRun& seen : m_site.History().Runs(first)) {
    RunSeen run;
    run.m_task = seen.m_task;
    run.m_run = seen.m_run;
    run.m_worker = seen.m_minion;
    run.m_began = milliseconds(seen.m_began);
    run.m_ended = milliseconds(seen.m_ended);
    run.m_how = seen.m_how;
    runs.push_back(std::move(run));
  }
  return runs;
}

}  // namespace fleet
