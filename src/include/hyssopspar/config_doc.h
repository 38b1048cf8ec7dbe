/// \file
/// The configuration that operators publish.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/ids.h"
#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// A class of requests of a service.
struct RequestClass {
  std::string m_name;
  bool m_idempotent = true;
  milliseconds m_timeout{1000};  ///< Used when the caller names none.
  milliseconds m_expected{30};   ///< First guess of the service time.
};

struct ServiceConfig {
  std::string m_name;
  std::vector<RequestClass> m_classes;
  Resources m_reserved;  ///< Per instance, kept free on its worker.
};

struct JobConfig {
  std::string m_name;
  std::string m_tenant;
  std::string m_class;
  std::uint32_t m_tasks = 1;
  Resources m_size;
  milliseconds m_work{1000};
  std::int64_t m_priority = 0;
};

struct TenantConfig {
  std::string m_name;
  std::int64_t m_weight = 1;
  double m_quota = 1.0;  ///< Share of the batch processors, 0 to 1.
};

struct FailureDomainConfig {
  std::string m_name;
  std::uint32_t m_cells = 1;
};

/// One-way delay and relative cost of a link between two failure domains.
struct LinkConfig {
  std::string m_from;
  std::string m_to;
  milliseconds m_delay{0};
  double m_cost = 1.0;
};

/// Everything the files of one publishing step say.
struct ConfigDoc {
  std::vector<FailureDomainConfig> m_failure_domains;
  std::vector<TenantConfig> m_tenants;
  std::vector<ServiceConfig> m_services;
  std::vector<JobConfig> m_jobs;
  std::vector<LinkConfig> m_links;
};

/// One file handed to the compiler.
struct ConfigFile {
  std::string m_path;
  std::string m_text;
};

/// Builds a configuration out of `*.service.toml`, `*.job.toml` and
/// `platform.toml` files. Adds a line for every mistake to \p problems.
ConfigDoc CompileConfig(const std::vector<ConfigFile>& files,
                        std::vector<std::string>* problems);

/// The named element, or null.
const ServiceConfig* FindService(const ConfigDoc& doc, const std::string& name);
const RequestClass* FindClass(const ServiceConfig& service,
                              const std::string& name);
const TenantConfig* FindTenant(const ConfigDoc& doc, const std::string& name);
const JobConfig* FindJob(const ConfigDoc& doc, const std::string& name);

/// Names of all cells, in a fixed order.
std::vector<std::string> CellNames(const ConfigDoc& doc);

/// Failure domain of a cell of CellNames.
std::string CellFailureDomain(const std::string& cell);

/// Cell that \p worker of \p failure_domain belongs to.
std::string CellOfWorker(const ConfigDoc& doc,
                         const std::string& failure_domain,
                         const std::string& worker);

/// Cell that first admits \p job.
std::string HomeCell(const ConfigDoc& doc, JobId job);

/// Delay of the link from \p from to \p to; zero within a failure domain or
/// when none is configured.
milliseconds LinkDelay(const ConfigDoc& doc,
                       const std::string& from,
                       const std::string& to);

}  // namespace hyssopspar
