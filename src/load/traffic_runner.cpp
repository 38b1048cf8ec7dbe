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

constexpr std::size_t kMaxIdleConnections = 4096;
/// Time that a caller waits for the gate beyond the request's timeout.
constexpr milliseconds kTimeoutMargin{1000};

/// One request to send.
struct ScheduledRequest {
  TimePoint m_send_time;
  std::size_t m_traffic_index = 0;
  std::string m_key;
  std::size_t m_gate_index = 0;
};

/// Draws all requests of the scenario from its seed, ordered by send time.
std::vector<ScheduledRequest> MakeSchedule(const LoadConfig& config,
                                           TimePoint start) {
  std::mt19937_64 random_engine(config.m_seed);
  std::uniform_int_distribution<std::size_t> gate_distribution(
      0, config.m_gates.size() - 1);
  std::uniform_real_distribution<double> unit_distribution(0, 1);
  std::vector<ScheduledRequest> schedule;
  for (std::size_t i = 0; i < config.m_traffic.size(); ++i) {
    const TrafficConfig& traffic = config.m_traffic[i];
    std::exponential_distribution<double> interarrival_seconds(
        traffic.m_requests_per_second);
    std::chrono::duration<double> offset(interarrival_seconds(random_engine));
    for (; offset < config.m_duration;
         offset +=
         std::chrono::duration<double>(interarrival_seconds(random_engine))) {
      ScheduledRequest scheduled;
      scheduled.m_send_time =
          start + std::chrono::duration_cast<Duration>(offset);
      scheduled.m_traffic_index = i;
      scheduled.m_gate_index = gate_distribution(random_engine);
      if (traffic.m_uses_idempotency_key) {
        scheduled.m_key = "k" + std::to_string(config.m_seed) + "-" +
                          std::to_string(i) + "-" +
                          std::to_string(schedule.size());
      }
      schedule.push_back(scheduled);
      if (traffic.m_uses_idempotency_key &&
          unit_distribution(random_engine) < traffic.m_repeat_probability) {
        scheduled.m_gate_index = gate_distribution(random_engine);
        schedule.push_back(scheduled);
      }
    }
  }
  std::stable_sort(schedule.begin(), schedule.end(),
                   [](const ScheduledRequest& a, const ScheduledRequest& b) {
                     return a.m_send_time < b.m_send_time;
                   });
  return schedule;
}

/// Collects call records from the pool's threads until all have arrived.
class ResultCollector {
 public:
  explicit ResultCollector(std::size_t expected) : m_records(expected) {}

  void Store(std::size_t index, CallRecord record) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_records[index] = std::move(record);
    ++m_stored_count;
    m_changed.notify_all();
  }

  std::vector<CallRecord> WaitForAll() {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [this] { return m_stored_count == m_records.size(); });
    return std::move(m_records);
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<CallRecord> m_records;
  std::size_t m_stored_count = 0;
};

HttpRequest MakeRequest(const TrafficConfig& traffic,
                        const ScheduledRequest& scheduled,
                        const std::string& body) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target =
      "/v1/services/" + traffic.m_service + "/" + traffic.m_class;
  request.m_headers["hyssopspar-tenant"] = traffic.m_tenant;
  request.m_headers["hyssopspar-timeout-ms"] =
      std::to_string(traffic.m_timeout.count());
  if (!scheduled.m_key.empty()) {
    request.m_headers["idempotency-key"] = scheduled.m_key;
  }
  request.m_body = body;
  return request;
}

/// Whether the endpoint's answer echoes \p body. With an idempotency key, any
/// echoed body is accepted, as a repeat may get the answer to the first
/// request.
bool EchoesRequest(const HttpResponse& answer,
                   const std::string& body,
                   bool has_key) {
  const nlohmann::json json =
      nlohmann::json::parse(answer.m_body, nullptr, false);
  const bool has_echo = json.is_object() && json.contains("echo");
  return has_echo && (has_key || json["echo"] == body);
}

}  // namespace

std::vector<CallRecord> RunTraffic(const LoadConfig& config) {
  if (config.m_traffic.empty()) {
    return {};
  }
  const TimePoint start = Clock::now() + milliseconds(50);
  const std::vector<ScheduledRequest> schedule = MakeSchedule(config, start);
  ResultCollector collector(schedule.size());
  UpstreamPool pool(config.m_threads, kMaxIdleConnections);
  for (std::size_t i = 0; i < schedule.size(); ++i) {
    const ScheduledRequest& scheduled = schedule[i];
    const TrafficConfig& traffic = config.m_traffic[scheduled.m_traffic_index];
    std::string body = std::to_string(config.m_seed) + "-" + std::to_string(i);
    body.resize(std::max(traffic.m_body_bytes, body.size()), '.');
    std::this_thread::sleep_until(scheduled.m_send_time);
    CallRecord record;
    record.m_id = i;
    record.m_traffic_index = scheduled.m_traffic_index;
    record.m_gate_address = config.m_gates[scheduled.m_gate_index];
    record.m_key = scheduled.m_key;
    record.m_scheduled_time = scheduled.m_send_time;
    const bool has_key = traffic.m_uses_idempotency_key;
    pool.Send(record.m_gate_address, MakeRequest(traffic, scheduled, body),
              scheduled.m_send_time + traffic.m_timeout + kTimeoutMargin,
              [&collector, i, record, body,
               has_key](Result<HttpResponse> answer) mutable {
                record.m_completion_time = Clock::now();
                record.m_outcome = "none";
                if (answer) {
                  record.m_status = answer.value().m_status;
                  record.m_outcome = HeaderOr(answer.value().m_headers,
                                              "hyssopspar-outcome", "none");
                  record.m_answer_valid =
                      record.m_outcome != "answered" ||
                      EchoesRequest(answer.value(), body, has_key);
                }
                collector.Store(i, std::move(record));
              });
  }
  std::vector<CallRecord> records = collector.WaitForAll();
  pool.Stop();
  return records;
}

}  // namespace hyssopspar::load
