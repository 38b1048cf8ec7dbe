#include "standin/endpoint_model.h"

#include <cmath>
#include <map>

namespace hyssopspar::standin {

namespace {

/// Standard deviation of the natural logarithm of the service time.
constexpr double kLogStandardDeviation = 0.5;

}  // namespace

Duration SampleServiceTime(EndpointModel* endpoint, Duration mean) {
  const double mean_seconds = std::chrono::duration<double>(mean).count();
  std::lognormal_distribution<double> distribution(
      std::log(mean_seconds) -
          kLogStandardDeviation * kLogStandardDeviation / 2,
      kLogStandardDeviation);
  const std::chrono::duration<double> seconds(distribution(endpoint->m_random) *
                                              endpoint->m_slowdown);
  return std::chrono::duration_cast<Duration>(seconds);
}

std::vector<std::string> CheckServiceRecords(
    const std::vector<const EndpointModel*>& endpoints) {
  std::map<std::string, std::vector<const ServiceRecord*>> by_request;
  std::map<std::string, int> by_key;
  for (const EndpointModel* endpoint : endpoints) {
    for (const ServiceRecord& service : endpoint->m_service_records) {
      by_request[service.m_request].push_back(&service);
      if (!service.m_key.empty()) {
        ++by_key[service.m_key];
      }
    }
  }
  std::vector<std::string> violations;
  for (const std::pair<const std::string, std::vector<const ServiceRecord*>>&
           entry : by_request) {
    for (std::size_t i = 0; i + 1 < entry.second.size(); ++i) {
      for (std::size_t j = i + 1; j < entry.second.size(); ++j) {
        const ServiceRecord& a = *entry.second[i];
        const ServiceRecord& b = *entry.second[j];
        if (a.m_start < b.m_end && b.m_start < a.m_end) {
          violations.push_back("two places at once: request " + entry.first);
        }
      }
    }
  }
  for (const std::pair<const std::string, int>& entry : by_key) {
    if (entry.second > 1) {
      violations.push_back("ran " + std::to_string(entry.second) +
                           " times: key " + entry.first);
    }
  }
  return violations;
}

}  // namespace hyssopspar::standin
