#include "hyssopspar/platform_codec.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <websocketpp/base64/base64.hpp>

#include "hyssopspar/json_depth.h"

namespace hyssopspar {

namespace {

using Json = nlohmann::json;

NLOHMANN_JSON_SERIALIZE_ENUM(TaskPhase,
                             {{TaskPhase::kRunning, "running"},
                              {TaskPhase::kFinished, "finished"},
                              {TaskPhase::kFailed, "failed"},
                              {TaskPhase::kStopped, "stopped"}})

NLOHMANN_JSON_SERIALIZE_ENUM(VmKind,
                             {{VmKind::kWorker, "worker"},
                              {VmKind::kEndpoint, "endpoint"}})

NLOHMANN_JSON_SERIALIZE_ENUM(VmState,
                             {{VmState::kLive, "live"},
                              {VmState::kLeaving, "leaving"},
                              {VmState::kDead, "dead"}})

constexpr std::size_t kMaxDetailBytes = 300;

/// Parses \p text and has \p read fill a T from it. Fails with kMalformed when
/// the text is not JSON, or a field is missing or of the wrong type.
template <class T, class Function>
Result<T> ParseJson(const std::string& text, Function read) {
  try {
    T value;
    if (IsNestedDeeperThan(text, kMaxJsonDepth)) {
      return Fail(ErrorCode::kMalformed, "nested too deeply");
    }
    read(Json::parse(text), value);
    return value;
  } catch (const Json::exception& e) {
    // Parsers quote the text that they reject.
    return Fail(ErrorCode::kMalformed,
                std::string(e.what()).substr(0, kMaxDetailBytes));
  }
}

Json ToJson(const Resources& r) {
  return Json{{"cpu_milli", r.m_cpu_milli},
              {"memory_mib", r.m_memory_mib},
              {"accelerators", r.m_accelerators}};
}

Resources ResourcesFromJson(const Json& json) {
  Resources r;
  json.at("cpu_milli").get_to(r.m_cpu_milli);
  json.at("memory_mib").get_to(r.m_memory_mib);
  json.at("accelerators").get_to(r.m_accelerators);
  return r;
}

Json ToJson(const AttemptId& id) {
  return Json::array({id.m_task.m_job, id.m_task.m_index, id.m_attempt});
}

AttemptId AttemptFromJson(const Json& json) {
  AttemptId id;
  json.at(0).get_to(id.m_task.m_job);
  json.at(1).get_to(id.m_task.m_index);
  json.at(2).get_to(id.m_attempt);
  return id;
}

Json ToJson(const std::vector<AttemptId>& ids) {
  Json items = Json::array();
  for (const AttemptId& id : ids) {
    items.push_back(ToJson(id));
  }
  return items;
}

void AppendAttempts(const Json& json, std::vector<AttemptId>* ids) {
  for (const Json& item : json) {
    ids->push_back(AttemptFromJson(item));
  }
}

Json ToJson(const StartCommand& start) {
  return Json{{"id", ToJson(start.m_id)},
              {"size", ToJson(start.m_size)},
              {"class", start.m_class},
              {"work_ms", start.m_run_time.count()},
              {"progress", start.m_progress}};
}

StartCommand StartFromJson(const Json& json) {
  StartCommand start;
  start.m_id = AttemptFromJson(json.at("id"));
  start.m_size = ResourcesFromJson(json.at("size"));
  json.at("class").get_to(start.m_class);
  start.m_run_time = milliseconds(json.at("work_ms").get<std::int64_t>());
  json.at("progress").get_to(start.m_progress);
  return start;
}

WorkerTime WorkerTimeFromJson(const Json& json) {
  return WorkerTime(milliseconds(json.get<std::int64_t>()));
}

std::int64_t MillisSinceEpoch(WorkerTime time) {
  return time.time_since_epoch().count();
}

Json ToJson(const Vm& vm) {
  Json json{{"name", vm.m_name},   {"kind", vm.m_kind},
            {"state", vm.m_state}, {"failure_domain", vm.m_failure_domain},
            {"rack", vm.m_rack},   {"address", vm.m_address}};
  if (vm.m_kind == VmKind::kWorker) {
    json["capacity"] = ToJson(vm.m_capacity);
  } else {
    json["service"] = vm.m_service;
    json["host"] = vm.m_host;
    json["slots"] = vm.m_slots;
    json["connections"] = vm.m_max_connections;
  }
  return json;
}

Vm VmFromJson(const Json& json) {
  Vm vm;
  json.at("name").get_to(vm.m_name);
  json.at("kind").get_to(vm.m_kind);
  json.at("state").get_to(vm.m_state);
  json.at("failure_domain").get_to(vm.m_failure_domain);
  json.at("rack").get_to(vm.m_rack);
  json.at("address").get_to(vm.m_address);
  if (vm.m_kind == VmKind::kWorker) {
    vm.m_capacity = ResourcesFromJson(json.at("capacity"));
  } else {
    json.at("service").get_to(vm.m_service);
    json.at("host").get_to(vm.m_host);
    json.at("slots").get_to(vm.m_slots);
    json.at("connections").get_to(vm.m_max_connections);
  }
  return vm;
}

}  // namespace

std::string EncodeSlice(const LogSlice& slice) {
  Json records = Json::array();
  for (const LogRecord& record : slice.m_records) {
    records.push_back(
        Json{{"offset", record.m_offset},
             {"payload", websocketpp::base64_encode(record.m_payload)}});
  }
  return Json{{"start", slice.m_start},
              {"end", slice.m_end},
              {"records", std::move(records)}}
      .dump();
}

Result<LogSlice> DecodeSlice(const std::string& text) {
  return ParseJson<LogSlice>(text, [](const Json& json, LogSlice& slice) {
    json.at("start").get_to(slice.m_start);
    json.at("end").get_to(slice.m_end);
    for (const Json& item : json.at("records")) {
      LogRecord record;
      item.at("offset").get_to(record.m_offset);
      record.m_payload = websocketpp::base64_decode(
          item.at("payload").get_ref<const std::string&>());
      slice.m_records.push_back(std::move(record));
    }
  });
}

std::string EncodeSync(const WorkerSync& sync) {
  Json starts = Json::array();
  for (const StartCommand& start : sync.m_start) {
    starts.push_back(ToJson(start));
  }
  return Json{{"boot", sync.m_boot_id},
              {"not_after_ms", MillisSinceEpoch(sync.m_not_after)},
              {"lease_until_ms", MillisSinceEpoch(sync.m_lease_until)},
              {"start", std::move(starts)},
              {"stop", ToJson(sync.m_stop)},
              {"throttle", ToJson(sync.m_throttle)},
              {"forget", ToJson(sync.m_discard)}}
      .dump();
}

Result<WorkerSync> DecodeSync(const std::string& text) {
  return ParseJson<WorkerSync>(text, [](const Json& json, WorkerSync& sync) {
    json.at("boot").get_to(sync.m_boot_id);
    sync.m_not_after = WorkerTimeFromJson(json.at("not_after_ms"));
    sync.m_lease_until = WorkerTimeFromJson(json.at("lease_until_ms"));
    for (const Json& item : json.at("start")) {
      sync.m_start.push_back(StartFromJson(item));
    }
    AppendAttempts(json.at("stop"), &sync.m_stop);
    AppendAttempts(json.at("throttle"), &sync.m_throttle);
    AppendAttempts(json.at("forget"), &sync.m_discard);
  });
}

std::string EncodeReport(const WorkerReport& report) {
  Json tasks = Json::array();
  for (const TaskReport& task : report.m_tasks) {
    tasks.push_back(Json{{"id", ToJson(task.m_id)},
                         {"phase", task.m_phase},
                         {"progress", task.m_progress}});
  }
  return Json{{"boot", report.m_boot_id},
              {"now_ms", MillisSinceEpoch(report.m_now)},
              {"accepted", report.m_accepted},
              {"tasks", std::move(tasks)}}
      .dump();
}

Result<WorkerReport> DecodeReport(const std::string& text) {
  return ParseJson<WorkerReport>(
      text, [](const Json& json, WorkerReport& report) {
        json.at("boot").get_to(report.m_boot_id);
        report.m_now = WorkerTimeFromJson(json.at("now_ms"));
        json.at("accepted").get_to(report.m_accepted);
        for (const Json& item : json.at("tasks")) {
          TaskReport task;
          task.m_id = AttemptFromJson(item.at("id"));
          item.at("phase").get_to(task.m_phase);
          item.at("progress").get_to(task.m_progress);
          report.m_tasks.push_back(task);
        }
      });
}

std::string EncodeVms(const std::vector<Vm>& vms) {
  Json items = Json::array();
  for (const Vm& vm : vms) {
    items.push_back(ToJson(vm));
  }
  return Json{{"vms", std::move(items)}}.dump();
}

Result<std::vector<Vm>> DecodeVms(const std::string& text) {
  return ParseJson<std::vector<Vm>>(text,
                                    [](const Json& json, std::vector<Vm>& vms) {
                                      for (const Json& item : json.at("vms")) {
                                        vms.push_back(VmFromJson(item));
                                      }
                                    });
}

}  // namespace hyssopspar
