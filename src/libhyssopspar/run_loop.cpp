#include "pvt/run_loop.h"

#include <exception>

#include "hyssopspar/logging.h"

namespace hyssopspar::pvt {

namespace {

constexpr const char* kLogComponent = "loop";

void Report(const char* loop,
            const std::string& message,
            const UnexpectedErrorHandler& on_error) {
  Log(kLogComponent)
      ->critical("unexpected-error loop={} error=\"{}\"", loop, message);
  if (on_error) {
    on_error(message);
  }
}

}  // namespace

void RunGuarded(boost::asio::io_context* io,
                const char* loop,
                const UnexpectedErrorHandler& on_error) {
  while (true) {
    try {
      io->run();
      return;
    } catch (const std::exception& e) {
      Report(loop, e.what(), on_error);
    } catch (...) {
      Report(loop, "unknown exception", on_error);
    }
  }
}

}  // namespace hyssopspar::pvt
