#include "hyssopspar/logging.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <mutex>

#include "hyssopspar/invariant.h"

namespace hyssopspar {

namespace {

/// Capacity, in lines, of the queue between the loggers and the thread that
/// writes standard output.
constexpr std::size_t kMaxQueuedLines = 4096;

bool g_async_stdout = false;

std::shared_ptr<spdlog::logger> MakeLogger(const std::string& component) {
  return g_async_stdout
             ? spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>(component)
             : spdlog::stderr_logger_mt(component);
}

}  // namespace

void EnableAsyncStdoutLogging() {
  spdlog::init_thread_pool(kMaxQueuedLines, 1);
  g_async_stdout = true;
}

std::shared_ptr<spdlog::logger> Log(const std::string& component) {
  static std::mutex mutex;
  std::lock_guard<std::mutex> lock(mutex);
  std::shared_ptr<spdlog::logger> logger = spdlog::get(component);
  if (logger == nullptr) {
    logger = MakeLogger(component);
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l [%n] %v");
    logger->set_level(spdlog::get_level());
    logger->flush_on(spdlog::level::info);
  }
  return logger;
}

void SetLogLevel(const std::string& level) {
  spdlog::set_level(spdlog::level::from_str(level));
}

namespace pvt {

void InvariantFailed(const char* condition, const char* file, int line) {
  Log("invariant")
      ->critical("invariant broken condition=\"{}\" at={}:{}", condition, file,
                 line);
  spdlog::shutdown();
  std::abort();
}

}  // namespace pvt
}  // namespace hyssopspar
