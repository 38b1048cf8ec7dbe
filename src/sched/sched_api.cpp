#include "sched/sched_api.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "hyssopspar/config_doc.h"
#include "hyssopspar/decision.h"
#include "hyssopspar/json_depth.h"
#include "hyssopspar/text.h"

namespace hyssopspar::sched {

namespace {

using Json = nlohmann::json;

constexpr const char* kJobsPath = "/v1/jobs";
constexpr std::size_t kMaxSubmissionKeyBytes = 256;

ApiResult RespondWith(HttpResponse response) {
  ApiResult result;
  result.m_response = std::move(response);
  return result;
}

const char* TaskStateName(TaskState state) {
  switch (state) {
    case TaskState::kPending:
      return "pending";
    case TaskState::kLive:
      return "running";
    case TaskState::kEvicting:
      return "evicting";
    case TaskState::kParked:
      return "parked";
    case TaskState::kHandedOff:
      return "handed-off";
    case TaskState::kFinished:
      return "finished";
    case TaskState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

/// Parses the hexadecimal job id that follows \p prefix in \p path.
std::optional<JobId> ParseJobId(const std::string& path,
                                const std::string& prefix) {
  JobId job = 0;
  const char* const begin = path.data() + prefix.size();
  const char* const end = path.data() + path.size();
  const std::from_chars_result parsed = std::from_chars(begin, end, job, 16);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == end;
  return valid ? std::optional<JobId>(job) : std::nullopt;
}

JobSpec MakeJobSpec(const JobConfig& job, JobId id) {
  JobSpec spec;
  spec.m_id = id;
  spec.m_tenant = job.m_tenant;
  spec.m_name = job.m_name;
  spec.m_class = job.m_class;
  spec.m_tasks = job.m_tasks;
  spec.m_size = job.m_size;
  spec.m_run_time = job.m_run_time;
  spec.m_priority = job.m_priority;
  return spec;
}

ApiResult SubmitJob(const Scheduler& scheduler, const HttpRequest& request) {
  const Json json = IsNestedDeeperThan(request.m_body, kMaxJsonDepth)
                        ? Json()
                        : Json::parse(request.m_body, nullptr, false);
  const bool well_formed = json.is_object() && json.contains("job") &&
                           json["job"].is_string() && json.contains("key") &&
                           json["key"].is_string();
  if (!well_formed) {
    return RespondWith(ErrorResponse(400, "malformed",
                                     "expected {\"job\": NAME, \"key\": KEY}"));
  }
  const std::string key = json["key"].get<std::string>();
  if (key.empty() || key.size() > kMaxSubmissionKeyBytes) {
    return RespondWith(
        ErrorResponse(400, "invalid-argument", "key must have 1 to 256 bytes"));
  }
  const std::string name = json["job"].get<std::string>();
  const ConfigDoc& doc = scheduler.Config().m_doc;
  const JobConfig* job = FindJob(doc, name);
  if (job == nullptr) {
    return RespondWith(ErrorResponse(
        404, "not-found", "no job " + name + " in the configuration"));
  }
  const JobId id = MakeJobId(job->m_tenant, key);
  ApiAppend append;
  append.m_stream = CellStream(HomeCell(doc, id));
  append.m_payload =
      EncodeBatch(Batch{0, 0, 0, {Decision(JobAdmit{MakeJobSpec(*job, id)})}});
  append.m_success_response =
      JsonResponse(202, Json{{"id", FormatJobId(id)}}.dump());
  ApiResult result;
  result.m_append = std::move(append);
  return result;
}

ApiResult CancelJob(const Scheduler& scheduler, JobId id) {
  ApiAppend append;
  append.m_stream = CellStream(HomeCell(scheduler.Config().m_doc, id));
  append.m_payload = EncodeBatch(Batch{0, 0, 0, {Decision(JobCancel{id})}});
  append.m_success_response =
      JsonResponse(202, Json{{"id", FormatJobId(id)}}.dump());
  ApiResult result;
  result.m_append = std::move(append);
  return result;
}

/// Appends the tasks of job \p id in the replica of one cell to \p tasks. A
/// task that was handed off is listed by several cells; the entry with the
/// highest hop is the current one.
void AddTasks(const CellReplica& replica, JobId id, Json* tasks) {
  const CellState& state = replica.m_replay.State();
  const std::map<JobId, Job>::const_iterator job = state.m_jobs.find(id);
  if (job == state.m_jobs.end()) {
    return;
  }
  for (const std::pair<const std::uint32_t, Task>& entry :
       job->second.m_tasks) {
    const Task& task = entry.second;
    Json item{
        {"index", entry.first},       {"state", TaskStateName(task.m_state)},
        {"cell", replica.m_cell},     {"attempt", task.m_attempt},
        {"hop", task.m_hop},          {"failures", task.m_failures},
        {"progress", task.m_progress}};
    const bool live = task.m_state == TaskState::kLive ||
                      task.m_state == TaskState::kEvicting;
    if (live) {
      item["worker"] = state.m_workers[task.m_worker].m_name;
    }
    tasks->push_back(std::move(item));
  }
}

ApiResult DescribeJob(const Scheduler& scheduler, JobId id) {
  Json tasks = Json::array();
  for (const std::pair<const std::string, CellReplica>& cell :
       scheduler.Cells()) {
    AddTasks(cell.second, id, &tasks);
  }
  if (tasks.empty()) {
    return RespondWith(ErrorResponse(404, "not-found",
                                     "job " + FormatJobId(id) + " not known"));
  }
  return RespondWith(JsonResponse(
      200, Json{{"id", FormatJobId(id)}, {"tasks", std::move(tasks)}}.dump()));
}

/// Reason why a pending or parked task is not running.
const char* WaitReason(const Scheduler& scheduler,
                       const CellReplica& replica,
                       const TaskId& id,
                       const Task& task,
                       TimePoint now) {
  if (task.m_park_reason == ParkReason::kNoWorkerLargeEnough) {
    return "no worker is large enough";
  }
  if (task.m_park_reason == ParkReason::kTooManyFailures) {
    return "it failed too often";
  }
  if (!replica.m_owned) {
    return "another scheduler owns the cell";
  }
  if (scheduler.Config().m_out_of_service.count(replica.m_failure_domain) > 0) {
    return "the failure domain is out of service";
  }
  if (!scheduler.IsConfigFresh(now)) {
    return "the configuration can't be verified now";
  }
  const std::map<TaskId, TimePoint>::const_iterator not_before =
      replica.m_not_before.find(id);
  if (not_before != replica.m_not_before.end() && now < not_before->second) {
    return "it waits before the next try";
  }
  return "no worker has room now";
}

ApiResult ExplainJob(const Scheduler& scheduler, JobId id, TimePoint now) {
  Json waiting = Json::array();
  for (const std::pair<const std::string, CellReplica>& cell :
       scheduler.Cells()) {
    const CellState& state = cell.second.m_replay.State();
    const std::map<JobId, Job>::const_iterator job = state.m_jobs.find(id);
    if (job == state.m_jobs.end()) {
      continue;
    }
    for (const std::pair<const std::uint32_t, Task>& entry :
         job->second.m_tasks) {
      const bool is_waiting = entry.second.m_state == TaskState::kPending ||
                              entry.second.m_state == TaskState::kParked;
      if (is_waiting) {
        waiting.push_back(Json{
            {"index", entry.first},
            {"cell", cell.first},
            {"why", WaitReason(scheduler, cell.second, TaskId{id, entry.first},
                               entry.second, now)}});
      }
    }
  }
  return RespondWith(JsonResponse(
      200,
      Json{{"id", FormatJobId(id)}, {"waiting", std::move(waiting)}}.dump()));
}

Json DescribeCell(const CellReplica& replica) {
  const CellState& state = replica.m_replay.State();
  std::size_t workers = 0;
  Resources capacity;
  Resources committed;
  for (const WorkerSlot& slot : state.m_workers) {
    workers += slot.m_name.empty() ? 0 : 1;
    capacity += slot.m_capacity;
    committed += slot.m_committed;
  }
  return Json{{"cell", replica.m_cell},
              {"owner", state.m_owner},
              {"owned", replica.m_owned},
              {"epoch", state.m_epoch},
              {"offset", state.m_next},
              {"workers", workers},
              {"cpu_milli", capacity.m_cpu_milli},
              {"committed_cpu_milli", committed.m_cpu_milli},
              {"pending", state.m_pending.size()},
              {"live", state.m_live.size()},
              {"jobs", state.m_jobs.size()},
              {"starts", replica.m_counters.m_starts},
              {"finishes", replica.m_counters.m_finishes},
              {"evictions", replica.m_counters.m_evictions}};
}

ApiResult DescribeStatus(const Scheduler& scheduler, TimePoint now) {
  Json cells = Json::array();
  for (const std::pair<const std::string, CellReplica>& cell :
       scheduler.Cells()) {
    cells.push_back(DescribeCell(cell.second));
  }
  Json members = Json::array();
  for (const std::pair<const std::string, Member>& member :
       scheduler.Members().m_members) {
    members.push_back(member.first);
  }
  return RespondWith(
      JsonResponse(200, Json{{"name", scheduler.Settings().m_name},
                             {"revision", scheduler.Config().m_revision},
                             {"out", scheduler.Config().m_out_of_service},
                             {"config_fresh", scheduler.IsConfigFresh(now)},
                             {"members", std::move(members)},
                             {"cells", std::move(cells)}}
                            .dump()));
}

}  // namespace

ApiResult HandleApiRequest(const Scheduler& scheduler,
                           const HttpRequest& request,
                           TimePoint now) {
  const std::string path = PathOf(request.m_target);
  if (!scheduler.IsReady()) {
    return RespondWith(ErrorResponse(503, "unavailable", "not ready yet"));
  }
  if (path == kJobsPath) {
    return request.m_method == "POST"
               ? SubmitJob(scheduler, request)
               : RespondWith(ErrorResponse(405, "invalid-argument",
                                           "only POST is served here"));
  }
  if (path == "/v1/status") {
    return DescribeStatus(scheduler, now);
  }
  const std::string job_prefix = std::string(kJobsPath) + "/";
  const std::string explain_prefix = "/v1/explain/";
  const bool is_job = StartsWith(path, job_prefix);
  const bool is_explain = StartsWith(path, explain_prefix);
  if (!is_job && !is_explain) {
    return RespondWith(ErrorResponse(404, "not-found", path));
  }
  const std::optional<JobId> id =
      ParseJobId(path, is_job ? job_prefix : explain_prefix);
  if (!id) {
    return RespondWith(ErrorResponse(400, "invalid-argument",
                                     "a job is named by hexadecimal digits"));
  }
  if (is_explain) {
    return ExplainJob(scheduler, *id, now);
  }
  return request.m_method == "DELETE" ? CancelJob(scheduler, *id)
                                      : DescribeJob(scheduler, *id);
}

}  // namespace hyssopspar::sched
