/// \file
/// Words and logger that the parts of Cell share.

#pragma once

#include <memory>

#include "hyssopspar/jobs/worker_port.h"
#include "hyssopspar/logging.h"

namespace hyssopspar::jobs {

std::shared_ptr<spdlog::logger> CellLog();

const char* CauseWord(EndCause cause);
const char* AnswerWord(StartAnswer answer);

}  // namespace hyssopspar::jobs
