#include "hyssopspar/config_state.h"

#include <utility>

#include "pvt/archive.h"

namespace hyssopspar {

template <class A, class T>
void VisitFields(A& a, T& c, const RequestClass* /*tag*/) {
  a(c.m_name, c.m_idempotent, c.m_timeout, c.m_expected);
}
template <class A, class T>
void VisitFields(A& a, T& s, const ServiceConfig* /*tag*/) {
  a(s.m_name, s.m_classes, s.m_reserved);
}
template <class A, class T>
void VisitFields(A& a, T& j, const JobConfig* /*tag*/) {
  a(j.m_name, j.m_tenant, j.m_class, j.m_tasks, j.m_size, j.m_work,
    j.m_priority);
}
template <class A, class T>
void VisitFields(A& a, T& t, const TenantConfig* /*tag*/) {
  a(t.m_name, t.m_weight, t.m_quota);
}
template <class A, class T>
void VisitFields(A& a, T& d, const FailureDomainConfig* /*tag*/) {
  a(d.m_name, d.m_cells);
}
template <class A, class T>
void VisitFields(A& a, T& l, const LinkConfig* /*tag*/) {
  a(l.m_from, l.m_to, l.m_delay, l.m_cost);
}
template <class A, class T>
void VisitFields(A& a, T& d, const ConfigDoc* /*tag*/) {
  a(d.m_failure_domains, d.m_tenants, d.m_services, d.m_jobs, d.m_links);
}
template <class A, class T>
void VisitFields(A& a, T& r, const ConfigPublish* /*tag*/) {
  a(r.m_base, r.m_writer, r.m_doc);
}
template <class A, class T>
void VisitFields(A& a, T& r, const ConfigDrain* /*tag*/) {
  a(r.m_name, r.m_out);
}
template <class A, class T>
void VisitFields(A& a, T& r, const ConfigSnapshot* /*tag*/) {
  a(r.m_end_offset, r.m_revision, r.m_doc, r.m_out);
}

namespace {

ConfigVerdict ApplyRecord(ConfigState* state,
                          Offset /*offset*/,
                          const ConfigPublish& record) {
  if (record.m_base != state->m_revision) {
    return ConfigVerdict::kConflict;
  }
  state->m_doc = record.m_doc;
  ++state->m_revision;
  return ConfigVerdict::kApplied;
}

ConfigVerdict ApplyRecord(ConfigState* state,
                          Offset /*offset*/,
                          const ConfigDrain& record) {
  const bool changed = record.m_out ? state->m_out.insert(record.m_name).second
                                    : state->m_out.erase(record.m_name) > 0;
  if (!changed) {
    return ConfigVerdict::kNoChange;
  }
  ++state->m_revision;
  return ConfigVerdict::kApplied;
}

ConfigVerdict ApplyRecord(ConfigState* state,
                          Offset offset,
                          const ConfigSnapshot& /*record*/) {
  state->m_snapshot = offset;
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

bool IsOut(const ConfigState& state,
           const std::string& failure_domain,
           const std::string& vm) {
  return state.m_out.count(failure_domain) > 0 || state.m_out.count(vm) > 0;
}

}  // namespace hyssopspar
