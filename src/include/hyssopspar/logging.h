/// \file
/// Structured log output: one event a line, after a prefix with time, level and
/// the component that logs.

#pragma once

#include <spdlog/logger.h>

#include <memory>
#include <string>

namespace hyssopspar {

/// Logger whose lines carry \p component in brackets. Created on first use;
/// safe to call from any thread.
std::shared_ptr<spdlog::logger> Log(const std::string& component);

/// Makes loggers created from now on write to standard output instead of
/// standard error, from a background thread. Its queue is bounded and drops the
/// oldest lines when the reader of standard output is too slow. Call it once,
/// before the first logger is created.
void EnableAsyncStdoutLogging();

/// Sets the lowest level that all loggers print: "debug", "info", "warn",
/// "error" or "off".
void SetLogLevel(const std::string& level);

}  // namespace hyssopspar
