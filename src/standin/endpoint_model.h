/// \file
/// Model of a service's endpoint, reduced to what a gate can observe, and the
/// check of the requests that endpoints served.

#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "hyssopspar/time.h"

namespace hyssopspar::standin {

/// A request that an endpoint served or is serving.
struct ServiceRecord {
  std::string m_request;  ///< Request id from the request header.
  std::string m_key;      ///< Idempotency key, or empty.
  std::string m_class;
  TimePoint m_start;
  TimePoint m_end;  ///< TimePoint::max() while in service.
};

struct EndpointModel {
  std::string m_name;
  std::string m_failure_domain;
  std::size_t m_slots = 8;  ///< Requests that can be in service at a time.
  double m_slowdown = 1.0;  ///< Factor on the service time.
  bool m_frozen = false;    ///< Queues requests without serving any.
  bool m_leaving = false;   ///< Refuses new requests, finishes the others.
  std::size_t m_busy_slots = 0;
  std::mt19937_64 m_random;
  std::vector<ServiceRecord> m_service_records;
};

/// Draws the service time of the next request: lognormal with mean \p mean,
/// times the endpoint's slowdown.
Duration SampleServiceTime(EndpointModel* endpoint, Duration mean);

/// Checks that no request was in service twice at the same time, and that no
/// idempotency key ran more than once over all endpoints. Returns one line for
/// each violation.
std::vector<std::string> CheckServiceRecords(
    const std::vector<const EndpointModel*>& endpoints);

}  // namespace hyssopspar::standin
