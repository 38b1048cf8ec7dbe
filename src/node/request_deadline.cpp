#include "node/request_deadline.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace hyssopspar::node {

namespace {

/// Time within which a request is answered: the default for requests without a
/// deadline, and the limit for longer deadlines.
constexpr milliseconds kMaxRequestTimeout{3000};
/// Part of the caller's timeout kept for sending the answer, and the least time
/// for handling a request.
constexpr milliseconds kAnswerMargin{300};

}  // namespace

std::optional<milliseconds> TimeoutOf(const HttpRequest& request) {
  const std::string text = HeaderOr(request.m_headers, kTimeoutHeader);
  std::int64_t millis = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  if (parsed.ec != std::errc() || millis <= 0) {
    return std::nullopt;
  }
  return milliseconds(millis);
}

TimePoint DeadlineOf(const HttpRequest& request, TimePoint received) {
  const milliseconds timeout = std::min(
      TimeoutOf(request).value_or(kMaxRequestTimeout), kMaxRequestTimeout);
  return received + std::max(timeout - kAnswerMargin, kAnswerMargin);
}

}  // namespace hyssopspar::node
