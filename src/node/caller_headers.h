/// \file
/// Headers of queries between nodes that say on whose behalf they are sent. The
/// node that received the caller's request has authenticated it.

#pragma once

#include "hyssopspar/http_message.h"
#include "hyssopspar/jobs/tenants/job_access.h"

namespace hyssopspar::node {

/// Sets no headers for a caller that was not authenticated.
void SetCallerHeaders(const jobs::CallerIdentity& caller, HttpHeaders* headers);

/// Without the tenant's header, as from a node of an earlier version, the
/// caller was not authenticated.
jobs::CallerIdentity CallerFromHeaders(const HttpHeaders& headers);

}  // namespace hyssopspar::node
