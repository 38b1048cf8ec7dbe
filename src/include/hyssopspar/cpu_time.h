/// \file
/// Processor time of threads.

#pragma once

#include "hyssopspar/time.h"

namespace hyssopspar {

/// Processor time that the calling thread has used.
Duration ThreadCpuTime();

}  // namespace hyssopspar
