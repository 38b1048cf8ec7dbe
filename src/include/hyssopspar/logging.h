/// \file
/// Structured logs: one short sentence a line, with a fixed prefix per part.

#pragma once

#include <spdlog/logger.h>

#include <memory>
#include <string>

namespace hyssopspar {

/// Logger whose lines carry \p part in brackets. Created on first use; safe to
/// call from any thread.
std::shared_ptr<spdlog::logger> Log(const std::string& part);

/// Sends the lines of loggers created from now on to standard output, through
/// a bounded queue that drops the oldest lines when its reader falls behind.
/// Call it once, before the first logger is created.
void UseBufferedStdout();

/// Sets the least level printed by all loggers: "debug", "info", "warn",
/// "error" or "off".
void SetLogLevel(const std::string& level);

}  // namespace hyssopspar
