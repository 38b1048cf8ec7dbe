#include "node/refusal_log.h"

#include <utility>

namespace hyssopspar::node {

namespace {

constexpr milliseconds kLineInterval{1000};

}  // namespace

std::optional<std::size_t> CountRefusal(RefusalLog* log,
                                        const std::string& reason,
                                        TimePoint now) {
  RefusalLine& line = (*log)[reason];
  ++line.m_calls;
  if (now < line.m_next_line) {
    return std::nullopt;
  }
  line.m_next_line = now + kLineInterval;
  return std::exchange(line.m_calls, 0);
}

}  // namespace hyssopspar::node
