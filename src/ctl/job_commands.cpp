#include "ctl/job_commands.h"

#include <cstdint>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "hyssopspar/http_client.h"
#include "hyssopspar/program.h"

namespace hyssopspar::ctl {

namespace {

using Json = nlohmann::json;

constexpr milliseconds kCallTimeout{7000};

int ReportError(const std::string& text) {
  std::cerr << "hyssopsparctl: " << text << "\n";
  return kExitFailure;
}

/// Calls the schedulers in turn until one answers with a status below 500, and
/// prints the answer. Repeating a call is safe because the records that these
/// commands append are idempotent.
int CallFirstAvailable(const std::vector<std::string>& sched_addresses,
                       const std::string& method,
                       const std::string& target,
                       const std::string& body) {
  std::string last_error = "no scheduler given";
  for (const std::string& address : sched_addresses) {
    const Result<HttpResponse> answer = SendSingleRequest(
        address, method, target, body, Clock::now() + kCallTimeout);
    if (!answer) {
      last_error = address + ": " + ToString(answer.error());
      continue;
    }
    if (answer.value().m_status >= 500) {
      last_error = address + ": " + answer.value().m_body;
      continue;
    }
    if (answer.value().m_status >= 300) {
      return ReportError(answer.value().m_body);
    }
    std::cout << answer.value().m_body << "\n";
    return kExitOk;
  }
  return ReportError(last_error);
}

/// Collects the JSON objects of all schedulers that answer with status 200.
std::vector<Json> QueryAll(const std::vector<std::string>& sched_addresses,
                           const std::string& target) {
  std::vector<Json> answers;
  for (const std::string& address : sched_addresses) {
    const Result<HttpResponse> answer = SendSingleRequest(
        address, "GET", target, "", Clock::now() + kCallTimeout);
    if (!answer || answer.value().m_status != 200) {
      continue;
    }
    Json json = Json::parse(answer.value().m_body, nullptr, false);
    if (json.is_object()) {
      answers.push_back(std::move(json));
    }
  }
  return answers;
}

}  // namespace

int SubmitJob(const std::vector<std::string>& sched_addresses,
              const std::string& job,
              const std::string& key) {
  return CallFirstAvailable(sched_addresses, "POST", "/v1/jobs",
                            Json{{"job", job}, {"key", key}}.dump());
}

int CancelJob(const std::vector<std::string>& sched_addresses,
              const std::string& id) {
  return CallFirstAvailable(sched_addresses, "DELETE", "/v1/jobs/" + id, "");
}

int ShowJob(const std::vector<std::string>& sched_addresses,
            const std::string& id) {
  // Several cells report a task that was handed over. The current report is the
  // one with the highest hop and, among those, the highest attempt.
  std::map<std::uint64_t, Json> tasks;
  for (const Json& answer : QueryAll(sched_addresses, "/v1/jobs/" + id)) {
    for (const Json& task : answer.at("tasks")) {
      Json& current = tasks[task.at("index").get<std::uint64_t>()];
      const bool is_newer = current.is_null() ||
                            task.at("hop") > current.at("hop") ||
                            (task.at("hop") == current.at("hop") &&
                             task.at("attempt") >= current.at("attempt"));
      if (is_newer) {
        current = task;
      }
    }
  }
  if (tasks.empty()) {
    return ReportError("not-found: no scheduler reports a task of job " + id);
  }
  for (const std::pair<const std::uint64_t, Json>& entry : tasks) {
    const Json& task = entry.second;
    std::cout << id << "/" << entry.first << " "
              << task.at("state").get<std::string>()
              << " cell=" << task.at("cell").get<std::string>()
              << " attempt=" << task.at("attempt")
              << " progress=" << task.at("progress");
    if (task.contains("worker")) {
      std::cout << " worker=" << task["worker"].get<std::string>();
    }
    std::cout << "\n";
  }
  return kExitOk;
}

int ExplainJob(const std::vector<std::string>& sched_addresses,
               const std::string& id) {
  std::map<std::uint64_t, std::string> lines;
  for (const Json& answer : QueryAll(sched_addresses, "/v1/explain/" + id)) {
    for (const Json& task : answer.at("waiting")) {
      const std::uint64_t index = task.at("index").get<std::uint64_t>();
      const std::string why = task.at("why").get<std::string>();
      // Only the cell's owner reports the reason; other schedulers answer that
      // they are not the owner.
      if (lines.count(index) == 0 || why != "another scheduler owns the cell") {
        lines[index] = task.at("cell").get<std::string>() + ": " + why;
      }
    }
  }
  for (const std::pair<const std::uint64_t, std::string>& line : lines) {
    std::cout << id << "/" << line.first << " waits in " << line.second << "\n";
  }
  if (lines.empty()) {
    std::cout << "no task of " << id << " waits\n";
  }
  return kExitOk;
}

int ShowStatus(const std::vector<std::string>& sched_addresses) {
  const std::vector<Json> answers = QueryAll(sched_addresses, "/v1/status");
  if (answers.empty()) {
    return ReportError("unavailable: no scheduler answered");
  }
  for (const Json& answer : answers) {
    std::cout << answer.at("name").get<std::string>() << " revision "
              << answer.at("revision") << " out=" << answer.at("out").dump()
              << "\n";
    for (const Json& cell : answer.at("cells")) {
      if (!cell.at("owned").get<bool>()) {
        continue;
      }
      std::cout << "  cell " << cell.at("cell").get<std::string>()
                << " workers=" << cell.at("workers")
                << " live=" << cell.at("live")
                << " pending=" << cell.at("pending")
                << " committed_cpu_milli=" << cell.at("committed_cpu_milli")
                << "/" << cell.at("cpu_milli")
                << " finishes=" << cell.at("finishes") << "\n";
    }
  }
  return kExitOk;
}

}  // namespace hyssopspar::ctl
