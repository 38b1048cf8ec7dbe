#include "node/retry_after.h"

#include <algorithm>

#include "hyssopspar/ids.h"

namespace hyssopspar::node {

namespace {

/// Upper bound before the spread; longer waits would outlast most outages.
constexpr std::chrono::seconds kMaxRetryAfter{6};

}  // namespace

std::chrono::seconds RetryAfter(TimePoint failing_since,
                                const std::string& key,
                                TimePoint now) {
  const std::chrono::seconds outage =
      failing_since < now ? std::chrono::duration_cast<std::chrono::seconds>(
                                now - failing_since)
                          : std::chrono::seconds(0);
  const std::int64_t shortest =
      std::clamp(outage, std::chrono::seconds(1), kMaxRetryAfter).count();
  const std::uint64_t choices = static_cast<std::uint64_t>(shortest / 2 + 1);
  return std::chrono::seconds(shortest +
                              static_cast<std::int64_t>(Hash(key) % choices));
}

}  // namespace hyssopspar::node
