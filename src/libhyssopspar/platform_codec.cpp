#include "hyssopspar/platform_codec.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <websocketpp/base64/base64.hpp>

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

/// Runs \p read on the parsed text; anything missing or of the wrong type is
/// malformed.
template <class T, class Function>
Result<T> Parse(const std::string& text, Function read) {
  try {
    T value;
    read(Json::parse(text), value);
    return value;
  } catch (const Json::exception& e) {
    return Fail(ErrorCode::kMalformed, e.what());
  }
}

Json ToJson(const Resources& r) {
  return Json{{"cpu_milli", r.m_cpu_milli},
              {"memory_mib", r.m_memory_mib},
              {"accelerators", r.m_accelerators}};
}

Resources ResourcesOf(const Json& json) {
  Resources r;
  json.at("cpu_milli").get_to(r.m_cpu_milli);
  json.at("memory_mib").get_to(r.m_memory_mib);
  json.at("accelerators").get_to(r.m_accelerators);
  return r;
}

Json ToJson(const AttemptId& id) {
  return Json::array({id.m_task.m_job, id.m_task.m_index, id.m_attempt});
}

AttemptId AttemptOf(const Json& json) {
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

void Read(const Json& json, std::vector<AttemptId>* ids) {
  for (const Json& item : json) {
    ids->push_back(AttemptOf(item));
  }
}

Json ToJson(const StartCommand& start) {
  return Json{{"id", ToJson(start.m_id)},
              {"size", ToJson(start.m_size)},
              {"class", start.m_class},
              {"work_ms", start.m_run_time.count()},
              {"progress", start.m_progress}};
}

StartCommand StartOf(const Json& json) {
  StartCommand start;
  start.m_id = AttemptOf(json.at("id"));
  start.m_size = ResourcesOf(json.at("size"));
  json.at("class").get_to(start.m_class);
  start.m_run_time = milliseconds(json.at("work_ms").get<std::int64_t>());
  json.at("progress").get_to(start.m_progress);
  return start;
}

WorkerTime TimeOf(const Json& json) {
  return WorkerTime(milliseconds(json.get<std::int64_t>()));
}

std::int64_t Count(WorkerTime time) {
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
    json["connections"] = vm.m_connections;
  }
  return json;
}

Vm VmOf(const Json& json) {
  Vm vm;
  json.at("name").get_to(vm.m_name);
  json.at("kind").get_to(vm.m_kind);
  json.at("state").get_to(vm.m_state);
  json.at("failure_domain").get_to(vm.m_failure_domain);
  json.at("rack").get_to(vm.m_rack);
  json.at("address").get_to(vm.m_address);
  if (vm.m_kind == VmKind::kWorker) {
    vm.m_capacity = ResourcesOf(json.at("capacity"));
  } else {
    json.at("service").get_to(vm.m_service);
    json.at("host").get_to(vm.m_host);
    json.at("slots").get_to(vm.m_slots);
    json.at("connections").get_to(vm.m_connections);
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
  return Parse<LogSlice>(text, [](const Json& json, LogSlice& slice) {
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
              {"not_after_ms", Count(sync.m_not_after)},
              {"lease_until_ms", Count(sync.m_lease_until)},
              {"start", std::move(starts)},
              {"stop", ToJson(sync.m_stop)},
              {"throttle", ToJson(sync.m_throttle)},
              {"forget", ToJson(sync.m_discard)}}
      .dump();
}

Result<WorkerSync> DecodeSync(const std::string& text) {
  return Parse<WorkerSync>(text, [](const Json& json, WorkerSync& sync) {
    json.at("boot").get_to(sync.m_boot_id);
    sync.m_not_after = TimeOf(json.at("not_after_ms"));
    sync.m_lease_until = TimeOf(json.at("lease_until_ms"));
    for (const Json& item : json.at("start")) {
      sync.m_start.push_back(StartOf(item));
    }
    Read(json.at("stop"), &sync.m_stop);
    Read(json.at("throttle"), &sync.m_throttle);
    Read(json.at("forget"), &sync.m_discard);
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
              {"now_ms", Count(report.m_now)},
              {"accepted", report.m_accepted},
              {"tasks", std::move(tasks)}}
      .dump();
}

Result<WorkerReport> DecodeReport(const std::string& text) {
  return Parse<WorkerReport>(text, [](const Json& json, WorkerReport& report) {
    json.at("boot").get_to(report.m_boot_id);
    report.m_now = TimeOf(json.at("now_ms"));
    json.at("accepted").get_to(report.m_accepted);
    for (const Json& item : json.at("tasks")) {
      TaskReport task;
      task.m_id = AttemptOf(item.at("id"));
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
  return Parse<std::vector<Vm>>(text,
                                [](const Json& json, std::vector<Vm>& vms) {
                                  for (const Json& item : json.at("vms")) {
                                    vms.push_back(VmOf(item));
                                  }
                                });
}

}  // namespace hyssopspar
