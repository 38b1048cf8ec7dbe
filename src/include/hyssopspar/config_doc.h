/// \file
/// The configuration document that operators publish: failure domains, tenants,
/// services, jobs and links. Compiled from TOML files.

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
  /// Timeout of requests that do not state one.
  milliseconds m_timeout{1000};
  /// Initial estimate of the service time.
  milliseconds m_expected_service_time{30};
};

/// A latency-critical service and its classes of requests.
struct ServiceConfig {
  std::string m_name;
  std::vector<RequestClass> m_classes;
  /// Resources that each endpoint reserves on its host; not available to batch
  /// tasks.
  Resources m_reserved;
};

/// A batch job that can be submitted by name.
struct JobConfig {
  std::string m_name;
  std::string m_tenant;
  std::string m_class;  ///< Workload class of its tasks.
  std::uint32_t m_tasks = 1;
  Resources m_size;               ///< Declared requirements of each task.
  milliseconds m_run_time{1000};  ///< Declared run time of each task.
  std::int64_t m_priority = 0;    ///< 0 to 100; higher is placed first.
};

struct TenantConfig {
  std::string m_name;
  std::int64_t m_weight = 1;  ///< Weight in the fair queueing of requests.
  double m_quota = 1.0;       ///< Fraction of the batch CPU capacity, 0 to 1.
};

struct FailureDomainConfig {
  std::string m_name;
  std::uint32_t m_cell_count = 1;  ///< Cells that share its workers.
};

/// Network link between two failure domains; applies in both directions.
struct LinkConfig {
  std::string m_from;
  std::string m_to;
  milliseconds m_delay{0};  ///< One-way delay.
  double m_cost = 1.0;      ///< Relative cost of traffic.
};

/// Contents of all files that are published together.
struct ConfigDoc {
  std::vector<FailureDomainConfig> m_failure_domains;
  std::vector<TenantConfig> m_tenants;
  std::vector<ServiceConfig> m_services;
  std::vector<JobConfig> m_jobs;
  std::vector<LinkConfig> m_links;
};

/// Input file of CompileConfig.
struct ConfigFile {
  std::string m_path;
  std::string m_text;
};

/// Compiles `*.service.toml`, `*.job.toml` and `platform.toml` files into one
/// document. Appends one line to \p problems for each error found; the document
/// is valid only if none was added.
ConfigDoc CompileConfig(const std::vector<ConfigFile>& files,
                        std::vector<std::string>* problems);

// Lookups by name. They return null when there is no such element.
const ServiceConfig* FindService(const ConfigDoc& doc, const std::string& name);
const RequestClass* FindClass(const ServiceConfig& service,
                              const std::string& name);
const TenantConfig* FindTenant(const ConfigDoc& doc, const std::string& name);
const JobConfig* FindJob(const ConfigDoc& doc, const std::string& name);

/// Names of all cells, "DOMAIN.INDEX", in the order of the document.
std::vector<std::string> CellNames(const ConfigDoc& doc);

/// Failure domain that \p cell, a name returned by CellNames, belongs to.
std::string CellFailureDomain(const std::string& cell);

/// Cell that \p worker of \p failure_domain is assigned to by hash of its name.
std::string CellOfWorker(const ConfigDoc& doc,
                         const std::string& failure_domain,
                         const std::string& worker);

/// Cell that admits \p job; empty when no cell is configured.
std::string HomeCell(const ConfigDoc& doc, JobId job);

/// One-way delay of the link between \p from and \p to; zero when no link is
/// configured, as within a failure domain.
milliseconds LinkDelay(const ConfigDoc& doc,
                       const std::string& from,
                       const std::string& to);

}  // namespace hyssopspar
