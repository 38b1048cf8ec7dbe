/// \file
/// Logger of Cell, and names of enumerators for its log lines.

#pragma once

#include <memory>

#include "hyssopspar/jobs/worker.h"
#include "hyssopspar/jobs/worker_port.h"
#include "hyssopspar/logging.h"

namespace hyssopspar::jobs {

/// Logger of the part "cell".
std::shared_ptr<spdlog::logger> CellLog();

const char* CauseName(EndCause cause);
const char* AnswerName(StartAnswer answer);
const char* FailureName(JobFailure failure);
const char* SignName(CrashSign sign);

}  // namespace hyssopspar::jobs
