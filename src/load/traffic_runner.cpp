#include "load/traffic_runner.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>

#include "hyssopspar/upstream_pool.h"

namespace hyssopspar::load {

namespace {

constexpr std::size_t kMaxIdle = 4096;
/// Time a caller waits beyond its timeout before it gives up on the gate.
constexpr milliseconds kGrace{1000};

/// One request to send.
struct Planned {
  TimePoint m_when;
  std::size_t m_traffic = 0;
  std::string m_key;
  std::size_t m_gate = 0;
};

std::vector<Planned> Plan(const LoadConfig& config, TimePoint start) {
  std::mt19937_64 random(config.m_seed);
  std::uniform_int_distribution<std::size_t> gate(0, config.m_gates.size() - 1);
  std::uniform_real_distribution<double> unit(0, 1);
  std::vector<Planned> plan;
  for (std::size_t i = 0; i < config.m_traffic.size(); ++i) {
    const TrafficConfig& traffic = config.m_traffic[i];
    std::exponential_distribution<double> gap(traffic.m_rate);
    std::chrono::duration<double> at(gap(random));
    for (; at < config.m_duration;
         at += std::chrono::duration<double>(gap(random))) {
      Planned planned;
      planned.m_when = start + std::chrono::duration_cast<Duration>(at);
      planned.m_traffic = i;
      planned.m_gate = gate(random);
      if (traffic.m_keyed) {
        planned.m_key = "k" + std::to_string(config.m_seed) + "-" +
                        std::to_string(i) + "-" + std::to_string(plan.size());
      }
      plan.push_back(planned);
      if (traffic.m_keyed && unit(random) < traffic.m_repeat) {
        planned.m_gate = gate(random);
        plan.push_back(planned);
      }
    }
  }
  std::stable_sort(
      plan.begin(), plan.end(),
      [](const Planned& a, const Planned& b) { return a.m_when < b.m_when; });
  return plan;
}

/// Collects answers and tells when all are there.
class Collector {
 public:
  explicit Collector(std::size_t expected) : m_records(expected) {}

  void Put(std::size_t index, CallRecord record) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_records[index] = std::move(record);
    ++m_done;
    m_changed.notify_all();
  }

  std::vector<CallRecord> WaitForAll() {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [this] { return m_done == m_records.size(); });
    return std::move(m_records);
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<CallRecord> m_records;
  std::size_t m_done = 0;
};

HttpRequest MakeRequest(const TrafficConfig& traffic,
                        const Planned& planned,
                        const std::string& body) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target =
      "/v1/services/" + traffic.m_service + "/" + traffic.m_class;
  request.m_headers["hyssopspar-tenant"] = traffic.m_tenant;
  request.m_headers["hyssopspar-timeout-ms"] =
      std::to_string(traffic.m_timeout.count());
  if (!planned.m_key.empty()) {
    request.m_headers["idempotency-key"] = planned.m_key;
  }
  request.m_body = body;
  return request;
}

/// True when the endpoint's answer carries our own body back. Repeats of a key
/// may get the answer to the first body.
bool IsOwnAnswer(const HttpResponse& answer,
                 const std::string& body,
                 bool keyed) {
  const nlohmann::json json =
      nlohmann::json::parse(answer.m_body, nullptr, false);
  const bool shaped = json.is_object() && json.contains("echo");
  return shaped && (keyed || json["echo"] == body);
}

}  // namespace

std::vector<CallRecord> RunTraffic(const LoadConfig& config) {
  if (config.m_traffic.empty()) {
    return {};
  }
  const TimePoint start = Clock::now() + milliseconds(50);
  const std::vector<Planned> plan = Plan(config, start);
  Collector collector(plan.size());
  UpstreamPool pool(config.m_threads, kMaxIdle);
  for (std::size_t i = 0; i < plan.size(); ++i) {
    const Planned& planned = plan[i];
    const TrafficConfig& traffic = config.m_traffic[planned.m_traffic];
    std::string body = std::to_string(config.m_seed) + "-" + std::to_string(i);
    body.resize(std::max(traffic.m_body_bytes, body.size()), '.');
    std::this_thread::sleep_until(planned.m_when);
    CallRecord record;
    record.m_id = i;
    record.m_traffic = planned.m_traffic;
    record.m_gate = config.m_gates[planned.m_gate];
    record.m_key = planned.m_key;
    record.m_intended = planned.m_when;
    const bool keyed = traffic.m_keyed;
    pool.Send(record.m_gate, MakeRequest(traffic, planned, body),
              planned.m_when + traffic.m_timeout + kGrace,
              [&collector, i, record, body,
               keyed](Result<HttpResponse> answer) mutable {
                record.m_done = Clock::now();
                record.m_outcome = "none";
                if (answer) {
                  record.m_status = answer.value().m_status;
                  record.m_outcome = HeaderOr(answer.value().m_headers,
                                              "hyssopspar-outcome", "none");
                  record.m_whole = record.m_outcome != "answered" ||
                                   IsOwnAnswer(answer.value(), body, keyed);
                }
                collector.Put(i, std::move(record));
              });
  }
  std::vector<CallRecord> records = collector.WaitForAll();
  pool.Stop();
  return records;
}

}  // namespace hyssopspar::load
