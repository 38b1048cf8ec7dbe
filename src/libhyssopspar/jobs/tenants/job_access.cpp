#include "hyssopspar/jobs/tenants/job_access.h"

namespace hyssopspar::jobs {

bool MayAccess(const CallerIdentity& caller, const std::string& job_tenant) {
  return !caller.m_tenant || job_tenant.empty() ||
         *caller.m_tenant == job_tenant;
}

}  // namespace hyssopspar::jobs
