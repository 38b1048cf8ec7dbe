#include "hyssopspar/config_state.h"

#include <utility>

#include "pvt/archive.h"

namespace hyssopspar {

template <class A, class T>
void VisitFields(A& archive, T& request_class, const RequestClass* /*tag*/) {
  archive(request_class.m_name, request_class.m_idempotent,
          request_class.m_timeout, request_class.m_expected_service_time);
}
template <class A, class T>
void VisitFields(A& archive, T& service, const ServiceConfig* /*tag*/) {
  archive(service.m_name, service.m_classes, service.m_reserved);
}
template <class A, class T>
void VisitFields(A& archive, T& job, const JobConfig* /*tag*/) {
  archive(job.m_name, job.m_tenant, job.m_class, job.m_tasks, job.m_size,
          job.m_run_time, job.m_priority);
}
template <class A, class T>
void VisitFields(A& archive, T& tenant, const TenantConfig* /*tag*/) {
  archive(tenant.m_name, tenant.m_weight, tenant.m_quota);
}
template <class A, class T>
void VisitFields(A& archive, T& domain, const FailureDomainConfig* /*tag*/) {
  archive(domain.m_name, domain.m_cell_count);
}
template <class A, class T>
void VisitFields(A& archive, T& link, const LinkConfig* /*tag*/) {
  archive(link.m_from, link.m_to, link.m_delay, link.m_cost);
}
template <class A, class T>
void VisitFields(A& archive, T& doc, const ConfigDoc* /*tag*/) {
  archive(doc.m_failure_domains, doc.m_tenants, doc.m_services, doc.m_jobs,
          doc.m_links);
}
template <class A, class T>
void VisitFields(A& archive, T& record, const ConfigPublish* /*tag*/) {
  archive(record.m_base_revision, record.m_writer, record.m_doc);
}
template <class A, class T>
void VisitFields(A& archive, T& record, const ConfigDrain* /*tag*/) {
  archive(record.m_name, record.m_out_of_service);
}
template <class A, class T>
void VisitFields(A& archive, T& record, const ConfigSnapshot* /*tag*/) {
  archive(record.m_end_offset, record.m_revision, record.m_doc,
          record.m_out_of_service);
}

namespace {

ConfigVerdict ApplyRecord(ConfigState* state,
                          Offset /*offset*/,
                          const ConfigPublish& record) {
  if (record.m_base_revision != state->m_revision) {
    return ConfigVerdict::kConflict;
  }
  state->m_doc = record.m_doc;
  ++state->m_revision;
  return ConfigVerdict::kApplied;
}

ConfigVerdict ApplyRecord(ConfigState* state,
                          Offset /*offset*/,
                          const ConfigDrain& record) {
  const bool changed =
      record.m_out_of_service
          ? state->m_out_of_service.insert(record.m_name).second
          : state->m_out_of_service.erase(record.m_name) > 0;
  if (!changed) {
    return ConfigVerdict::kNoChange;
  }
  ++state->m_revision;
  return ConfigVerdict::kApplied;
}

ConfigVerdict ApplyRecord(ConfigState* state,
                          Offset offset,
                          const ConfigSnapshot& /*record*/) {
  state->m_snapshot_offset = offset;
  return ConfigVerdict::kNoChange;
}

}  // namespace

ConfigVerdict ApplyConfig(ConfigState* state,
                          Offset offset,
                          const ConfigRecord& record) {
  state->m_next = offset + 1;
  return std::visit(
      [state, offset](const auto& r) { return ApplyRecord(state, offset, r); },
      record);
}

std::string EncodeConfig(const ConfigRecord& record) {
  return pvt::EncodeVariant(record);
}

Result<ConfigRecord> DecodeConfig(const std::string& bytes) {
  return pvt::DecodeVariant<ConfigRecord>(bytes, "configuration record");
}

bool IsOutOfService(const ConfigState& state,
                    const std::string& failure_domain,
                    const std::string& vm) {
  return state.m_out_of_service.count(failure_domain) > 0 ||
         state.m_out_of_service.count(vm) > 0;
}

}  // namespace hyssopspar
