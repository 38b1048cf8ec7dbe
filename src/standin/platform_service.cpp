#include "standin/platform_service.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "hyssopspar/logging.h"
#include "hyssopspar/platform_codec.h"
#include "hyssopspar/text.h"

namespace hyssopspar::standin {

namespace {

constexpr int kServerThreads = 4;
constexpr const char* kLogComponent = "standin";

/// The segment of \p path that follows \p prefix, up to the next slash.
std::string PathSegmentAfter(const std::string& path,
                             const std::string& prefix) {
  const std::size_t end = path.find('/', prefix.size());
  return path.substr(prefix.size(), end == std::string::npos
                                        ? std::string::npos
                                        : end - prefix.size());
}

HttpResponse NotFound(const std::string& what) {
  return ErrorResponse(404, "not-found", what);
}

}  // namespace

PlatformService::PlatformService(const StandinSettings& settings)
    : m_settings(settings),
      m_log(static_cast<std::size_t>(settings.m_retention_records),
            settings.m_append_delay,
            static_cast<std::uint64_t>(settings.m_seed),
            &m_delay_queue),
      m_server(
          [this](HttpRequest request, HttpReply reply) {
            Handle(std::move(request), std::move(reply));
          },
          HttpServerLimits(),
          kServerThreads) {}

PlatformService::~PlatformService() {
  Stop();
}

Result<void> PlatformService::Start() {
  Result<void> started = m_server.Start(m_settings.m_listen);
  if (!started) {
    return started;
  }
  CreateVms();
  for (const std::unique_ptr<EndpointServer>& endpoint : m_endpoints) {
    Result<void> endpoint_started = endpoint->Start();
    if (!endpoint_started) {
      return endpoint_started;
    }
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  std::size_t next_endpoint = 0;
  for (Vm& vm : m_vm_list_versions.back().m_vms) {
    const std::uint16_t port = vm.m_kind == VmKind::kWorker
                                   ? m_server.Port()
                                   : m_endpoints[next_endpoint++]->Port();
    vm.m_address = "127.0.0.1:" + std::to_string(port);
  }
  return Ok();
}

void PlatformService::Stop() {
  m_server.Stop();
  for (const std::unique_ptr<EndpointServer>& endpoint : m_endpoints) {
    endpoint->Stop();
  }
}

void PlatformService::CreateVms() {
  const TimePoint now = Clock::now();
  VmListVersion list;
  list.m_valid_from = now;
  std::uint64_t seed = static_cast<std::uint64_t>(m_settings.m_seed);
  for (const DomainSettings& domain : m_settings.m_domain_settings) {
    std::vector<std::string> hosts;
    for (std::int64_t i = 0; i < domain.m_worker_count; ++i) {
      Vm vm;
      vm.m_name = "w-" + domain.m_name + "-" + std::to_string(i);
      vm.m_kind = VmKind::kWorker;
      vm.m_failure_domain = domain.m_name;
      vm.m_rack = domain.m_name + "-r" +
                  std::to_string(i / m_settings.m_workers_per_rack);
      vm.m_capacity = m_settings.m_worker_capacity;
      WorkerModel& model = m_workers[vm.m_name];
      model.m_name = vm.m_name;
      model.m_failure_domain = domain.m_name;
      model.m_capacity = vm.m_capacity;
      model.m_boot_id = ++seed;
      model.m_boot_time = now;
      hosts.push_back(vm.m_name);
      list.m_vms.push_back(std::move(vm));
    }
    for (std::int64_t i = 0; i < domain.m_endpoint_count; ++i) {
      Vm vm;
      vm.m_name = "e-" + domain.m_name + "-" + std::to_string(i);
      vm.m_kind = VmKind::kEndpoint;
      vm.m_failure_domain = domain.m_name;
      vm.m_service = m_settings.m_service_name;
      vm.m_slots = m_settings.m_slots;
      vm.m_max_connections = m_settings.m_max_connections;
      vm.m_host = hosts.empty() ? "" : hosts[i % hosts.size()];
      m_endpoints.push_back(std::make_unique<EndpointServer>(
          m_settings, vm.m_name, domain.m_name, ++seed, &m_delay_queue));
      list.m_vms.push_back(std::move(vm));
    }
  }
  m_vm_list_versions.push_back(std::move(list));
}

void PlatformService::Handle(HttpRequest request, HttpReply reply) {
  const std::string path = PathOf(request.m_target);
  if (StartsWith(path, "/v1/streams/")) {
    HandleStream(path, std::move(request), std::move(reply));
  } else if (StartsWith(path, "/v1/workers/")) {
    reply(HandleWorker(path, request));
  } else if (path == "/v1/vms") {
    reply(ListVms());
  } else if (path == "/v1/faults" && request.m_method == "POST") {
    reply(HandleFaults(request));
  } else if (path == "/v1/check") {
    reply(CheckRecords());
  } else if (path == "/v1/stats") {
    reply(ReportStats());
  } else {
    reply(NotFound(path));
  }
}

void PlatformService::HandleStream(const std::string& path,
                                   HttpRequest request,
                                   HttpReply reply) {
  const std::string stream = PathSegmentAfter(path, "/v1/streams/");
  if (stream.empty() || path != "/v1/streams/" + stream + "/records") {
    reply(NotFound(path));
  } else if (request.m_method == "POST") {
    m_log.Append(stream, std::move(request), std::move(reply));
  } else {
    m_log.Read(stream, request, std::move(reply));
  }
}

HttpResponse PlatformService::HandleWorker(const std::string& path,
                                           const HttpRequest& request) {
  const std::string name = PathSegmentAfter(path, "/v1/workers/");
  std::lock_guard<std::mutex> lock(m_mutex);
  const std::map<std::string, WorkerModel>::iterator it = m_workers.find(name);
  if (it == m_workers.end()) {
    return NotFound("worker " + name);
  }
  if (m_unresponsive_workers[name]) {
    return ErrorResponse(504, "timeout", "worker silent");
  }
  if (path == "/v1/workers/" + name + "/usage") {
    return ReportUsage(name);
  }
  return HandleSync(&it->second, request);
}

HttpResponse PlatformService::HandleSync(WorkerModel* worker,
                                         const HttpRequest& request) {
  const Result<WorkerSync> sync = DecodeSync(request.m_body);
  if (!sync) {
    return ErrorResponse(400, "malformed", sync.error().m_detail);
  }
  const RunTimeModel run_time_model =
      m_settings.m_randomize_run_times ? RandomizedRunTime : DeclaredRunTime;
  const TimePoint now = Clock::now();
  const WorkerReport report =
      SyncWorker(worker, sync.value(), run_time_model, now);
  RecordUsage(*worker, now);
  return JsonResponse(200, EncodeReport(report));
}

void PlatformService::RecordUsage(const WorkerModel& worker, TimePoint now) {
  std::deque<UsageSample>& samples = m_usage_samples[worker.m_name];
  const std::size_t running = static_cast<std::size_t>(
      std::count_if(worker.m_tasks.begin(), worker.m_tasks.end(),
                    [](const std::pair<const AttemptId, TaskModel>& task) {
                      return task.second.m_phase == TaskPhase::kRunning;
                    }));
  samples.push_back(UsageSample{now, UsedResources(worker), running});
  while (samples.size() > 1 &&
         samples[1].m_time <= now - m_settings.m_usage_lag) {
    samples.pop_front();
  }
}

HttpResponse PlatformService::ReportUsage(const std::string& worker) {
  const TimePoint now = Clock::now();
  UsageSample reported;
  reported.m_time = now;
  for (const UsageSample& sample : m_usage_samples[worker]) {
    if (sample.m_time <= now - m_settings.m_usage_lag) {
      reported = sample;
    }
  }
  return JsonResponse(
      200, nlohmann::json{{"age_ms", ToMillis(now - reported.m_time)},
                          {"cpu_milli", reported.m_used.m_cpu_milli},
                          {"memory_mib", reported.m_used.m_memory_mib},
                          {"accelerators", reported.m_used.m_accelerators},
                          {"tasks", reported.m_running_tasks}}
               .dump());
}

HttpResponse PlatformService::ListVms() {
  const TimePoint as_of = Clock::now() - m_settings.m_vm_list_lag;
  std::lock_guard<std::mutex> lock(m_mutex);
  while (m_vm_list_versions.size() > 1 &&
         m_vm_list_versions[1].m_valid_from <= as_of) {
    m_vm_list_versions.pop_front();
  }
  return JsonResponse(200, EncodeVms(m_vm_list_versions.front().m_vms));
}

void PlatformService::SetVmState(const std::string& name, VmState state) {
  std::lock_guard<std::mutex> lock(m_mutex);
  VmListVersion next = m_vm_list_versions.back();
  next.m_valid_from = Clock::now();
  for (Vm& vm : next.m_vms) {
    if (vm.m_name == name) {
      vm.m_state = state;
    }
  }
  m_vm_list_versions.push_back(std::move(next));
}

HttpResponse PlatformService::HandleFaults(const HttpRequest& request) {
  const nlohmann::json json =
      nlohmann::json::parse(request.m_body, nullptr, false);
  if (!json.is_object()) {
    return ErrorResponse(400, "malformed", "expected a JSON object");
  }
  try {
    LogFaults log = m_log.Faults();
    log.m_unavailable = json.value("log_down", log.m_unavailable);
    log.m_answer_loss_probability =
        json.value("log_lose_answers", log.m_answer_loss_probability);
    log.m_extra_delay = milliseconds(
        json.value("log_extra_delay_ms", log.m_extra_delay.count()));
    m_log.SetFaults(log);
    const std::string vm = json.value("vm", std::string());
    for (const std::unique_ptr<EndpointServer>& endpoint : m_endpoints) {
      if (endpoint->Name() != vm) {
        continue;
      }
      if (json.contains("slowdown")) {
        endpoint->SetSlowdown(json["slowdown"].get<double>());
      }
      if (json.contains("leaving")) {
        endpoint->SetLeaving(json["leaving"].get<bool>());
      }
      if (json.contains("frozen")) {
        endpoint->SetFrozen(json["frozen"].get<bool>());
      }
    }
    if (json.contains("leaving")) {
      SetVmState(
          vm, json["leaving"].get<bool>() ? VmState::kLeaving : VmState::kLive);
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    const std::map<std::string, WorkerModel>::iterator worker =
        m_workers.find(vm);
    if (worker != m_workers.end()) {
      if (json.value("reboot", false)) {
        RebootWorker(&worker->second, Clock::now());
      }
      worker->second.m_fails_all_tasks =
          json.value("fails_all", worker->second.m_fails_all_tasks);
      m_unresponsive_workers[vm] =
          json.value("silent", m_unresponsive_workers[vm]);
    }
  } catch (const nlohmann::json::exception& e) {
    return ErrorResponse(400, "invalid-argument", e.what());
  }
  Log(kLogComponent)->info("faults-set faults={}", json.dump());
  return JsonResponse(200, "{}");
}

std::vector<AttemptRun> PlatformService::CollectRuns() {
  std::vector<AttemptRun> runs;
  const TimePoint now = Clock::now();
  std::lock_guard<std::mutex> lock(m_mutex);
  for (std::pair<const std::string, WorkerModel>& entry : m_workers) {
    AdvanceWorker(&entry.second, now);
    runs.insert(runs.end(), entry.second.m_runs.begin(),
                entry.second.m_runs.end());
  }
  return runs;
}

HttpResponse PlatformService::CheckRecords() {
  const std::vector<AttemptRun> runs = CollectRuns();
  std::vector<std::string> violations = CheckRunInvariants(runs);
  std::vector<EndpointModel> models;
  models.reserve(m_endpoints.size());
  for (const std::unique_ptr<EndpointServer>& endpoint : m_endpoints) {
    models.push_back(endpoint->CopyModel());
  }
  std::vector<const EndpointModel*> pointers;
  pointers.reserve(models.size());
  std::size_t service_count = 0;
  for (const EndpointModel& model : models) {
    pointers.push_back(&model);
    service_count += model.m_service_records.size();
  }
  const std::vector<std::string> request_violations =
      CheckServiceRecords(pointers);
  violations.insert(violations.end(), request_violations.begin(),
                    request_violations.end());
  std::size_t finished = 0;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const std::pair<const std::string, WorkerModel>& entry : m_workers) {
      violations.insert(violations.end(), entry.second.m_violations.begin(),
                        entry.second.m_violations.end());
    }
  }
  for (const AttemptRun& run : runs) {
    finished += run.m_finished ? 1 : 0;
  }
  return JsonResponse(200, nlohmann::json{{"violations", violations},
                                          {"runs", runs.size()},
                                          {"finished", finished},
                                          {"services", service_count}}
                               .dump());
}

HttpResponse PlatformService::ReportStats() {
  return JsonResponse(200, nlohmann::json{{"log_appends", m_log.AppendCount()},
                                          {"log_bytes", m_log.AppendedBytes()}}
                               .dump());
}

}  // namespace hyssopspar::standin
