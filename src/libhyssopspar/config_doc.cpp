#include "hyssopspar/config_doc.h"

#include <algorithm>

#include "hyssopspar/settings_reader.h"

namespace hyssopspar {

namespace {

// Largest values that the configuration files may state.
constexpr std::int64_t kMaxCpuMilli = 10'000'000;
constexpr std::int64_t kMaxMemoryMib = 100'000'000;
constexpr std::int64_t kMaxAccelerators = 1024;
constexpr std::int64_t kMaxTasksPerJob = 1'000'000;
constexpr milliseconds kMaxTaskRunTime = std::chrono::hours(24 * 30);

bool EndsWith(const std::string& text, const std::string& suffix) {
  return text.size() >= suffix.size() &&
         text.compare(text.size() - suffix.size(), suffix.size(), suffix) == 0;
}

Resources ReadResources(SettingsReader* reader) {
  Resources resources;
  resources.m_cpu_milli = reader->Int("cpu_milli", 0, 0, kMaxCpuMilli);
  resources.m_memory_mib = reader->Int("memory_mib", 0, 0, kMaxMemoryMib);
  resources.m_accelerators =
      reader->Int("accelerators", 0, 0, kMaxAccelerators);
  return resources;
}

void ReadService(SettingsReader* reader, ConfigDoc* doc) {
  ServiceConfig service;
  service.m_name = reader->String("name");
  SettingsReader reserved = reader->Table("reserved");
  service.m_reserved = ReadResources(&reserved);
  for (SettingsReader& table : reader->Tables("class")) {
    RequestClass request_class;
    request_class.m_name = table.String("name");
    request_class.m_idempotent = table.Bool("idempotent", true);
    request_class.m_timeout =
        table.Millis("timeout_ms", milliseconds(1000), milliseconds(1),
                     std::chrono::minutes(10));
    request_class.m_expected_service_time =
        table.Millis("expected_ms", milliseconds(30), milliseconds(1),
                     std::chrono::minutes(1));
    if (FindClass(service, request_class.m_name) != nullptr) {
      table.AddProblem("name", "class named twice");
    }
    service.m_classes.push_back(request_class);
  }
  if (service.m_classes.empty()) {
    reader->AddProblem("class", "expected at least one [[class]]");
  }
  if (FindService(*doc, service.m_name) != nullptr) {
    reader->AddProblem("name", "service described twice");
  }
  doc->m_services.push_back(std::move(service));
}

void ReadJob(SettingsReader* reader, ConfigDoc* doc) {
  JobConfig job;
  job.m_name = reader->String("name");
  job.m_tenant = reader->String("tenant");
  job.m_class = reader->String("class", "batch");
  job.m_tasks = static_cast<std::uint32_t>(
      reader->RequiredInt("tasks", 1, kMaxTasksPerJob));
  SettingsReader size = reader->Table("size");
  job.m_size = ReadResources(&size);
  if (job.m_size.m_cpu_milli == 0) {
    size.AddProblem("cpu_milli", "expected an integer above 0");
  }
  job.m_run_time = reader->Millis("work_ms", milliseconds(1000),
                                  milliseconds(1), kMaxTaskRunTime);
  job.m_priority = reader->Int("priority", 0, 0, 100);
  if (FindJob(*doc, job.m_name) != nullptr) {
    reader->AddProblem("name", "job described twice");
  }
  doc->m_jobs.push_back(std::move(job));
}

void ReadPlatform(SettingsReader* reader, ConfigDoc* doc) {
  for (SettingsReader& table : reader->Tables("failure_domain")) {
    FailureDomainConfig domain;
    domain.m_name = table.String("name");
    domain.m_cell_count =
        static_cast<std::uint32_t>(table.Int("cells", 1, 1, 64));
    doc->m_failure_domains.push_back(domain);
  }
  for (SettingsReader& table : reader->Tables("tenant")) {
    TenantConfig tenant;
    tenant.m_name = table.String("name");
    tenant.m_weight = table.Int("weight", 1, 1, 1000);
    tenant.m_quota = table.Number("quota", 1.0, 0.0, 1.0);
    if (FindTenant(*doc, tenant.m_name) != nullptr) {
      table.AddProblem("name", "tenant described twice");
    }
    doc->m_tenants.push_back(tenant);
  }
  for (SettingsReader& table : reader->Tables("link")) {
    LinkConfig link;
    link.m_from = table.String("from");
    link.m_to = table.String("to");
    link.m_delay = table.Millis("delay_ms", milliseconds(0), milliseconds(0),
                                milliseconds(10000));
    link.m_cost = table.Number("cost", 1.0, 0.0, 1000.0);
    doc->m_links.push_back(link);
  }
}

/// Checks the rules that span several files of the document.
void CheckDocument(const ConfigDoc& doc, std::vector<std::string>* problems) {
  if (doc.m_failure_domains.empty()) {
    problems->push_back(
        "platform.toml: expected at least one [[failure_domain]]");
  }
  for (const JobConfig& job : doc.m_jobs) {
    if (FindTenant(doc, job.m_tenant) == nullptr) {
      problems->push_back("job " + job.m_name + ": tenant " + job.m_tenant +
                          " is not described in platform.toml");
    }
  }
}

template <class T>
const T* FindByName(const std::vector<T>& items, const std::string& name) {
  const typename std::vector<T>::const_iterator it =
      std::find_if(items.begin(), items.end(),
                   [&name](const T& item) { return item.m_name == name; });
  return it == items.end() ? nullptr : &*it;
}

}  // namespace

ConfigDoc CompileConfig(const std::vector<ConfigFile>& files,
                        std::vector<std::string>* problems) {
  ConfigDoc doc;
  for (const ConfigFile& file : files) {
    SettingsReader reader = SettingsReader::Parse(file.m_text, file.m_path);
    if (EndsWith(file.m_path, ".service.toml")) {
      ReadService(&reader, &doc);
    } else if (EndsWith(file.m_path, ".job.toml")) {
      ReadJob(&reader, &doc);
    } else if (EndsWith(file.m_path, "platform.toml")) {
      ReadPlatform(&reader, &doc);
    } else {
      problems->push_back(file.m_path +
                          ":1: expected platform.toml, *.service.toml or "
                          "*.job.toml");
      continue;
    }
    const std::vector<std::string> file_problems = reader.Problems();
    problems->insert(problems->end(), file_problems.begin(),
                     file_problems.end());
  }
  CheckDocument(doc, problems);
  return doc;
}

const ServiceConfig* FindService(const ConfigDoc& doc,
                                 const std::string& name) {
  return FindByName(doc.m_services, name);
}

const RequestClass* FindClass(const ServiceConfig& service,
                              const std::string& name) {
  return FindByName(service.m_classes, name);
}

const TenantConfig* FindTenant(const ConfigDoc& doc, const std::string& name) {
  return FindByName(doc.m_tenants, name);
}

const JobConfig* FindJob(const ConfigDoc& doc, const std::string& name) {
  return FindByName(doc.m_jobs, name);
}

std::vector<std::string> CellNames(const ConfigDoc& doc) {
  std::vector<std::string> names;
  for (const FailureDomainConfig& domain : doc.m_failure_domains) {
    for (std::uint32_t i = 0; i < domain.m_cell_count; ++i) {
      names.push_back(domain.m_name + "." + std::to_string(i));
    }
  }
  return names;
}

std::string CellFailureDomain(const std::string& cell) {
  return cell.substr(0, cell.rfind('.'));
}

std::string CellOfWorker(const ConfigDoc& doc,
                         const std::string& failure_domain,
                         const std::string& worker) {
  const FailureDomainConfig* domain =
      FindByName(doc.m_failure_domains, failure_domain);
  const std::uint64_t cells = domain == nullptr ? 1 : domain->m_cell_count;
  return failure_domain + "." + std::to_string(Hash(worker) % cells);
}

std::string HomeCell(const ConfigDoc& doc, JobId job) {
  const std::vector<std::string> cells = CellNames(doc);
  return cells.empty() ? "" : cells[job % cells.size()];
}

milliseconds LinkDelay(const ConfigDoc& doc,
                       const std::string& from,
                       const std::string& to) {
  for (const LinkConfig& link : doc.m_links) {
    const bool forward = link.m_from == from && link.m_to == to;
    const bool backward = link.m_from == to && link.m_to == from;
    if (forward || backward) {
      return link.m_delay;
    }
  }
  return milliseconds(0);
}

}  // namespace hyssopspar
