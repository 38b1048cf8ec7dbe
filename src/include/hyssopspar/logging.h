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

/// Sets the least level printed by all loggers: "debug", "info", "warn",
/// "error" or "off".
void SetLogLevel(const std::string& level);

}  // namespace hyssopspar
