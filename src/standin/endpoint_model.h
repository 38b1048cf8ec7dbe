/// \file
/// An endpoint of a service, reduced to what a gate can observe.

#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "hyssopspar/time.h"

namespace hyssopspar::standin {

/// One request as the endpoint records it.
struct Service {
  std::string m_request;  ///< Identifier given by the caller's side.
  std::string m_key;      ///< Idempotency key, or empty.
  std::string m_class;
  TimePoint m_start;
  TimePoint m_end;  ///< TimePoint::max() while it runs.
};

struct EndpointModel {
  std::string m_name;
  std::string m_failure_domain;
  std::size_t m_slots = 8;
  double m_slowdown = 1.0;
  bool m_frozen = false;
  bool m_leaving = false;
  std::size_t m_busy = 0;
  std::mt19937_64 m_random;
  std::vector<Service> m_services;
};

/// Service time of the next request, lognormal about \p mean.
Duration DrawServiceTime(EndpointModel* endpoint, Duration mean);

/// Violations of "one place at a time" and "at most once" over all endpoints.
std::vector<std::string> CheckServices(
    const std::vector<const EndpointModel*>& endpoints);

}  // namespace hyssopspar::standin
